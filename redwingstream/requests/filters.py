"""Sets of requests in a fixed number of bytes.

A Bloom filter errs on one side only: it may hold a new request, which is then
not run; it never lets go of one that was added.
"""

import hashlib

from redwingstream.errors import WireError
from redwingstream.requests.records import RequestKey

FILTER_BYTES = 4096
# Requests in one generation up to which 0.1 % of new requests at the most are
# mistaken for one of them.
FILTER_CAPACITY = 2000
_FILTER_BITS = FILTER_BYTES * 8
_POSITIONS = 6
_POSITION_BYTES = 2


class RequestFilter:
    """Remembers requests for at least the replay horizon.

    Two generations of bits: one is filled, the other is kept until everything
    in it is older than the horizon.

    Parameters
    ----------
    horizon : float
        Seconds for which a request is remembered at least.
    now : float
        Seconds.
    """

    def __init__(self, horizon: float, now: float) -> None:
        self._horizon = horizon
        self._turned_at = now
        self._newer = 0
        self._older = 0
        self._added = 0

    def add(self, positions: int, now: float) -> None:
        """Remember a request by its bits."""
        self._turn(now)
        self._newer |= positions
        self._added += 1

    def is_full(self, now: float) -> bool:
        """Whether more would be mistaken for others too often."""
        self._turn(now)
        return self._added >= FILTER_CAPACITY

    def holds(self, positions: int, now: float) -> bool:
        """Whether a request was, or may have been, added lately."""
        self._turn(now)
        generations = (self._newer, self._older)
        return any(bits & positions == positions for bits in generations)

    def export(self, now: float) -> bytes:
        """Return the bits of both generations as one filter."""
        self._turn(now)
        return (self._newer | self._older).to_bytes(FILTER_BYTES, 'big')

    def _turn(self, now: float) -> None:
        elapsed = now - self._turned_at
        if elapsed <= self._horizon:
            return
        # Additions turn the filter first, so the newer generation holds none
        # made later than a horizon after the last turn, and the older one only
        # what is by now older than the horizon.
        self._older = self._newer if elapsed <= 2 * self._horizon else 0
        self._newer = 0
        self._added = 0
        self._turned_at = now


class RequestFilters:
    """A filter for each bucket of which a request was added.

    Parameters
    ----------
    horizon : float
        Seconds for which a request is remembered at least.
    """

    def __init__(self, horizon: float) -> None:
        self._horizon = horizon
        self._by_bucket: dict[int, RequestFilter] = {}

    @property
    def size(self) -> int:
        """Bytes of all filters, with both generations of each."""
        return 2 * FILTER_BYTES * len(self._by_bucket)

    def add(
        self, bucket: int, key: RequestKey, checksum: bytes, now: float
    ) -> None:
        """Remember a request."""
        self._of_bucket(bucket, now).add(_positions(key, checksum), now)

    def holds(
        self, bucket: int, key: RequestKey, checksum: bytes, now: float
    ) -> bool:
        """Whether a request was, or may have been, added lately."""
        requests = self._by_bucket.get(bucket)
        if requests is None:
            return False
        return requests.holds(_positions(key, checksum), now)

    def is_full(self, bucket: int, now: float) -> bool:
        """Whether a bucket's filter should take no more."""
        requests = self._by_bucket.get(bucket)
        return requests is not None and requests.is_full(now)

    def export(self, bucket: int, now: float) -> bytes:
        """Return a bucket's filter; empty when nothing was added."""
        requests = self._by_bucket.get(bucket)
        return b'' if requests is None else requests.export(now)

    def merge(self, bucket: int, exported: bytes, now: float) -> None:
        """Add a filter exported elsewhere, as if all in it were added now.

        Raises
        ------
        WireError
            When it is no filter.
        """
        if not exported:
            return
        if len(exported) != FILTER_BYTES:
            raise WireError(
                f'filter of requests has {len(exported)} bytes, '
                f'must have {FILTER_BYTES}'
            )
        bits = int.from_bytes(exported, 'big')
        self._of_bucket(bucket, now).add(bits, now)

    def drop(self, bucket: int) -> None:
        """Forget a bucket."""
        self._by_bucket.pop(bucket, None)

    def _of_bucket(self, bucket: int, now: float) -> RequestFilter:
        requests = self._by_bucket.get(bucket)
        if requests is None:
            requests = RequestFilter(self._horizon, now)
            self._by_bucket[bucket] = requests
        return requests


def _positions(key: RequestKey, checksum: bytes) -> int:
    """Return the bits of a request."""
    size = _POSITIONS * _POSITION_BYTES
    digest = hashlib.blake2b(checksum, digest_size=size)
    digest.update(f'{key.caller} {key.service} {key.message_id} '.encode())
    digest.update(key.token)
    drawn = digest.digest()
    positions = 0
    for start in range(0, size, _POSITION_BYTES):
        end = start + _POSITION_BYTES
        drawn_number = int.from_bytes(drawn[start:end], 'big')
        positions |= 1 << (drawn_number % _FILTER_BITS)
    return positions
