"""Bloom filters of requests.

A filter takes a fixed number of bytes.  It may have false positives, so that a
new request is not run, but no false negatives: a request that was added is
always found until it expires.
"""

import hashlib

from redwingstream.errors import WireError
from redwingstream.requests.records import RequestKey

FILTER_BYTES = 4096
# Maximum number of requests in one generation, for which at most 0.1 % of new
# requests are false positives.
FILTER_CAPACITY = 2000
_FILTER_BITS = FILTER_BYTES * 8
_BITS_PER_REQUEST = 6
_BIT_INDEX_BYTES = 2


class RequestFilter:
    """Bloom filter that keeps requests for at least the replay horizon.

    It has two generations of bits: new requests are added to one, and the other
    is kept until all requests in it are older than the horizon.

    Parameters
    ----------
    horizon : float
        Minimum number of seconds for which a request is remembered.
    now : float
        Current time in seconds, by the event loop's clock.
    """

    def __init__(self, horizon: float, now: float) -> None:
        self._horizon = horizon
        self._rotated_at = now
        self._newer = 0
        self._older = 0
        self._added = 0

    def add(self, mask: int, now: float) -> None:
        """Add a request, given as the mask of its bits."""
        self._rotate(now)
        self._newer |= mask
        self._added += 1

    def is_full(self, now: float) -> bool:
        """Whether another request would cause too many false positives."""
        self._rotate(now)
        return self._added >= FILTER_CAPACITY

    def may_contain(self, mask: int, now: float) -> bool:
        """Whether a request was, or may have been, added recently."""
        self._rotate(now)
        generations = (self._newer, self._older)
        return any(bits & mask == mask for bits in generations)

    def export(self, now: float) -> bytes:
        """Return the bits of both generations as one filter."""
        self._rotate(now)
        return (self._newer | self._older).to_bytes(FILTER_BYTES, 'big')

    def _rotate(self, now: float) -> None:
        elapsed = now - self._rotated_at
        if elapsed <= self._horizon:
            return
        # Each addition first rotates the filter if that is due, so the newer
        # generation has no request added later than a horizon after the last
        # rotation, and all requests in the older one are now older than the
        # horizon.
        self._older = self._newer if elapsed <= 2 * self._horizon else 0
        self._newer = 0
        self._added = 0
        self._rotated_at = now


class RequestFilters:
    """Filters by bucket, created when the first request is added.

    Parameters
    ----------
    horizon : float
        Minimum number of seconds for which a request is remembered.
    """

    def __init__(self, horizon: float) -> None:
        self._horizon = horizon
        self._filter_by_bucket: dict[int, RequestFilter] = {}

    @property
    def size(self) -> int:
        """Size of all filters in bytes, with both generations of each."""
        return 2 * FILTER_BYTES * len(self._filter_by_bucket)

    def add(
        self, bucket: int, key: RequestKey, checksum: bytes, now: float
    ) -> None:
        """Add a request."""
        self._filter_for(bucket, now).add(_bit_mask(key, checksum), now)

    def may_contain(
        self, bucket: int, key: RequestKey, checksum: bytes, now: float
    ) -> bool:
        """Whether a request was, or may have been, added recently."""
        request_filter = self._filter_by_bucket.get(bucket)
        if request_filter is None:
            return False
        return request_filter.may_contain(_bit_mask(key, checksum), now)

    def is_full(self, bucket: int, now: float) -> bool:
        """Whether no more requests should be added to a bucket's filter."""
        request_filter = self._filter_by_bucket.get(bucket)
        return request_filter is not None and request_filter.is_full(now)

    def export(self, bucket: int, now: float) -> bytes:
        """Return a bucket's filter; empty if nothing was added."""
        request_filter = self._filter_by_bucket.get(bucket)
        return b'' if request_filter is None else request_filter.export(now)

    def merge(self, bucket: int, exported: bytes, now: float) -> None:
        """Add an exported filter, as if all its requests were added now.

        Raises
        ------
        WireError
            When its size is not that of a filter.
        """
        if not exported:
            return
        if len(exported) != FILTER_BYTES:
            raise WireError(
                f'filter of requests has {len(exported)} bytes, '
                f'must have {FILTER_BYTES}'
            )
        bits = int.from_bytes(exported, 'big')
        self._filter_for(bucket, now).add(bits, now)

    def drop(self, bucket: int) -> None:
        """Remove the filter of a bucket."""
        self._filter_by_bucket.pop(bucket, None)

    def _filter_for(self, bucket: int, now: float) -> RequestFilter:
        request_filter = self._filter_by_bucket.get(bucket)
        if request_filter is None:
            request_filter = RequestFilter(self._horizon, now)
            self._filter_by_bucket[bucket] = request_filter
        return request_filter


def _bit_mask(key: RequestKey, checksum: bytes) -> int:
    """Return the mask of a request's bits."""
    size = _BITS_PER_REQUEST * _BIT_INDEX_BYTES
    digest = hashlib.blake2b(checksum, digest_size=size)
    digest.update(f'{key.caller} {key.service} {key.message_id} '.encode())
    digest.update(key.token)
    digest_bytes = digest.digest()
    mask = 0
    for start in range(0, size, _BIT_INDEX_BYTES):
        end = start + _BIT_INDEX_BYTES
        bit_index = int.from_bytes(digest_bytes[start:end], 'big')
        mask |= 1 << (bit_index % _FILTER_BITS)
    return mask
