"""Feeds that change their carrier, seen from their home.

A feed moves when its carrier asks (it leaves, or its server does not take it)
and when its carrier is gone.  It never moves for balance.  A feed whose carrier
stands in a zone that was taken out is given up.
"""

from collections import OrderedDict

import attrs

from redwingstream.agent.outgoing_assignments import OutgoingAssignments
from redwingstream.agent.effects import PerformKeeperEffects
from redwingstream.agent.feeds import FeedRelay
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
"""Seconds that the heir may take; after that a feed moves without it."""

HAND_OVER_TIME = 4.0
"""Seconds in which a former carrier may still serve a feed."""


@attrs.frozen(eq=False)
class Move:
    """A feed on its way to another carrier.

    Parameters
    ----------
    record : FlowRecord
        Its new record.
    observe : int
        Last number that its caller may have been sent.
    former : str
        ``IP:PORT`` of the carrier that serves it until then; empty if none.
    """

    record: FlowRecord
    observe: int
    former: str


class FeedMoves:
    """Places feeds anew whose carrier leaves or is gone.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    feeds : FeedRelay
        Feeds of the own server.
    assignments : Assignments
        Chooses other agents.
    perform : callable
        Carries out what the keeper asks for.
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
        self._handed_at: OrderedDict[FlowKey, float] = OrderedDict()

    def handle_feed_move(
        self, message: FeedMove, source: str, now: float
    ) -> None:
        """Take a carrier's request to place a feed elsewhere."""
        key = message.record.key
        if not self.is_home(key) or self.is_moving(key):
            return
        known = self._parts.store.flows.carrier_of(
            key.caller, key.service, key.token, now
        )
        if known is not None and known.generation > message.record.generation:
            # Placed before; the word to the new carrier or to the old one was
            # lost.
            self.hand_over(Move(known, message.observe, source), now)
            return
        self.place(message.record, message.observe, source, now)

    def place(
        self, record: FlowRecord, observe: int, former: str, now: float
    ) -> None:
        """Have another agent carry a feed, once home and heir hold that."""
        carrier = self._choose(former, now)
        if not carrier:
            self._parts.metrics.count('feed_without_carrier')
            return
        following = attrs.evolve(
            record, carrier=carrier, generation=record.generation + 1
        )
        self._moving.add(record.key)
        ticket, effects = self._record(following, now)
        self._move_by_ticket[ticket] = Move(following, observe, former)
        self._perform(effects, now)

    def handle_feed_end(self, message: FeedEnd, now: float) -> None:
        """Forget a feed that has ended."""
        if self.is_home(message.record.key):
            self.remember(message.record, now)

    def remember(self, record: FlowRecord, now: float) -> None:
        """Hold a record here and at the heir; nothing waits for it."""
        key = record.key
        bucket = self._parts.bucket_of(key.caller, key.service)
        self._parts.store.flows.put(bucket, record, now)
        _, effects = self._record(record, now)
        self._perform(effects, now)

    def recorded(self, ticket: int, now: float) -> bool:
        """Move a feed whose new record home and heir hold."""
        move = self._move_by_ticket.pop(ticket, None)
        if move is None:
            return False
        self._moving.discard(move.record.key)
        self.hand_over(move, now)
        return True

    def refused(self, ticket: int, reason: ResultCode, now: float) -> None:
        """Move a feed without its heir, or try again later.

        Notes
        -----
        Guards against a heir that is lost while control is gone: no new view
        comes, and the feed would stand still.  Two carriers at once are no
        harm that stays: the new one tells whoever is home of its generation,
        and the higher one wins.  A request would run twice, a feed does not.
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

        Also while an earlier pair is lost: the carriers know their feeds, and
        a home that did not listen to them would not find them for ACKs.
        """
        bucket = self._parts.bucket_of(key.caller, key.service)
        status = self._parts.keeper.status(bucket)
        return isinstance(status, InEffect | Recovering)

    def is_moving(self, key: FlowKey) -> bool:
        """Whether a new record of a feed is on its way to the heir."""
        return key in self._moving

    def is_handed_over(self, key: FlowKey, now: float) -> bool:
        """Whether a feed moved so lately that its former carrier serves on."""
        while self._handed_at:
            oldest, handed_at = next(iter(self._handed_at.items()))
            if now - handed_at < HAND_OVER_TIME:
                break
            self._handed_at.pop(oldest)
        return key in self._handed_at

    def hand_over(self, move: Move, now: float) -> None:
        """Tell the new carrier of a feed, also once more."""
        self._parts.metrics.count('feed_moved')
        record = move.record
        self._handed_at[record.key] = now
        self._handed_at.move_to_end(record.key)
        message = TakeFeed(record, move.observe, move.former)
        if record.carrier == self._parts.identity.carrier:
            self._feeds.handle_take_feed(message, now)
            return
        endpoint = self._parts.endpoint_of_carrier(record.carrier)
        if endpoint is not None:
            self._parts.out.to_peer(endpoint, message)

    def _record(
        self, record: FlowRecord, now: float
    ) -> tuple[int, list[Effect]]:
        key = record.key
        bucket = self._parts.bucket_of(key.caller, key.service)
        contents = BucketContents(flows=(record,))
        return self._parts.keeper.record(
            bucket, contents, now, now + RECORD_TIMEOUT
        )

    def _choose(self, former: str, now: float) -> str:
        """Return who is to carry a feed from now on.

        An established feed is taken on even beyond the limit for new ones
        when nobody else has room: its registration waits for the server.
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
