"""Takes callers' packets: checks them and finds who decides."""

import attrs
from aiocoap.message import Message

from redwingstream.agent.request_endings import RequestEndings
from redwingstream.agent.held import Held, HeldPackets
from redwingstream.agent.home import FlowPlacement
from redwingstream.agent.once import NonIdempotentRequests
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.reactions import AckRelay
from redwingstream.agent.replies import Replies
from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import ResultCode, SettingError, WireError
from redwingstream.forwarding.messages import Packet
from redwingstream.membership.messages import ProbeAck
from redwingstream.placement.effects import (
    BucketStatus,
    InEffect,
    NotHome,
    Recovering,
    Taking,
)
from redwingstream.wire import coap

MAX_HOPS = 2
HOLD_SECONDS = 0.25
"""Seconds for which a plain idempotent request waits for its bucket."""

HOLD_LIMIT = 4.5
"""Seconds for which any other waits; longer than control needs to replace a
home that is lost."""


@attrs.frozen(eq=False)
class RequestHandlers:
    """Who decides on what a caller sends.

    Parameters
    ----------
    home : FlowPlacement
        Idempotent requests and feeds.
    once : OnceRequests
        Non-idempotent requests.
    endings : Endings
        What is known of those that have ended.
    reactions : Reactions
        Callers' ACKs and RSTs.
    """

    home: FlowPlacement
    once: NonIdempotentRequests
    endings: RequestEndings
    reactions: AckRelay


class PacketDispatcher:
    """The way of a packet up to the module that decides on it.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    replies : Replies
        Builds and sends final answers.
    deciders : Deciders
        Who takes what.
    """

    def __init__(
        self, parts: AgentParts, replies: Replies, deciders: RequestHandlers
    ) -> None:
        self._parts = parts
        self._replies = replies
        self._to = deciders
        self._held = HeldPackets()

    def take(self, packet: Packet, now: float) -> None:
        """Take a packet from a balancer, or one passed on by an agent."""
        if not self._is_ours(packet):
            self._parts.metrics.count('misrouted')
            revision = self._parts.tables.revision
            self._parts.out.to_peer(packet.balancer, ProbeAck(revision))
            return
        self._parts.paths.heard(packet.balancer, now)
        try:
            request = coap.decode(packet.payload)
        except WireError:
            self._parts.metrics.count('caller_malformed')
            return
        bucket = self._parts.bucket_of(packet.caller, packet.service)
        if not coap.is_request(request):
            self._to.reactions.take(packet, request, bucket, now)
            return
        held = Held(packet, bucket, now)
        if self._decide(held, request, now) or self._held.add(held):
            return
        self._parts.metrics.count('held_dropped')
        self._give_up(held, request, now)

    def retry_held(self, bucket: int, now: float) -> None:
        """Take the packets that were held for a bucket."""
        for held in self._held.of_bucket(bucket):
            self._try_again(held, now)

    def tick(self, now: float) -> None:
        """Look whether what is held can be decided on, or waits too long."""
        for held in self._held:
            self._try_again(held, now)

    def give_up(self, now: float) -> None:
        """End all that is held: the process stops."""
        for held in self._held:
            self._held.remove(held)
            self._give_up(held, coap.decode(held.packet.payload), now)

    def _try_again(self, held: Held, now: float) -> None:
        request = coap.decode(held.packet.payload)
        if self._decide(held, request, now):
            self._held.remove(held)
        elif now - held.since >= HOLD_LIMIT:
            self._held.remove(held)
            self._give_up(held, request, now)

    def _is_ours(self, packet: Packet) -> bool:
        """Whether the tables here too say that the packet is for this pool.

        Guards against a balancer with old tables, and against an instance
        address that another service's agent has now: its packets would reach
        a server of the wrong service.  Each end decides by its own tables.
        """
        if packet.pool != self._parts.identity.pool:
            return False
        try:
            caller = parse_endpoint(packet.caller)
        except SettingError:
            return False
        route = self._parts.routing.find(packet.service, caller)
        return route is not None and route.pool == packet.pool

    def _decide(self, held: Held, request: Message, now: float) -> bool:
        """Decide on a request; False while it has to be held."""
        status: BucketStatus = self._parts.keeper.status(held.bucket)
        match status:
            case NotHome():
                return self._not_home(held, request, now)
            case Taking():
                is_late = now - held.since >= HOLD_SECONDS
                if not is_late or not _is_plain(request):
                    return False
                self._serve(held, request, now)
            case InEffect() | Recovering():
                self._serve(held, request, now)
        return True

    def _serve(self, held: Held, request: Message, now: float) -> None:
        packet = held.packet
        if _is_plain(request):
            self._to.home.plain(packet, request, held.bucket, now)
        elif coap.is_idempotent(request):
            self._to.home.feed(packet, request, held.bucket, now)
        else:
            self._to.once.take(packet, request, held.bucket, now)

    def _not_home(self, held: Held, request: Message, now: float) -> bool:
        home = self._parts.home_of(held.bucket)
        if home is None or self._parts.is_this_agent(home):
            # No home, or fenced at a view that this agent has not heard of
            # yet.  The request may have run before: see _give_up.
            return self._tell_known(held.packet, request)
        endpoint = parse_endpoint(home.endpoint)
        is_heir = self._parts.is_this_agent(self._parts.heir_of(held.bucket))
        if is_heir and self._parts.links.is_silent(endpoint, now):
            return self._stand_in(held, request, now)
        packet = held.packet
        if packet.hops >= MAX_HOPS:
            self._parts.metrics.count('hops_exceeded')
            return True
        self._parts.links.sent(endpoint, now)
        following = attrs.evolve(packet, hops=packet.hops + 1)
        self._parts.out.to_peer(home.endpoint, following)
        return True

    def _stand_in(self, held: Held, request: Message, now: float) -> bool:
        """Serve as heir what does not need the silent home; hold the rest.

        Notes
        -----
        What is held goes to the new home, which control names within the
        lease.  To say *not run* would be false: the home may only be cut off,
        and may have run the request or have a duplicate of it on its way.
        """
        packet = held.packet
        if _is_plain(request):
            self._parts.metrics.count('stood_in')
            self._to.home.plain(packet, request, held.bucket, now)
            return True
        if coap.is_idempotent(request):
            return self._to.home.known_feed(packet, request, now)
        return self._tell_known(packet, request)

    def _tell_known(self, packet: Packet, request: Message) -> bool:
        """Answer a replay whose outcome is in the ledger here."""
        if coap.is_idempotent(request):
            return False
        known = self._to.endings.find_known_answer(packet, request)
        if known is None:
            return False
        self._replies.send(packet, known.answer)
        return True

    def _give_up(self, held: Held, request: Message, now: float) -> None:
        """Answer a request for which no home was found.

        Notes
        -----
        A non-idempotent one may be the replay of one that has run, at a home
        that this agent knows nothing of.  The registration of a feed that is
        established gets no answer: 5.03 would end it.
        """
        packet = held.packet
        if not coap.is_idempotent(request):
            self._replies.send(packet, self._replies.unknown(request))
        elif _is_plain(request) or not self._to.home.is_established(
            packet, request, now
        ):
            reason = ResultCode.RECOVERING
            self._replies.refuse(packet, request, reason, now)


def _is_plain(request: Message) -> bool:
    """Whether a request is idempotent and opens no feed."""
    if not coap.is_idempotent(request):
        return False
    return request.opt.observe != coap.OBSERVE_REGISTER
