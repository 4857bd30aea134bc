"""Replication of the records of one bucket from its home to its heir."""

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
    contents_to_items,
    items_to_contents,
    pop_items,
)
from redwingstream.placement.pending import PendingRecord, PendingRecords
from redwingstream.placement.retries import Backoff, RetryTiming
from redwingstream.requests.records import CondensedRequests
from redwingstream.tables.rows import ViewMember


@attrs.frozen
class HeirLink:
    """Heir to which a home sends the records of a bucket, and their view.

    Parameters
    ----------
    pool : str
        Name of the pool.
    bucket : int
        Number of the bucket.
    view : int
        View under which the sender is home.
    heir : ViewMember
        The agent that acknowledges the records.
    """

    pool: str
    bucket: int
    view: int
    heir: ViewMember


@attrs.frozen
class _InFlight:
    """The message that waits for its acknowledgement.

    Parameters
    ----------
    send : Send
        Effect that sends the message.
    ticket : int
        Ticket of the message.
    pending : tuple of int
        Tickets of the waiting records in the message.
    closed : frozenset of FlowKey
        Flows that the message closes.
    backoff : Backoff
        When the message is sent again.
    """

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
        Pauses between retries.

    Attributes
    ----------
    synced : bool
        Whether the heir has acknowledged all contents of the bucket.
    pending : PendingRecords
        Records that wait to be sent or acknowledged.

    Notes
    -----
    A single message in flight keeps the heir's copy in order and bounds the
    bytes in flight.  Records that arrive meanwhile are sent together in the
    next message, so that a bucket's throughput is 24000 bytes of new records
    per round trip.
    """

    def __init__(self, timing: RetryTiming) -> None:
        self.synced = False
        self.pending = PendingRecords()
        self._timing = timing
        self._tickets: Iterator[int] = itertools.count(1)
        self._unsynced: deque[Item] | None = None
        self._condensed = CondensedRequests()
        self._in_flight: _InFlight | None = None

    def restart(self) -> None:
        """Drop the message in flight because the view or the heir has changed.

        Waiting records stay and are sent again; an acknowledgement of the old
        message is ignored.
        """
        self._in_flight = None
        self._unsynced = None
        self.synced = False

    def begin_sync(self, contents: BucketContents) -> None:
        """Start to send existing contents to the heir, beside new records."""
        self._unsynced = contents_to_items(contents)
        self._condensed = contents.condensed

    def pop_all(self) -> list[PendingRecord]:
        """Remove and return all waiting records, for a view without an heir."""
        self.synced = True
        return self.pending.pop_all()

    def due_sends(self, link: HeirLink, now: float) -> list[Effect]:
        """Return the message to send, or send again, at this time."""
        if self._in_flight is None:
            self._in_flight = self._compose(link)
        in_flight = self._in_flight
        if in_flight is None or not in_flight.backoff.start_if_due(now):
            return []
        return [in_flight.send]

    def handle_ack(self, ack: RecordAck) -> list[PendingRecord]:
        """Handle the heir's answer and return the records that it accepted.

        Records that have reached their give-up time are not among them.
        """
        in_flight = self._in_flight
        if (
            in_flight is None
            or ack.ticket != in_flight.ticket
            or not ack.accepted
        ):
            return []
        self._in_flight = None
        self._condensed = CondensedRequests()
        self._drop_closed(in_flight.closed)
        if self._unsynced is not None and not self._unsynced:
            self.synced = True
        found = map(self.pending.pop, in_flight.pending)
        return [record for record in found if record is not None]

    def is_idle(self) -> bool:
        """Whether no record waits and the heir holds all contents."""
        return self.synced and not self.pending

    def _compose(self, link: HeirLink) -> _InFlight | None:
        pending = self.pending.first_fitting(RECORD_BYTES)
        syncing = self._unsynced is not None and not self.synced
        if not pending and not syncing:
            return None
        room = PART_BYTES - sum(each.size for each in pending)
        chosen = pop_items(self._unsynced, room) if self._unsynced else []
        # Older contents precede new records, so that a flow that is closed by
        # a record of the same message stays closed at the heir.
        for recorded in pending:
            chosen.extend(contents_to_items(recorded.contents))
        record = Record(
            pool=link.pool,
            view=link.view,
            bucket=link.bucket,
            ticket=next(self._tickets),
            asked_incarnation=link.heir.incarnation,
            contents=attrs.evolve(
                items_to_contents(chosen), condensed=self._condensed
            ),
        )
        return _InFlight(
            send=Send(link.heir.endpoint, record),
            ticket=record.ticket,
            pending=tuple(each.ticket for each in pending),
            closed=_closed_keys(record.contents),
            backoff=Backoff(self._timing),
        )

    def _drop_closed(self, closed: frozenset[FlowKey]) -> None:
        # The contents to send were read before the flow was closed; sent after
        # the record that closes it, they would open it again at the heir.
        if closed and self._unsynced:
            self._unsynced = deque(
                each
                for each in self._unsynced
                if not (isinstance(each, FlowRecord) and each.key in closed)
            )


def _closed_keys(contents: BucketContents) -> frozenset[FlowKey]:
    return frozenset(flow.key for flow in contents.flows if flow.closed)
