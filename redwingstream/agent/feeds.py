"""Feeds of the server beside this agent, from registration to end."""

from aiocoap.message import Message

from redwingstream.admission.limit import RunResult
from redwingstream.agent.carrier import Perform
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.errors import ResultCode
from redwingstream.flows.effects import (
    CloseFeed,
    FeedClosed,
    FeedEffect,
    FeedSource,
    GenerationWanted,
    OpenFeed,
    SendToCaller,
)
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.forwarding.messages import FeedEnd, FeedMove, Packet

_NO_SERVER_PATIENCE = 2.0
"""Seconds after which a feed that its server does not take moves elsewhere."""


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
    """

    def __init__(
        self, parts: AgentParts, replies: Replies, perform: Perform
    ) -> None:
        self._parts = parts
        self._replies = replies
        self._perform = perform
        self._opening_at: dict[FeedSource, float] = {}
        self._open: set[FeedSource] = set()

    def has_room(self, now: float) -> bool:
        """Whether this agent may take one more new feed."""
        parts = self._parts
        if parts.is_leaving or parts.is_zone_out() or parts.server_is_silent:
            return False
        return parts.feed_limit.room(now) > 0 and parts.limit.has_room(now)

    def register(
        self, record: FlowRecord, packet: Packet, request: Message, now: float
    ) -> None:
        """Take a registration that home and heir have recorded."""
        effects = self._parts.feeds.register(
            record, request, packet.balancer, now
        )
        self.carry_out(effects, now)
        self.open_waiting(now)

    def deregister(self, packet: Packet, request: Message, now: float) -> None:
        """End a feed because its caller asks for it."""
        key = FlowKey(packet.caller, packet.service, request.token)
        self.carry_out(self._parts.feeds.deregister(key), now)

    def take(self, record: FlowRecord, observe: int, now: float) -> None:
        """Go on with an established feed of another carrier."""
        self._parts.metrics.count('feed_taken')
        self.carry_out(self._parts.feeds.take(record, observe, now), now)
        self.open_waiting(now)

    def updated(
        self, source: object, notification: Message, now: float
    ) -> None:
        """Pass a notification of the server on."""
        if not isinstance(source, FeedSource):
            return
        started_at = self._opening_at.pop(source, None)
        if started_at is not None:
            self._finish_opening(started_at, RunResult.COMPLETED, now)
            self._parts.feed_limit.opened()
            self._open.add(source)
        self._parts.server_is_silent = False
        self.carry_out(self._parts.feeds.update(source, notification, now), now)

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
        self._give_back(source, RunResult.TIMED_OUT, now)
        effects = self._parts.feeds.ended(source, why, response, now)
        self.carry_out(effects, now)

    def server_restarted(self, now: float) -> None:
        """Forget what the server has forgotten; admission starts cold."""
        for started_at in self._opening_at.values():
            self._finish_opening(started_at, RunResult.CANCELLED, now)
        self._opening_at.clear()
        self._open.clear()
        self._parts.feed_limit.server_restarted(now)

    def carry_out(self, effects: list[FeedEffect], now: float) -> None:
        """Do what the callers' side of the feeds asks for."""
        for effect in effects:
            match effect:
                case SendToCaller(balancer, caller, service, payload):
                    self._replies.send_through(
                        balancer, caller, service, payload
                    )
                case CloseFeed(source):
                    self._give_back(source, RunResult.CANCELLED, now)
                    closing = self._parts.upstream.close_feed(source, now)
                    self._perform(closing, now)
                case FeedClosed(record, _):
                    self._tell_home(record)
                case GenerationWanted(record):
                    self.ask_to_move(record)
                case OpenFeed(source, request):
                    self._register_at_server(source, request, now)

    def open_waiting(self, now: float) -> None:
        """Register waiting feeds at the server, as many as it can bear."""
        parts = self._parts
        if parts.server_is_silent or parts.is_zone_out():
            return
        room = parts.feed_limit.room(now)
        slots = parts.limit.limit - parts.limit.in_flight
        while min(room, slots) > 0 and parts.limit.has_room(now):
            opens = parts.feeds.next_registrations(now, 1)
            if not opens:
                return
            self.carry_out(list(opens), now)
            room -= 1
            slots -= 1

    def tick(self, now: float) -> None:
        """Repeat notifications, register what waits, move what cannot."""
        self.carry_out(self._parts.feeds.poll(now), now)
        self.open_waiting(now)
        stuck = self._parts.feeds.without_server(now, _NO_SERVER_PATIENCE)
        for key in stuck:
            move = self._parts.feeds.handover(key)
            if move is not None:
                self._send_to_home(move.record, move)

    def give_up_all(self, why: ResultCode, now: float) -> None:
        """End every feed at once, with when to come back."""
        for key in self._parts.feeds.keys():
            self._parts.metrics.count('feed_given_up')
            self.carry_out(self._parts.feeds.give_up(key, why, now), now)

    def move_all(self) -> None:
        """Ask the homes to place every feed elsewhere."""
        for key in self._parts.feeds.keys():
            move = self._parts.feeds.handover(key)
            if move is not None:
                self._send_to_home(move.record, move)

    def ask_to_move(self, record: FlowRecord) -> None:
        """Ask the home for a new record of a feed."""
        move = self._parts.feeds.handover(record.key)
        if move is not None:
            self._send_to_home(record, move)

    def _register_at_server(
        self, source: FeedSource, request: Message, now: float
    ) -> None:
        parts = self._parts
        if not parts.feed_limit.try_open(now):
            parts.metrics.count('feed_limit_missed')
        parts.limit.try_start(now)
        self._opening_at[source] = now
        deadline = now + _NO_SERVER_PATIENCE
        number, effects = parts.upstream.open_feed(
            request, source, now, deadline
        )
        self._perform(effects, now)

    def _give_back(
        self, source: FeedSource, run_result: RunResult, now: float
    ) -> None:
        started_at = self._opening_at.pop(source, None)
        if started_at is not None:
            self._finish_opening(started_at, run_result, now)
            self._parts.feed_limit.failed()
        elif source in self._open:
            self._open.discard(source)
            self._parts.feed_limit.closed()

    def _finish_opening(
        self, started_at: float, run_result: RunResult, now: float
    ) -> None:
        latency = now - started_at
        self._parts.limit.finished(latency, run_result, now)

    def _tell_home(self, record: FlowRecord) -> None:
        self._send_to_home(record, FeedEnd(self._parts.me.pool, record))

    def _send_to_home(
        self, record: FlowRecord, payload: FeedMove | FeedEnd
    ) -> None:
        key = record.key
        bucket = self._parts.bucket_of(key.caller, key.service)
        home = self._parts.home_of(bucket)
        if home is not None:
            self._parts.out.to_peer(home.endpoint, payload)
