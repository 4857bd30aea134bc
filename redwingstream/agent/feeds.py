"""Feeds of the server beside this agent, from registration to end."""

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
    FeedSource,
    GenerationWanted,
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
"""Seconds between two requests to place the same feeds elsewhere."""

MAX_WAITING = 8
"""New feeds that may wait for a place on the server; two seconds of the
pace of a cold one."""

FORMER_PATIENCE = 3.0
"""Seconds that a former carrier serves on while the server here is asked."""


@attrs.frozen
class _Former:
    endpoint: str
    generation: int
    until: float


class FeedRelay:
    """Carries feeds between callers and the server, within admission.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    replies : Replies
        Sends packets to callers.
    perform : callable
        Carries out what the server's side asks for.

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
        self._former_by_key: dict[FlowKey, _Former] = {}
        self._move_at = float()

    def has_room(self, now: float) -> bool:
        """Whether this agent may take one more new feed.

        Notes
        -----
        A registration takes milliseconds, so a few may wait for a place while
        the server works; the pace of :class:`FeedLimit` still holds.  Refused
        at once, callers who come together would be sent away by servers that
        have room for hundreds.
        """
        parts = self._parts
        if parts.is_leaving or parts.is_zone_out() or parts.server_is_silent:
            return False
        waiting = parts.feeds.waiting()
        if (
            waiting >= MAX_WAITING
            or waiting >= parts.feed_limit.remaining_feeds()
        ):
            return False
        is_busy = 0 < parts.limit.limit <= parts.limit.in_flight
        return is_busy or parts.limit.can_start(now)

    def register(
        self, record: FlowRecord, packet: Packet, request: Message, now: float
    ) -> None:
        """Take a registration that home and heir have recorded."""
        effects = self._parts.feeds.register(
            record, request, packet.balancer, now
        )
        self.perform(effects, now)
        self.openings.open_waiting(now)

    def deregister(self, packet: Packet, request: Message, now: float) -> None:
        """End a feed because its caller asks for it."""
        key = FlowKey(packet.caller, packet.service, request.token)
        self.perform(self._parts.feeds.deregister(key), now)

    def handle_take_feed(self, message: TakeFeed, now: float) -> None:
        """Go on with an established feed of another carrier.

        Notes
        -----
        The former carrier is told once the server here has sent its first
        notification, so that there is no gap; or after a while, lest a slow
        server here keeps one there that wants to leave.
        """
        self._parts.metrics.count('feed_taken')
        record = message.record
        if message.former:
            self._former_by_key[record.key] = _Former(
                message.former, record.generation, now + FORMER_PATIENCE
            )
        effects = self._parts.feeds.take(record, message.observe, now)
        self.perform(effects, now)
        self.openings.open_waiting(now)

    def updated(
        self, source: object, notification: Message, now: float
    ) -> None:
        """Pass a notification of the server on."""
        if not isinstance(source, FeedSource):
            return
        self.openings.handle_notification(source, now)
        self._parts.server_is_silent = False
        self.perform(self._parts.feeds.update(source, notification, now), now)
        self._release_former(source.key)

    def ended(
        self,
        source: object,
        why: ResultCode,
        response: Message | None,
        now: float,
    ) -> None:
        """Take the end of a feed at the server."""
        if not isinstance(source, FeedSource):
            return
        self.openings.handle_end(source, response, now)
        effects = self._parts.feeds.ended(source, why, response, now)
        self.perform(effects, now)

    def perform(self, effects: list[FeedEffect], now: float) -> None:
        """Do what the callers' side of the feeds asks for."""
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
                    self._ask_to_move(record.key)

    def tick(self, now: float) -> None:
        """Repeat notifications, register what waits, move what cannot."""
        self.perform(self._parts.feeds.poll(now), now)
        self.openings.open_waiting(now)
        for key, former in list(self._former_by_key.items()):
            if now >= former.until:
                self._release_former(key)
        if now >= self._move_at:
            self._move_at = now + MOVE_INTERVAL
            self._move_due(now)

    def end_all(self, why: ResultCode, now: float) -> None:
        """End every feed at once, with when to come back."""
        for key in self._parts.feeds.keys():
            self._parts.metrics.count('feed_given_up')
            self.perform(self._parts.feeds.give_up(key, why, now), now)

    def release_all(self, now: float) -> None:
        """Leave every feed to others, without a word to its caller."""
        for record in self._parts.feeds.records():
            later = FeedMoved(record.key, record.generation + 1)
            self.perform(self._parts.feeds.moved(later), now)

    def schedule_moves(self) -> None:
        """Have the next :meth:`tick` ask at once: this agent leaves."""
        self._move_at = float()

    def _move_due(self, now: float) -> None:
        """Ask the homes to place feeds elsewhere, at a bounded pace."""
        feeds = self._parts.feeds
        keys = feeds.without_server(now, UNSERVED_FEED_TIMEOUT)
        if self._parts.is_leaving:
            keys = list(feeds.keys())
        for key in keys:
            self._ask_to_move(key)

    def _ask_to_move(self, key: FlowKey) -> None:
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
