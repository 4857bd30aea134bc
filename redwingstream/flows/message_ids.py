"""Message ids that are not used again too early (RFC 7252, section 4.4)."""

from redwingstream.wire.coap import MESSAGE_ID_LIMIT

EXCHANGE_LIFETIME = 247.0
"""Seconds in which a receiver may take a message id for a duplicate."""

_SEGMENTS = 8


class MessageIds:
    """Hands out the message ids of one range in turn.

    Parameters
    ----------
    start : int
        Where in the range to begin; a random number keeps a restarted process
        away from the ids of its former run.
    first : int
        First id of the range.
    size : int
        How many ids the range has; a multiple of eight.

    Notes
    -----
    An id used again within ``EXCHANGE_LIFETIME`` would be answered with the
    answer to another request, or dropped as a duplicate.  The time of last
    use is kept for eighths of the range, not for each id, so an object costs
    a few hundred bytes; the price is that up to one eighth lies idle.
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

    def take(self, now: float) -> int | None:
        """Return an id, or None while the next ones may still be in use."""
        per_segment = self._size // _SEGMENTS
        segment, offset = divmod(self._next, per_segment)
        used = self._used_by_segment[segment]
        if offset == 0 and used is not None:
            if now - used < EXCHANGE_LIFETIME:
                return None
        self._used_by_segment[segment] = now
        taken = self._first + self._next
        self._next = (self._next + 1) % self._size
        return taken
