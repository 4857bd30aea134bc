"""Records of one bucket that wait until home and heir hold them."""

from collections.abc import Callable

import attrs

from redwingstream.errors import ResultCode
from redwingstream.placement.effects import Effect, RecordRefused
from redwingstream.placement.messages import BucketContents
from redwingstream.placement.parts import RECORD_BYTES, encoded_size

# Limit of the bytes that wait for the heir of one bucket: eight full records,
# which take eight round trips (16 ms between availability zones).  A longer
# queue would only replace an immediate refusal by a late one.
MAX_PENDING_BYTES = 8 * RECORD_BYTES

_NEVER = float('inf')


@attrs.frozen
class PendingRecord:
    """Contents that wait until home and heir hold them.

    Parameters
    ----------
    ticket : int
        Number that ``BucketKeeper.record`` returned for it.
    contents : BucketContents
        The contents.
    give_up_at : float
        Time in seconds, by the event loop's clock, from which the record must
        not take effect.
    size : int
        Bytes of the contents in a frame.
    """

    ticket: int
    contents: BucketContents
    give_up_at: float
    size: int


def make_pending_record(
    ticket: int, contents: BucketContents, give_up_at: float
) -> PendingRecord:
    """Return a waiting record with its size computed."""
    return PendingRecord(ticket, contents, give_up_at, encoded_size(contents))


class PendingRecords:
    """Waiting records of one bucket in the order of their arrival.

    Notes
    -----
    While an heir does not answer, a thousand records may wait, and each event
    checks them.  Their total size and earliest give-up time are therefore
    cached.  After a removal the cached time may be too early, which costs one
    unneeded pass.
    """

    def __init__(self) -> None:
        self._by_ticket: dict[int, PendingRecord] = {}
        self._bytes = 0
        self._next_give_up = _NEVER

    def __len__(self) -> int:
        """Return the number of waiting records."""
        return len(self._by_ticket)

    def has_room(self, size: int) -> bool:
        """Whether a record of this many bytes may be added."""
        return self._bytes + size <= MAX_PENDING_BYTES

    def add(self, pending: PendingRecord) -> None:
        """Append a record."""
        self._by_ticket[pending.ticket] = pending
        self._bytes += pending.size
        self._next_give_up = min(self._next_give_up, pending.give_up_at)

    def pop(self, ticket: int) -> PendingRecord | None:
        """Remove and return a record; None when it does not wait any more."""
        found = self._by_ticket.pop(ticket, None)
        if found is not None:
            self._bytes -= found.size
        return found

    def first_fitting(self, room: int) -> list[PendingRecord]:
        """Return the first records that together fit into `room` bytes."""
        chosen = []
        for pending in self._by_ticket.values():
            room -= pending.size
            if room < 0:
                break
            chosen.append(pending)
        return chosen

    def pop_all(self) -> list[PendingRecord]:
        """Remove and return all records."""
        removed = list(self._by_ticket.values())
        self._by_ticket.clear()
        self._bytes = 0
        self._next_give_up = _NEVER
        return removed

    def refuse_matching(
        self, reason: ResultCode, chosen: Callable[[PendingRecord], bool]
    ) -> list[Effect]:
        """Remove the records that match and return their refusals.

        Parameters
        ----------
        reason : ResultCode
            Reason of the refusals.
        chosen : callable
            Predicate; the records for which it is true are refused.
        """
        refused: list[Effect] = []
        for pending in self.pop_all():
            if chosen(pending):
                refused.append(RecordRefused(pending.ticket, reason))
            else:
                self.add(pending)
        return refused

    def refuse_expired(self, now: float) -> list[Effect]:
        """Refuse records that have reached their give-up time.

        Guards against a home that was frozen and finds the answer to an old
        record when it runs again: the heir that accepted the record may have
        been lost since, so that a new home does not know it.  Such a new home
        is in effect only after the longest replay time, and the give-up time
        is not later than that; from then on the record takes no effect here.
        """
        if now < self._next_give_up:
            return []
        return self.refuse_matching(
            ResultCode.TIMED_OUT, lambda pending: now >= pending.give_up_at
        )
