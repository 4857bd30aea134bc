"""Records of one bucket that wait to be held by home and heir."""

from collections.abc import Callable

import attrs

from redwingstream.errors import ResultCode
from redwingstream.placement.effects import Effect, RecordRefused
from redwingstream.placement.messages import BucketContents
from redwingstream.placement.parts import RECORD_BYTES, size_of

# What waits for the heir of one bucket at most: eight records' worth, which is
# eight round trips (16 ms between zones).  A longer queue would only turn an
# immediate refusal into a late one.
MAX_PENDING_BYTES = 8 * RECORD_BYTES

_NEVER = float('inf')


@attrs.frozen
class PendingRecord:
    """Something that waits to be held by home and heir.

    Parameters
    ----------
    ticket : int
        Number by which its owner knows it.
    contents : BucketContents
        What to hold.
    give_up_at : float
        Time in seconds from which it must not take effect any more.
    size : int
        Bytes of the contents in a frame.
    """

    ticket: int
    contents: BucketContents
    give_up_at: float
    size: int


def pending_record(
    ticket: int, contents: BucketContents, give_up_at: float
) -> PendingRecord:
    """Return a record that waits, with its size."""
    return PendingRecord(ticket, contents, give_up_at, size_of(contents))


class PendingRecords:
    """Waiting records in the order in which they came.

    Notes
    -----
    While an heir is silent, a thousand may wait, and each event looks at them.
    Their bytes and the first give-up time are therefore kept, not computed; the
    time may be too early after a removal, which costs one look in vain.
    """

    def __init__(self) -> None:
        self._by_ticket: dict[int, PendingRecord] = {}
        self._bytes = 0
        self._next_give_up = _NEVER

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._by_ticket)

    def has_room(self, size: int) -> bool:
        """Whether a record of this many bytes may wait here."""
        return self._bytes + size <= MAX_PENDING_BYTES

    def add(self, pending: PendingRecord) -> None:
        """Let a record wait."""
        self._by_ticket[pending.ticket] = pending
        self._bytes += pending.size
        self._next_give_up = min(self._next_give_up, pending.give_up_at)

    def pop(self, ticket: int) -> PendingRecord | None:
        """Remove and return a record; None when it waits no longer."""
        found = self._by_ticket.pop(ticket, None)
        if found is not None:
            self._bytes -= found.size
        return found

    def first(self, room: int) -> list[PendingRecord]:
        """Return the first records that fit into this many bytes."""
        chosen = []
        for pending in self._by_ticket.values():
            room -= pending.size
            if room < 0:
                break
            chosen.append(pending)
        return chosen

    def pop_all(self) -> list[PendingRecord]:
        """Remove and return all."""
        removed = list(self._by_ticket.values())
        self._by_ticket.clear()
        self._bytes = 0
        self._next_give_up = _NEVER
        return removed

    def refuse(
        self, reason: ResultCode, chosen: Callable[[PendingRecord], bool]
    ) -> list[Effect]:
        """Remove what is chosen and return the refusals."""
        refused: list[Effect] = []
        for pending in self.pop_all():
            if chosen(pending):
                refused.append(RecordRefused(pending.ticket, reason))
            else:
                self.add(pending)
        return refused

    def expire(self, now: float) -> list[Effect]:
        """Refuse what has reached its give-up time.

        Guards against a home that was frozen and finds the answer to an old
        record when it runs again: the heir that accepted it may have been lost
        since, so that the new home knows nothing of the record.  The give-up
        time comes before the longest replay time, after which such a home is
        in effect; from then on the record takes no effect here.
        """
        if now < self._next_give_up:
            return []
        return self.refuse(
            ResultCode.TIMED_OUT, lambda pending: now >= pending.give_up_at
        )
