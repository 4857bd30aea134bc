"""Records of one bucket on their way from home to heir."""

import itertools
from collections import deque
from collections.abc import Callable, Iterator

import attrs

from redwingstream.errors import ResultCode
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.placement.effects import Effect, RecordRefused, Send
from redwingstream.placement.messages import BucketContents, Record, RecordAck
from redwingstream.placement.parts import (
    PART_BYTES,
    RECORD_BYTES,
    Item,
    contents_of,
    items_of,
    size_of,
    take_part,
)
from redwingstream.placement.retries import Backoff, RetryTiming
from redwingstream.requests.records import CondensedRequests
from redwingstream.tables.rows import ViewMember

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


@attrs.frozen
class HeirLink:
    """To whom, and under which view, a home sends its records.

    Parameters
    ----------
    pool : str
        Name of the pool.
    bucket : int
        Which bucket.
    view : int
        View under which the sender is home.
    heir : ViewMember
        Who acknowledges.
    """

    pool: str
    bucket: int
    view: int
    heir: ViewMember


@attrs.frozen
class _Flight:
    """The one message that is waiting for its acknowledgement."""

    send: Send
    ticket: int
    pending: tuple[int, ...]
    closed: frozenset[FlowKey]
    backoff: Backoff


class Outbox:
    """Sends the records of one bucket in order, one message at a time.

    Parameters
    ----------
    timing : RetryTiming
        Pauses between repeats.

    Notes
    -----
    One message in flight keeps the heir's copy in order and bounds what is
    under way; whatever comes meanwhile goes together in the next message, so
    a bucket's throughput is 24000 bytes of new records a round trip.
    """

    def __init__(self, timing: RetryTiming) -> None:
        self.synced = False
        self._timing = timing
        self._tickets: Iterator[int] = itertools.count(1)
        self._pending_by_ticket: dict[int, PendingRecord] = {}
        self._unsynced: deque[Item] | None = None
        self._condensed = CondensedRequests()
        self._flight: _Flight | None = None

    def has_room(self, size: int) -> bool:
        """Whether a record of this many bytes may wait here."""
        waiting = sum(each.size for each in self._pending_by_ticket.values())
        return waiting + size <= MAX_PENDING_BYTES

    def add(self, pending: PendingRecord) -> None:
        """Let a record wait for the next message."""
        self._pending_by_ticket[pending.ticket] = pending

    def restart(self) -> None:
        """Forget the message in flight: the view or the heir has changed.

        What waits stays and is sent again; an acknowledgement that comes for
        the old message finds no match.
        """
        self._flight = None
        self._unsynced = None
        self.synced = False

    def begin_sync(self, contents: BucketContents) -> None:
        """Let the heir have these contents, beside what is recorded."""
        self._unsynced = items_of(contents)
        self._condensed = contents.condensed

    def accept_all(self) -> tuple[PendingRecord, ...]:
        """Remove and return all that waits: there is no heir to ask."""
        accepted = tuple(self._pending_by_ticket.values())
        self._pending_by_ticket.clear()
        self.synced = True
        return accepted

    def refuse(
        self, reason: ResultCode, chosen: Callable[[PendingRecord], bool]
    ) -> list[Effect]:
        """Remove what is chosen and return the refusals."""
        refused: list[Effect] = []
        for pending in tuple(self._pending_by_ticket.values()):
            if chosen(pending):
                self._pending_by_ticket.pop(pending.ticket)
                refused.append(RecordRefused(pending.ticket, reason))
        return refused

    def expire(self, now: float) -> list[Effect]:
        """Refuse what has reached its give-up time.

        Guards against a home that was frozen and finds the answer to an old
        record when it runs again: the heir that accepted it may have been lost
        since, so that the new home knows nothing of the record.  The give-up
        time comes before the longest replay time, after which such a home is
        in effect; from then on the record takes no effect here.
        """
        return self.refuse(
            ResultCode.TIMED_OUT, lambda pending: now >= pending.give_up_at
        )

    def due_sends(self, link: HeirLink, now: float) -> list[Effect]:
        """Return the message to send, or send again, at this time."""
        if self._flight is None:
            self._flight = self._compose(link)
        flight = self._flight
        if flight is None or not flight.backoff.take(now):
            return []
        return [flight.send]

    def acknowledge(self, ack: RecordAck) -> tuple[PendingRecord, ...]:
        """Take the heir's answer and return the records that it accepted.

        Those that were given up in the meantime are not among them.
        """
        flight = self._flight
        if flight is None or ack.ticket != flight.ticket or not ack.accepted:
            return ()
        self._flight = None
        self._condensed = CondensedRequests()
        self._forget_closed(flight.closed)
        if self._unsynced is not None and not self._unsynced:
            self.synced = True
        found = (
            self._pending_by_ticket.pop(ticket, None)
            for ticket in flight.pending
        )
        return tuple(each for each in found if each is not None)

    def next_due(self) -> float:
        """Return when to look again, in seconds; infinity when idle."""
        flight = self._flight
        repeat = _NEVER if flight is None else flight.backoff.due
        return min(repeat, self.next_give_up())

    def next_give_up(self) -> float:
        """Return the first give-up time, in seconds; infinity when none."""
        pending = self._pending_by_ticket.values()
        return min((each.give_up_at for each in pending), default=_NEVER)

    def idle(self) -> bool:
        """Whether nothing waits and the heir has everything."""
        return self.synced and not self._pending_by_ticket

    def _compose(self, link: HeirLink) -> _Flight | None:
        pending = self._take_pending()
        syncing = self._unsynced is not None and not self.synced
        if not pending and not syncing:
            return None
        room = PART_BYTES - sum(each.size for each in pending)
        chosen = take_part(self._unsynced, room) if self._unsynced else []
        # Older contents stand before new records, so that a flow that is
        # closed by a record of the same message ends up closed.
        for recorded in pending:
            chosen.extend(items_of(recorded.contents))
        record = Record(
            pool=link.pool,
            view=link.view,
            bucket=link.bucket,
            ticket=next(self._tickets),
            asked_incarnation=link.heir.incarnation,
            contents=attrs.evolve(
                contents_of(chosen), condensed=self._condensed
            ),
        )
        return _Flight(
            send=Send(link.heir.endpoint, record),
            ticket=record.ticket,
            pending=tuple(each.ticket for each in pending),
            closed=_closed_keys(record.contents),
            backoff=Backoff(self._timing),
        )

    def _take_pending(self) -> list[PendingRecord]:
        chosen = []
        room = RECORD_BYTES
        for each in self._pending_by_ticket.values():
            room -= each.size
            if room < 0:
                break
            chosen.append(each)
        return chosen

    def _forget_closed(self, closed: frozenset[FlowKey]) -> None:
        # The contents to hand over were read before the flow was closed; sent
        # after the closing they would open it again at the heir.
        if closed and self._unsynced:
            self._unsynced = deque(
                each
                for each in self._unsynced
                if not (isinstance(each, FlowRecord) and each.key in closed)
            )


def pending_record(
    ticket: int, contents: BucketContents, give_up_at: float
) -> PendingRecord:
    """Return a record that waits, with its size."""
    return PendingRecord(ticket, contents, give_up_at, size_of(contents))


def _closed_keys(contents: BucketContents) -> frozenset[FlowKey]:
    return frozenset(flow.key for flow in contents.flows if flow.closed)
