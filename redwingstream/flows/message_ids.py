"""Message ids that are not reused too early (RFC 7252, section 4.4)."""

from redwingstream.wire.coap import MESSAGE_ID_LIMIT

EXCHANGE_LIFETIME = 247.0
"""Seconds in which a receiver may treat a reused message id as a duplicate."""

_SEGMENTS = 8


class MessageIds:
    """Allocates the message ids of one range in order.

    Parameters
    ----------
    start : int
        Offset of the first id to allocate; a random number makes it unlikely
        that a restarted process reuses the ids of its former run.
    first : int
        First id of the range.
    size : int
        Number of ids in the range; a multiple of eight.

    Notes
    -----
    A request whose id is reused within ``EXCHANGE_LIFETIME`` would get the
    answer to another request, or be dropped as a duplicate.  The time of last
    use is kept for each eighth of the range, not for each id, so an object
    takes a few hundred bytes; in return up to one eighth stays unused.
    """

    __slots__ = ('_first', '_next', '_size', '_used_by_segment')

    def __init__(
        self, start: int, first: int = 0, size: int = MESSAGE_ID_LIMIT
    ) -> None:
        self._first = first
        self._size = size
        self._next = start % size
        self._used_by_segment: list[float | None] = [
            None for _ in range(_SEGMENTS)
        ]

    def allocate(self, now: float) -> int | None:
        """Return an id, or None if the next ids may still be in use."""
        per_segment = self._size // _SEGMENTS
        segment, offset = divmod(self._next, per_segment)
        used_at = self._used_by_segment[segment]
        if offset == 0 and used_at is not None:
            if now - used_at < EXCHANGE_LIFETIME:
                return None
        self._used_by_segment[segment] = now
        allocated = self._first + self._next
        self._next = (self._next + 1) % self._size
        return allocated
