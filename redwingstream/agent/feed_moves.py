"""Moves feeds from one carrier to another, as decided by their home.

The home is the agent that owns the bucket of a feed; its heir holds a copy of
the records.  The carrier is the agent whose server serves the feed.

A feed moves when its carrier requests it (the carrier leaves, or its server
does not accept the feed) and when its carrier is gone.  Feeds are never moved
to balance load.  A feed whose carrier is in a zone that is out of service is
ended instead.
"""

from collections import OrderedDict

import attrs

from redwingstream.agent.effects import PerformKeeperEffects
from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.outgoing_assignments import OutgoingAssignments
from redwingstream.agent.parts import AgentParts
from redwingstream.errors import ResultCode
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.forwarding.messages import (
    FeedEnd,
    FeedMove,
    TakeFeed,
)
from redwingstream.placement.effects import Effect, InEffect, Recovering
from redwingstream.placement.messages import BucketContents

RECORD_TIMEOUT = 1.5
"""Seconds to wait for the heir; after that a feed moves without it."""

HANDOVER_SECONDS = 4.0
"""Seconds for which a former carrier may keep serving a moved feed."""


@attrs.frozen(eq=False)
class Move:
    """A feed that is being moved to another carrier.

    Parameters
    ----------
    record : FlowRecord
        New record of the feed, which names the new carrier.
    observe : int
        Highest Observe number that the caller may have received.
    former : str
        ``IP:PORT`` of the carrier that serves the feed until the new one does;
        empty if there is none.
    """

    record: FlowRecord
    observe: int
    former: str


