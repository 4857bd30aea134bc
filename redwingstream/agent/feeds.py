"""Relays the feeds carried by this agent between callers and its server.

An agent carries a feed when its own backend server serves it.  The relay
handles each carried feed from registration to end, within admission limits.
"""

import attrs
from aiocoap.message import Message

from redwingstream.agent.effects import PerformServerEffects
from redwingstream.agent.feed_openings import (
    UNSERVED_FEED_TIMEOUT,
    FeedOpenings,
)
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.errors import ResultCode
from redwingstream.flows.effects import (
    CloseFeed,
    FeedClosed,
    FeedEffect,
    GenerationWanted,
    RegistrationId,
    SendToCaller,
)
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.forwarding.messages import (
    FeedEnd,
    FeedMove,
    FeedMoved,
    Packet,
    TakeFeed,
)

MOVE_INTERVAL = 0.5
"""Seconds between two requests to the homes to move the same feeds."""

MAX_WAITING_FEEDS = 8
"""Maximum count of new feeds that wait for registration at the server.

A cold server accepts that many in two seconds.
"""

FORMER_CARRIER_TIMEOUT = 3.0
"""Seconds after which a former carrier is told to stop serving a feed, even if
the server of this agent has not sent a notification."""


@attrs.frozen
class _FormerCarrier:
    endpoint: str
    generation: int
    deadline: float


class FeedRelay:
    """Relays feeds between callers and the backend server.

    Parameters
    ----------
    parts : AgentParts
        State and decision objects of the agent.
    replies : Replies
        Sends packets to callers.
    perform : callable
        Performs effects of the server's side.

    Attributes
    ----------
    openings : FeedOpenings
        Registers feeds at the server.
    """

    def __init__(
        self, parts: AgentParts, replies: Replies, perform: PerformServerEffects
    ) -> None:
        self._parts = parts
        self._replies = replies
        self.openings = FeedOpenings(parts, perform)
        self._former_by_key: dict[FlowKey, _FormerCarrier] = {}
        self._next_move_at = float()

    def has_room(self, now: float) -> bool:
        """Whether this agent accepts one more new feed.

        Notes
        -----
        A registration takes milliseconds, so a few may wait while all slots
        of the server are in use; the rate of :class:`FeedLimit` still applies.
        If they were refused at once, callers that register at the same time
        would be refused by servers that have room for hundreds of feeds.
        """
        parts = self._parts
        if parts.is_leaving or parts.is_zone_out() or parts.server_is_silent:
            return False
        waiting = parts.feeds.unregistered_count()
        if (
            waiting >= MAX_WAITING_FEEDS
            or waiting >= parts.feed_limit.remaining_feeds()
        ):
            return False
        is_busy = 0 < parts.limit.limit <= parts.limit.in_flight
        return is_busy or parts.limit.can_start(now)

    def register(
        self, record: FlowRecord, packet: Packet, request: Message, now: float
    ) -> None:
        """Register a feed that home and heir have recorded."""
        effects = self._parts.feeds.register(
            record, request, packet.balancer, now
        )
        self.perform(effects, now)
        self.openings.open_waiting(now)

    def deregister(self, packet: Packet, request: Message, now: float) -> None:
        """End a feed at the request of its caller."""
        key = FlowKey(packet.caller, packet.service, request.token)
        self.perform(self._parts.feeds.deregister(key), now)

    def handle_take_feed(self, message: TakeFeed, now: float) -> None:
        """Continue an established feed of another carrier.

        Notes
        -----
        The former carrier is told to stop once the server of this agent has
        sent its first notification, so that the caller sees no gap.  It is
        told after ``FORMER_CARRIER_TIMEOUT`` in any case, so that a slow
        server does not hold up a former carrier that is leaving.
        """
        self._parts.metrics.count('feed_taken')
        record = message.record
        if message.former:
            self._former_by_key[record.key] = _FormerCarrier(
                message.former, record.generation, now + FORMER_CARRIER_TIMEOUT
            )
        effects = self._parts.feeds.take_over(record, message.observe, now)
        self.perform(effects, now)
        self.openings.open_waiting(now)

    def handle_notification(
        self, source: object, notification: Message, now: float
    ) -> None:
        """Forward a notification of the server to the caller."""
        if not isinstance(source, RegistrationId):
            return
        self.openings.handle_notification(source, now)
        self._parts.server_is_silent = False
        self.perform(
            self._parts.feeds.handle_notification(source, notification, now),
            now,
        )
        self._release_former(source.key)

    def handle_end(
        self,
        source: object,
        reason: ResultCode,
        response: Message | None,
        now: float,
    ) -> None:
        """Handle the end of a feed at the server."""
        if not isinstance(source, RegistrationId):
            return
        self.openings.handle_end(source, response, now)
        effects = self._parts.feeds.handle_ended(source, reason, response, now)
        self.perform(effects, now)

    def perform(self, effects: list[FeedEffect], now: float) -> None:
        """Perform effects of the callers' side of the feeds."""
        for effect in effects:
            match effect:
                case SendToCaller(balancer, caller, service, payload):
                    self._replies.send_through(
                        balancer, caller, service, payload
                    )
                case CloseFeed(source):
                    self.openings.close(source, now)
                case FeedClosed(record, _):
                    pool = self._parts.identity.pool
                    self._send_to_home(record, FeedEnd(pool, record))
                case GenerationWanted(record):
                    self._request_move(record.key)

    def tick(self, now: float) -> None:
        """Repeat notifications, register waiting feeds, request due moves."""
        self.perform(self._parts.feeds.poll(now), now)
        self.openings.open_waiting(now)
        for key, former in list(self._former_by_key.items()):
            if now >= former.deadline:
                self._release_former(key)
        if now >= self._next_move_at:
            self._next_move_at = now + MOVE_INTERVAL
            self._request_due_moves(now)

    def end_all(self, reason: ResultCode, now: float) -> None:
        """End every feed at once and tell callers when to register again."""
        for key in self._parts.feeds.keys():
            self._parts.metrics.count('feed_given_up')
            self.perform(self._parts.feeds.give_up(key, reason, now), now)

    def release_all(self, now: float) -> None:
        """Stop carrying every feed; other agents continue them."""
        for record in self._parts.feeds.records():
            moved = FeedMoved(record.key, record.generation + 1)
            self.perform(self._parts.feeds.handle_moved(moved), now)

    def schedule_moves(self) -> None:
        """Request moves at the next :meth:`tick`, as this agent is leaving."""
        self._next_move_at = float()

    def _request_due_moves(self, now: float) -> None:
        """Ask the homes to move feeds without a server, or all when leaving."""
        feeds = self._parts.feeds
        keys = feeds.claim_stuck_feeds(now, UNSERVED_FEED_TIMEOUT)
        if self._parts.is_leaving:
            keys = list(feeds.keys())
        for key in keys:
            self._request_move(key)

    def _request_move(self, key: FlowKey) -> None:
        move = self._parts.feeds.handover(key)
        if move is not None:
            self._send_to_home(move.record, move)

    def _release_former(self, key: FlowKey) -> None:
        former = self._former_by_key.pop(key, None)
        if former is not None:
            moved = FeedMoved(key, former.generation)
            self._parts.out.to_peer(former.endpoint, moved)

    def _send_to_home(
        self, record: FlowRecord, payload: FeedMove | FeedEnd
    ) -> None:
        key = record.key
        bucket = self._parts.bucket_of(key.caller, key.service)
        home = self._parts.home_of(bucket)
        if home is not None:
            self._parts.out.to_peer(home.endpoint, payload)
