"""Which requests were refused, in a fixed number of bytes.

A Bloom filter errs on one side only: it may call a new request refused, which
the caller is then told and which is true; it never calls a refused one new.
"""

import hashlib
from collections.abc import Iterator

from redwingstream.requests.records import RequestKey

_BYTES_BITS = 3
# 32,768 bits hold 3,400 refusals (a thousand a second on a host with 73
# buckets, over a horizon of 247 s) at about 1 % of false hits.
FILTER_BYTES = 4096
_POSITIONS = 6
_POSITION_BYTES = 2
_POSITION_MASK = FILTER_BYTES * 8 - 1


class RefusalFilter:
    """Remembers refused requests for at least the replay horizon.

    Two generations of bits: one is filled, the other is kept until everything
    in it is older than the horizon.

    Parameters
    ----------
    horizon : float
        Seconds for which a refusal is remembered at least.
    now : float
        Seconds.
    """

    def __init__(self, horizon: float, now: float) -> None:
        self._horizon = horizon
        self._turned_at = now
        self._newer = bytearray(FILTER_BYTES)
        self._older = bytearray(FILTER_BYTES)

    @property
    def size(self) -> int:
        """Bytes of both generations."""
        return len(self._newer) + len(self._older)

    def add(self, key: RequestKey, checksum: bytes, now: float) -> None:
        """Remember a refused request."""
        self._turn(now)
        for position in _positions(key, checksum):
            self._newer[position >> _BYTES_BITS] |= _bit(position)

    def holds(self, key: RequestKey, checksum: bytes, now: float) -> bool:
        """Whether a request was refused within the horizon, or may have been."""
        self._turn(now)
        positions = tuple(_positions(key, checksum))
        return any(
            all(bits[at >> _BYTES_BITS] & _bit(at) for at in positions)
            for bits in (self._newer, self._older)
        )

    def _turn(self, now: float) -> None:
        elapsed = now - self._turned_at
        if elapsed <= self._horizon:
            return
        is_older_due = elapsed <= 2 * self._horizon
        self._older = self._newer if is_older_due else bytearray(FILTER_BYTES)
        self._newer = bytearray(FILTER_BYTES)
        self._turned_at = now


def _bit(position: int) -> int:
    return 1 << (position & 7)  # noqa: WPS432


def _positions(key: RequestKey, checksum: bytes) -> Iterator[int]:
    """Yield the bits of a request."""
    digest = hashlib.blake2b(checksum, digest_size=_POSITIONS * _POSITION_BYTES)
    digest.update(f'{key.caller} {key.service} {key.message_id} '.encode())
    digest.update(key.token)
    drawn = digest.digest()
    for start in range(0, len(drawn), _POSITION_BYTES):
        end = start + _POSITION_BYTES
        yield int.from_bytes(drawn[start:end], 'big') & _POSITION_MASK