class FeedMoves:
    """Moves feeds whose carrier leaves or is gone.

    Parameters
    ----------
    parts : AgentParts
        State and decision objects of the agent.
    feeds : FeedRelay
        Feeds that this agent carries.
    assignments : OutgoingAssignments
        Chooses other agents.
    perform : callable
        Performs effects of the bucket keeper.
    """

    def __init__(
        self,
        parts: AgentParts,
        feeds: FeedRelay,
        assignments: OutgoingAssignments,
        perform: PerformKeeperEffects,
    ) -> None:
        self._parts = parts
        self._feeds = feeds
        self._assignments = assignments
        self._perform = perform
        self._move_by_ticket: dict[int, Move] = {}
        self._moving: set[FlowKey] = set()
        self._handed_over_at: OrderedDict[FlowKey, float] = OrderedDict()

    def handle_feed_move(
        self, message: FeedMove, source: str, now: float
    ) -> None:
        """Handle the request of a carrier to move a feed."""
        key = message.record.key
        if not self.is_home(key) or self.is_moving(key):
            return
        known = self._parts.store.flows.record_for(
            key.caller, key.service, key.token, now
        )
        if known is not None and known.generation > message.record.generation:
            # Already moved; the message to the new or the former carrier was
            # lost.
            self.hand_over(Move(known, message.observe, source), now)
            return
        self.place(message.record, message.observe, source, now)

    def place(
        self, record: FlowRecord, observe: int, former: str, now: float
    ) -> None:
        """Choose a new carrier and record it at home and heir.

        Parameters
        ----------
        record : FlowRecord
            Current record of the feed.
        observe : int
            Highest Observe number that the caller may have received.
        former : str
            ``IP:PORT`` of the carrier that still serves the feed; empty if
            there is none.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        carrier = self._choose_carrier(former, now)
        if not carrier:
            self._parts.metrics.count('feed_without_carrier')
            return
        moved_record = attrs.evolve(
            record, carrier=carrier, generation=record.generation + 1
        )
        self._moving.add(record.key)
        ticket, effects = self._send_record(moved_record, now)
        self._move_by_ticket[ticket] = Move(moved_record, observe, former)
        self._perform(effects, now)

    def handle_feed_end(self, message: FeedEnd, now: float) -> None:
        """Store the closing record of a feed that has ended."""
        if self.is_home(message.record.key):
            self.store_record(message.record, now)

    def store_record(self, record: FlowRecord, now: float) -> None:
        """Store a record here and send it to the heir without waiting."""
        key = record.key
        bucket = self._parts.bucket_of(key.caller, key.service)
        self._parts.store.flows.put(bucket, record, now)
        _, effects = self._send_record(record, now)
        self._perform(effects, now)

    def handle_recorded(self, ticket: int, now: float) -> bool:
        """Hand over a feed whose new record is stored at home and heir.

        Returns False if the ticket belongs to no move.
        """
        move = self._move_by_ticket.pop(ticket, None)
        if move is None:
            return False
        self._moving.discard(move.record.key)
        self.hand_over(move, now)
        return True

    def handle_record_refused(
        self, ticket: int, reason: ResultCode, now: float
    ) -> None:
        """Move a feed without its heir after a timeout.

        Other refusals cancel the move; the next check or request starts it
        again.

        Notes
        -----
        Guards against the loss of the heir while no control instance runs:
        there is no new view, and the feed would stay silent.  Two carriers at
        once do no lasting harm, as the new one reports its generation to the
        home and the higher generation wins.  This holds for feeds only; a
        request could run twice.
        """
        move = self._move_by_ticket.pop(ticket, None)
        if move is None:
            return
        key = move.record.key
        self._moving.discard(key)
        if reason is ResultCode.TIMED_OUT and self.is_home(key):
            self._parts.metrics.count('feed_moved_unrecorded')
            bucket = self._parts.bucket_of(key.caller, key.service)
            self._parts.store.flows.put(bucket, move.record, now)
            self.hand_over(move, now)

    def is_home(self, key: FlowKey) -> bool:
        """Whether this agent decides on a feed.

        True also while the records of an earlier home and heir are lost:
        carriers report their feeds, and a home that ignored the reports could
        not forward ACKs to the carriers.
        """
        bucket = self._parts.bucket_of(key.caller, key.service)
        status = self._parts.keeper.status(bucket)
        return isinstance(status, InEffect | Recovering)

    def is_moving(self, key: FlowKey) -> bool:
        """Whether a new record of a feed awaits the heir's answer."""
        return key in self._moving

    def is_handed_over(self, key: FlowKey, now: float) -> bool:
        """Whether the former carrier of a moved feed may still serve it."""
        while self._handed_over_at:
            oldest, handed_over_at = next(iter(self._handed_over_at.items()))
            if now - handed_over_at < HANDOVER_SECONDS:
                break
            self._handed_over_at.pop(oldest)
        return key in self._handed_over_at

    def hand_over(self, move: Move, now: float) -> None:
        """Send a feed to its new carrier; may be called again."""
        self._parts.metrics.count('feed_moved')
        record = move.record
        self._handed_over_at[record.key] = now
        self._handed_over_at.move_to_end(record.key)
        message = TakeFeed(record, move.observe, move.former)
        if record.carrier == self._parts.identity.carrier:
            self._feeds.handle_take_feed(message, now)
            return
        endpoint = self._parts.endpoint_of_carrier(record.carrier)
        if endpoint is not None:
            self._parts.out.to_peer(endpoint, message)

    def _send_record(
        self, record: FlowRecord, now: float
    ) -> tuple[int, list[Effect]]:
        key = record.key
        bucket = self._parts.bucket_of(key.caller, key.service)
        contents = BucketContents(flows=(record,))
        return self._parts.keeper.record(
            bucket, contents, now, now + RECORD_TIMEOUT
        )

    def _choose_carrier(self, former: str, now: float) -> str:
        """Return the new carrier of a feed; empty if there is none.

        If no agent has room, an established feed is accepted beyond the limit
        for new feeds; its registration then waits for the server.
        """
        is_own = former == self._parts.identity.endpoint
        if not is_own and self._feeds.has_room(now):
            return self._parts.identity.carrier
        chosen = self._assignments.choose_carrier(now)
        if chosen:
            return chosen
        if is_own or self._parts.is_leaving:
            return self._assignments.choose_carrier_for_open_feed(now)
        return self._parts.identity.carrier
