"""Feeds that change their carrier, seen from their home.

A feed moves when its carrier asks (it leaves, or its server does not take it)
and when its carrier is gone.  It never moves for balance.  A feed whose carrier
stands in a zone that was taken out is given up.
"""

import attrs
from aiocoap.message import Message

from redwingstream.agent.assignments import Assignments
from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.errors import ResultCode
from redwingstream.flows.observe import COUNTER_LIMIT, sequence_number
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.forwarding.messages import (
    CarriedFeeds,
    FeedEnd,
    FeedMove,
    FeedMoved,
    TakeFeed,
)
from redwingstream.placement.effects import Effect, InEffect
from redwingstream.placement.messages import BucketContents
from redwingstream.wire import coap

RECORD_TIMEOUT = 2.0
RETRY_AFTER = 1.0
"""Seconds after which a feed without a carrier is tried again."""


@attrs.frozen(eq=False)
class _Move:
    record: FlowRecord
    observe: int
    former: str


class FeedMoves:
    """Places feeds anew whose carrier leaves or is gone.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    replies : Replies
        Sends final answers.
    feeds : FeedRelay
        Feeds of the own server.
    assignments : Assignments
        Chooses other agents.
    """

    def __init__(
        self,
        parts: AgentParts,
        replies: Replies,
        feeds: FeedRelay,
        assignments: Assignments,
    ) -> None:
        self._parts = parts
        self._replies = replies
        self._feeds = feeds
        self._assignments = assignments
        self._move_by_ticket: dict[int, _Move] = {}
        self._moving: set[FlowKey] = set()
        self._check_at = float()

    def move(self, message: FeedMove, source: str, now: float) -> list[Effect]:
        """Take a carrier's request to place a feed elsewhere."""
        key = message.record.key
        if not self._is_home(key) or key in self._moving:
            return []
        known = self._parts.store.flows.carrier_of(
            key.caller, key.service, key.token, now
        )
        if known is not None and known.generation > message.record.generation:
            # Placed before; the word to the new carrier or to the old one was
            # lost.
            self._hand_over(_Move(known, message.observe, source), now)
            return []
        return self._place(message.record, message.observe, source, now)

    def take(self, message: TakeFeed, now: float) -> None:
        """Carry a feed that its home has placed here."""
        self._feeds.take(message.record, message.observe, now)
        if message.former:
            moved = FeedMoved(message.record.key, message.record.generation)
            self._parts.out.to_peer(message.former, moved)

    def moved(self, message: FeedMoved, now: float) -> None:
        """Let go of a feed that another agent carries now."""
        self._feeds.carry_out(self._parts.feeds.moved(message), now)

    def end(self, message: FeedEnd, now: float) -> list[Effect]:
        """Forget a feed that has ended."""
        key = message.record.key
        if not self._is_home(key):
            return []
        bucket = self._parts.bucket_of(key.caller, key.service)
        self._parts.store.flows.put(bucket, message.record, now)
        return self._tell_heir(message.record, now)

    def carried(self, message: CarriedFeeds, now: float) -> list[Effect]:
        """Learn of feeds from the agent that carries them."""
        effects: list[Effect] = []
        for record in message.records:
            key = record.key
            known = self._parts.store.flows.carrier_of(
                key.caller, key.service, key.token, now
            )
            if known != record and self._is_home(key):
                bucket = self._parts.bucket_of(key.caller, key.service)
                self._parts.store.flows.put(bucket, record, now)
                effects.extend(self._tell_heir(record, now))
        return effects

    def recorded(self, ticket: int, now: float) -> bool:
        """Move a feed whose new record home and heir hold."""
        move = self._move_by_ticket.pop(ticket, None)
        if move is None:
            return False
        self._moving.discard(move.record.key)
        self._hand_over(move, now)
        return True

    def refused(self, ticket: int) -> None:
        """Try a move again later: its carrier asks, or the check finds it."""
        move = self._move_by_ticket.pop(ticket, None)
        if move is not None:
            self._moving.discard(move.record.key)

    def check(self, now: float) -> list[Effect]:
        """Look for feeds whose carrier is gone or stands in a zone out."""
        if now < self._check_at:
            return []
        self._check_at = now + RETRY_AFTER
        effects: list[Effect] = []
        for record in self._parts.store.flows.feeds():
            if self._is_home(record.key) and record.key not in self._moving:
                effects.extend(self._check_one(record, now))
        return effects

    def check_soon(self) -> None:
        """Have the next :meth:`check` look at once: the tables changed."""
        self._check_at = float()

    def _check_one(self, record: FlowRecord, now: float) -> list[Effect]:
        if record.carrier == self._parts.me.carrier:
            return []
        if self._parts.is_carrier_in_zone_out(record.carrier):
            return self._give_up(record, now)
        if self._parts.endpoint_of_carrier(record.carrier) is not None:
            return []
        self._parts.metrics.count('feed_orphaned')
        # Whatever the lost carrier may have sent under its generation.
        observe = sequence_number(record.generation, COUNTER_LIMIT - 1)
        return self._place(record, observe, '', now)

    def _place(
        self, record: FlowRecord, observe: int, former: str, now: float
    ) -> list[Effect]:
        carrier = self._choose(former, now)
        if not carrier:
            self._parts.metrics.count('feed_without_carrier')
            return []
        following = attrs.evolve(
            record, carrier=carrier, generation=record.generation + 1
        )
        key = record.key
        ticket, effects = self._parts.keeper.record(
            self._parts.bucket_of(key.caller, key.service),
            BucketContents(flows=(following,)),
            now,
            now + RECORD_TIMEOUT,
        )
        self._move_by_ticket[ticket] = _Move(following, observe, former)
        self._moving.add(key)
        return effects

    def _choose(self, former: str, now: float) -> str:
        """Return who is to carry a feed from now on.

        An established feed is taken on even beyond the limit for new ones
        when nobody else has room: its registration waits for the server.
        """
        is_own = former == self._parts.me.endpoint
        if not is_own and self._feeds.has_room(now):
            return self._parts.me.carrier
        chosen = self._assignments.choose(now)
        if chosen or is_own or self._parts.is_leaving:
            return chosen
        return self._parts.me.carrier

    def _hand_over(self, move: _Move, now: float) -> None:
        self._parts.metrics.count('feed_moved')
        record = move.record
        if record.carrier == self._parts.me.carrier:
            self.take(TakeFeed(record, move.observe, move.former), now)
            return
        endpoint = self._parts.endpoint_of_carrier(record.carrier)
        if endpoint is not None:
            message = TakeFeed(record, move.observe, move.former)
            self._parts.out.to_peer(endpoint, message)

    def _give_up(self, record: FlowRecord, now: float) -> list[Effect]:
        """Tell the caller, in case the zone's own agent cannot."""
        self._parts.metrics.count('feed_given_up')
        key = record.key
        request = coap.decode(record.registration)
        request.mtype = coap.NON
        final: Message = coap.decode(
            self._replies.not_run(request, ResultCode.ZONE_OUT, now)
        )
        balancer = self._parts.paths.pick()
        if balancer is not None:
            self._replies.send_through(
                balancer, key.caller, key.service, coap.encode(final)
            )
        closed = attrs.evolve(record, closed=True)
        bucket = self._parts.bucket_of(key.caller, key.service)
        self._parts.store.flows.put(bucket, closed, now)
        return self._tell_heir(closed, now)

    def _tell_heir(self, record: FlowRecord, now: float) -> list[Effect]:
        key = record.key
        _, effects = self._parts.keeper.record(
            self._parts.bucket_of(key.caller, key.service),
            BucketContents(flows=(record,)),
            now,
            now + RECORD_TIMEOUT,
        )
        return effects

    def _is_home(self, key: FlowKey) -> bool:
        bucket = self._parts.bucket_of(key.caller, key.service)
        status = self._parts.keeper.status(bucket)
        return isinstance(status, InEffect)
