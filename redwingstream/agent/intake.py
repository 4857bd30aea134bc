"""Takes callers' packets: checks them and finds who decides."""

from collections import deque

import attrs
from aiocoap.message import Message

from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.home import HomeDesk
from redwingstream.agent.once import OnceRequests
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import ResultCode, WireError
from redwingstream.forwarding.messages import Packet
from redwingstream.membership.messages import ProbeAck
from redwingstream.placement.effects import (
    BucketStatus,
    Effect,
    InEffect,
    NotHome,
    Recovering,
    Taking,
)
from redwingstream.wire import coap

MAX_HOPS = 2
HOLD_SECONDS = 0.25
MAX_HELD = 64
"""Packets held for a bucket that is being taken over."""


@attrs.frozen(eq=False)
class _Held:
    packet: Packet
    since: float


class Intake:
    """The way of a packet up to the module that decides on it.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    replies : Replies
        Builds and sends final answers.
    home : HomeDesk
        Idempotent requests and feeds.
    once : OnceRequests
        Non-idempotent requests.
    feeds : FeedRelay
        Feeds of the own server.
    """

    def __init__(
        self,
        parts: AgentParts,
        replies: Replies,
        home: HomeDesk,
        once: OnceRequests,
        feeds: FeedRelay,
    ) -> None:
        self._parts = parts
        self._replies = replies
        self._home = home
        self._once = once
        self._feeds = feeds
        self._held_by_bucket: dict[int, deque[_Held]] = {}

    def take(self, packet: Packet, source: str, now: float) -> list[Effect]:
        """Take a packet from a balancer, or one passed on by an agent."""
        self._parts.paths.heard(packet.balancer, now)
        if not self._is_ours(packet):
            self._parts.metrics.count('misrouted')
            revision = self._parts.tables.revision
            self._parts.out.to_peer(packet.balancer, ProbeAck(revision))
            return []
        try:
            request = coap.decode(packet.payload)
        except WireError:
            self._parts.metrics.count('caller_malformed')
            return []
        if not coap.is_request(request):
            self._take_reaction(packet, request, now)
            return []
        bucket = self._parts.bucket_of(packet.caller, packet.service)
        status = self._parts.keeper.status(bucket)
        return self._decide(status, packet, request, now)

    def bucket_in_effect(self, bucket: int, now: float) -> list[Effect]:
        """Take the packets that were held for a bucket."""
        held = self._held_by_bucket.pop(bucket, ())
        effects: list[Effect] = []
        for one in held:
            effects.extend(self.take(one.packet, '', now))
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Serve held packets whose bucket takes too long."""
        effects: list[Effect] = []
        for bucket, held in list(self._held_by_bucket.items()):
            while held and now - held[0].since >= HOLD_SECONDS:
                packet = held.popleft().packet
                request = coap.decode(packet.payload)
                effects.extend(self._serve(packet, request, bucket, now))
            if not held:
                self._held_by_bucket.pop(bucket, None)
        return effects

    def _is_ours(self, packet: Packet) -> bool:
        """Whether the tables here too say that the packet is for this pool.

        Guards against a balancer with old tables, and against an instance
        address that another service's agent has now: its packets would reach
        a server of the wrong service.  Each end decides by its own tables.
        """
        if packet.pool != self._parts.me.pool:
            return False
        caller = parse_endpoint(packet.caller)
        route = self._parts.routing.find(packet.service, caller)
        return route is not None and route.pool == packet.pool

    def _decide(
        self,
        status: BucketStatus,
        packet: Packet,
        request: Message,
        now: float,
    ) -> list[Effect]:
        bucket = self._parts.bucket_of(packet.caller, packet.service)
        match status:
            case NotHome():
                return self._not_home(packet, request, bucket, now)
            case Taking():
                self._hold(packet, bucket, now)
                return []
            case InEffect() | Recovering():
                return self._serve(packet, request, bucket, now)
        return []

    def _serve(
        self, packet: Packet, request: Message, bucket: int, now: float
    ) -> list[Effect]:
        if not coap.is_idempotent(request):
            return self._once.take(packet, request, bucket, now)
        if request.opt.observe == coap.OBSERVE_REGISTER:
            return self._home.feed(packet, request, bucket, now)
        return self._home.plain(packet, request, bucket, now)

    def _not_home(
        self, packet: Packet, request: Message, bucket: int, now: float
    ) -> list[Effect]:
        home = self._parts.home_of(bucket)
        if home is None:
            self._replies.refuse(packet, request, ResultCode.NO_SERVER, now)
            return []
        if self._parts.is_me(home):
            # Fenced at a view that this agent has not heard of yet.
            self._replies.refuse(packet, request, ResultCode.RECOVERING, now)
            return []
        endpoint = parse_endpoint(home.endpoint)
        is_heir = self._parts.is_me(self._parts.heir_of(bucket))
        if is_heir and self._parts.links.is_silent(endpoint, now):
            return self._stand_in(packet, request, bucket, now)
        if packet.hops >= MAX_HOPS:
            self._parts.metrics.count('hops_exceeded')
            return []
        self._parts.links.sent(endpoint, now)
        following = attrs.evolve(packet, hops=packet.hops + 1)
        self._parts.out.to_peer(home.endpoint, following)
        return []

    def _stand_in(
        self, packet: Packet, request: Message, bucket: int, now: float
    ) -> list[Effect]:
        """Serve as heir what does not need the silent home."""
        self._parts.metrics.count('stood_in')
        if coap.is_idempotent(request):
            if request.opt.observe != coap.OBSERVE_REGISTER:
                return self._home.plain(packet, request, bucket, now)
        self._replies.refuse(packet, request, ResultCode.RECOVERING, now)
        return []

    def _hold(self, packet: Packet, bucket: int, now: float) -> None:
        held = self._held_by_bucket.setdefault(bucket, deque(maxlen=MAX_HELD))
        if len(held) == MAX_HELD:
            self._parts.metrics.count('held_dropped')
        held.append(_Held(packet, now))

    def _take_reaction(
        self, packet: Packet, reaction: Message, now: float
    ) -> None:
        """Take a caller's ACK or RST to a notification."""
        parts = self._parts
        effects = parts.feeds.reply(
            packet.caller, packet.service, reaction, now
        )
        self._feeds.carry_out(effects, now)
        following = attrs.evolve(packet, hops=packet.hops + 1)
        bucket = parts.bucket_of(packet.caller, packet.service)
        home = parts.home_of(bucket)
        if parts.is_me(home):
            self._pass_to_carriers(following)
        elif home is not None and not packet.hops:
            parts.out.to_peer(home.endpoint, following)

    def _pass_to_carriers(self, packet: Packet) -> None:
        """Send a reaction to all who carry feeds of the flow.

        A reaction names a message id and no token, so the home cannot tell
        which feed it is for; those who did not send that id ignore it.
        """
        flows = self._parts.store.flows
        carriers = flows.carriers(packet.caller, packet.service)
        for carrier in carriers - {self._parts.me.carrier}:
            endpoint = self._parts.endpoint_of_carrier(carrier)
            if endpoint is not None:
                self._parts.out.to_peer(endpoint, packet)
