"""Maps flows to buckets, and buckets to home and heir, by weighted hashing.

Every process computes both from the same view, so that only the members of a
view are sent and no table of buckets is.  Weighted rendezvous hashing moves
the fewest buckets possible: a new member takes only the buckets in which it has
the highest score, a member that leaves loses only its own, and a changed weight
moves only a number of buckets in proportion to the change.
"""

import hashlib
import itertools
import math

import attrs
import xxhash

from redwingstream.tables.rows import PoolView, ViewMember

_DIGEST_BYTES = 8
# As many bits of the 64-bit hash are used as a float represents exactly.
_HASH_BITS = 64
_FRACTION_BITS = 52
_DROPPED_BITS = _HASH_BITS - _FRACTION_BITS
_FRACTION_SPAN = 1 << _FRACTION_BITS


@attrs.frozen
class Pair:
    """The two agents that hold a bucket in a view.

    Parameters
    ----------
    home : ViewMember or None
        Owner of the bucket, which decides on its flows and requests; None in
        an empty view.
    heir : ViewMember or None
        Replica, which acknowledges each record of the home; None in a view of
        one member.
    """

    home: ViewMember | None = None
    heir: ViewMember | None = None

    def members(self) -> tuple[ViewMember, ...]:
        """Return home and heir, without those that are None."""
        return tuple(
            member for member in (self.home, self.heir) if member is not None
        )


def bucket_of(caller: str, service: str, buckets: int, key: bytes) -> int:
    """Return the bucket of a flow.

    Parameters
    ----------
    caller, service : str
        ``IP:PORT`` of both ends of the flow.
    buckets : int
        Number of buckets of the pool; a power of two.
    key : bytes
        Secret key of up to 64 bytes, the same in the whole fleet.  Without it
        callers could choose ports whose flows all fall into one bucket, and so
        overload one backend server on purpose.

    Returns
    -------
    int
        Number of the bucket, 0 to ``buckets - 1``.
    """
    digest = hashlib.blake2b(
        f'{caller}|{service}'.encode(), key=key, digest_size=_DIGEST_BYTES
    )
    return int.from_bytes(digest.digest()) & (buckets - 1)


def pair_of(members: tuple[ViewMember, ...], pool: str, bucket: int) -> Pair:
    """Return home and heir of a bucket in a view with these members.

    Parameters
    ----------
    members : tuple of ViewMember
        Members of the view; their order does not matter.
    pool : str
        Name of the pool; pools with the same hosts get different pairs.
    bucket : int
        Number of the bucket.

    Returns
    -------
    Pair
        The home is the member with the highest score.  The heir has the next
        highest score among members of other availability zones than the
        home's, so that the loss of a zone never loses both; among all other
        members when no other zone has one.
    """
    if not members:
        return Pair()
    salt = f'|{pool}|{bucket}'.encode()
    ranked = sorted(
        members,
        key=lambda member: (_score(member, salt), member.host),
        reverse=True,
    )
    home, *others = ranked
    elsewhere = [member for member in others if member.zone != home.zone]
    candidates = elsewhere or others
    return Pair(home, candidates[0] if candidates else None)


class PairTable:
    """Home and heir of every bucket of one view, each computed once.

    Parameters
    ----------
    members : tuple of ViewMember
        Members of the view.
    pool : str
        Name of the pool.

    Notes
    -----
    Buckets with the same home and heir share one :class:`Pair` to save memory,
    as a balancer holds the tables of thousands of pools.
    """

    def __init__(self, members: tuple[ViewMember, ...], pool: str) -> None:
        self._members = members
        self._pool = pool
        # Indexed by bucket; a list takes a quarter of the memory of a dict.
        self._pairs: list[Pair | None] = []
        self._shared_by_pair: dict[Pair, Pair] = {}

    @classmethod
    def from_view(cls, view: PoolView) -> 'PairTable':
        """Return the table of a committed view."""
        return cls(view.members, view.pool)

    def pair(self, bucket: int) -> Pair:
        """Return home and heir of a bucket."""
        missing = bucket + 1 - len(self._pairs)
        if missing > 0:
            self._pairs.extend(itertools.repeat(None, missing))
        found = self._pairs[bucket]
        if found is None:
            computed = pair_of(self._members, self._pool, bucket)
            found = self._shared_by_pair.setdefault(computed, computed)
            self._pairs[bucket] = found
        return found


def _score(member: ViewMember, salt: bytes) -> float:
    # -w / ln(u) with u uniform in (0, 1): the probability of the highest score
    # is proportional to the weight.  The incarnation is not part of the hash,
    # so that an agent that restarts gets its buckets back.  52 bits plus one
    # half keep u exact and strictly between 0 and 1, where the logarithm is
    # defined and not 0.
    hashed = xxhash.xxh3_64_intdigest(member.host.encode() + salt)
    hashed >>= _DROPPED_BITS
    return -member.weight / math.log((hashed + 0.5) / _FRACTION_SPAN)
