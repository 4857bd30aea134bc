"""Records of one bucket on their way from home to heir."""

import itertools
from collections import deque
from collections.abc import Iterator

import attrs

from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.placement.effects import Effect, Send
from redwingstream.placement.messages import BucketContents, Record, RecordAck
from redwingstream.placement.parts import (
    PART_BYTES,
    RECORD_BYTES,
    Item,
    contents_of,
    items_of,
    take_part,
)
from redwingstream.placement.pending import PendingRecord, PendingRecords
from redwingstream.placement.retries import Backoff, RetryTiming
from redwingstream.requests.records import CondensedRequests
from redwingstream.tables.rows import ViewMember


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

    Attributes
    ----------
    synced : bool
        Whether the heir has acknowledged all contents of the bucket.
    pending : PendingRecords
        What waits to be sent or acknowledged.

    Notes
    -----
    One message in flight keeps the heir's copy in order and bounds what is
    under way; whatever comes meanwhile goes together in the next message, so
    a bucket's throughput is 24000 bytes of new records a round trip.
    """

    def __init__(self, timing: RetryTiming) -> None:
        self.synced = False
        self.pending = PendingRecords()
        self._timing = timing
        self._tickets: Iterator[int] = itertools.count(1)
        self._unsynced: deque[Item] | None = None
        self._condensed = CondensedRequests()
        self._flight: _Flight | None = None

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

    def accept_all(self) -> list[PendingRecord]:
        """Remove and return all that waits: there is no heir to ask."""
        self.synced = True
        return self.pending.pop_all()

    def due_sends(self, link: HeirLink, now: float) -> list[Effect]:
        """Return the message to send, or send again, at this time."""
        if self._flight is None:
            self._flight = self._compose(link)
        flight = self._flight
        if flight is None or not flight.backoff.take(now):
            return []
        return [flight.send]

    def acknowledge(self, ack: RecordAck) -> list[PendingRecord]:
        """Take the heir's answer and return the records that it accepted.

        Those that were given up in the meantime are not among them.
        """
        flight = self._flight
        if flight is None or ack.ticket != flight.ticket or not ack.accepted:
            return []
        self._flight = None
        self._condensed = CondensedRequests()
        self._forget_closed(flight.closed)
        if self._unsynced is not None and not self._unsynced:
            self.synced = True
        found = map(self.pending.pop, flight.pending)
        return [record for record in found if record is not None]

    def idle(self) -> bool:
        """Whether nothing waits and the heir has everything."""
        return self.synced and not self.pending

    def _compose(self, link: HeirLink) -> _Flight | None:
        pending = self.pending.first(RECORD_BYTES)
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

    def _forget_closed(self, closed: frozenset[FlowKey]) -> None:
        # The contents to hand over were read before the flow was closed; sent
        # after the closing they would open it again at the heir.
        if closed and self._unsynced:
            self._unsynced = deque(
                each
                for each in self._unsynced
                if not (isinstance(each, FlowRecord) and each.key in closed)
            )


def _closed_keys(contents: BucketContents) -> frozenset[FlowKey]:
    return frozenset(flow.key for flow in contents.flows if flow.closed)
