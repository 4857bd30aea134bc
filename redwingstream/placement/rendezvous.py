"""Which bucket a flow belongs to, and which agents hold that bucket.

Every process computes both from the same view, so only members travel and no
table of buckets does.  Weighted rendezvous hashing moves the least possible:
a member that comes takes only the buckets that it wins, a member that goes
gives up only its own, and a changed weight moves only what the change is worth.
"""

import hashlib
import itertools
import math

import attrs
import xxhash

from redwingstream.tables.rows import PoolView, ViewMember

_DIGEST_BYTES = 8
# Of a 64-bit hash as many bits are kept as a float holds exactly.
_HASH_BITS = 64
_FRACTION_BITS = 52
_DROPPED_BITS = _HASH_BITS - _FRACTION_BITS
_FRACTION_SPAN = 1 << _FRACTION_BITS


@attrs.frozen
class Pair:
    """The two agents that hold a bucket.

    Parameters
    ----------
    home : ViewMember or None
        Decides on the bucket's flows and requests; None in an empty view.
    heir : ViewMember or None
        Acknowledges what the home records; None in a view of one member.
    """

    home: ViewMember | None = None
    heir: ViewMember | None = None

    def members(self) -> tuple[ViewMember, ...]:
        """Return home and heir, as far as there are any."""
        return tuple(
            member for member in (self.home, self.heir) if member is not None
        )


def bucket_of(caller: str, service: str, buckets: int, key: bytes) -> int:
    """Return the bucket of a flow.

    Parameters
    ----------
    caller, service : str
        ``IP:PORT`` of both ends.
    buckets : int
        How many buckets the pool has; a power of two.
    key : bytes
        Up to 64 secret bytes, the same in the whole fleet.  Without the key
        callers could choose ports that all fall into one bucket and so load
        one server on purpose.

    Returns
    -------
    int
        0 to ``buckets - 1``.
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
        Any order gives the same pair.
    pool : str
        Name of the pool; pools with the same hosts get different pairs.
    bucket : int
        Which bucket.

    Returns
    -------
    Pair
        The home has the highest score.  The heir has the next one among
        members of other availability zones than the home's, so that losing a
        zone never loses both; among all others when there is no such member.
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
        Who is in the view.
    pool : str
        Name of the pool.

    Notes
    -----
    Buckets with the same home and heir share one pair: a balancer holds the
    tables of thousands of pools.
    """

    def __init__(self, members: tuple[ViewMember, ...], pool: str) -> None:
        self._members = members
        self._pool = pool
        # By bucket; a list takes a quarter of the memory of a map.
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
    # -w / ln(u) with u uniform in (0, 1): the chance to have the highest score
    # is proportional to the weight.  The incarnation stays out of the hash, so
    # that an agent that restarts gets its buckets back.  52 bits and a half
    # keep u exact and strictly between 0 and 1, where the logarithm is not 0.
    drawn = xxhash.xxh3_64_intdigest(member.host.encode() + salt)
    drawn >>= _DROPPED_BITS
    return -member.weight / math.log((drawn + 0.5) / _FRACTION_SPAN)
