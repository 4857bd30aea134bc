"""Checks callers' packets and hands them to the module that decides on them.

A packet whose bucket is not in effect at any known home is held until it is,
or until a time-out.
"""

import attrs
from aiocoap.message import Message

from redwingstream.agent.ack_relay import AckRelay
from redwingstream.agent.flow_placement import FlowPlacement
from redwingstream.agent.held_packets import HeldPacket, HeldPackets
from redwingstream.agent.non_idempotent import NonIdempotentRequests
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.request_endings import RequestEndings
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
"""Maximum number of times that agents pass a packet on."""

PLAIN_HOLD_TIMEOUT = 0.25
"""Seconds for which a plain idempotent request is held until its bucket is in
effect."""

HOLD_TIMEOUT = 4.5
"""Seconds for which any other request is held; longer than the control
instances need to replace a lost home."""


@attrs.frozen(eq=False)
class RequestHandlers:
    """The modules that decide on packets of callers.

    Parameters
    ----------
    home : FlowPlacement
        Decides on idempotent requests and feeds.
    non_idempotent : NonIdempotentRequests
        Decides on non-idempotent requests.
    endings : RequestEndings
        Knows the outcomes of non-idempotent requests that have ended.
    acks : AckRelay
        Relays callers' ACKs and RSTs.
    """

    home: FlowPlacement
    non_idempotent: NonIdempotentRequests
    endings: RequestEndings
    acks: AckRelay


class PacketDispatcher:
    """Passes each packet to the module that decides on it.

    Parameters
    ----------
    parts : AgentParts
        State that the modules of the agent share.
    replies : Replies
        Builds and sends final answers.
    handlers : RequestHandlers
        The modules that decide.
    """

    def __init__(
        self, parts: AgentParts, replies: Replies, handlers: RequestHandlers
    ) -> None:
        self._parts = parts
        self._replies = replies
        self._handlers = handlers
        self._held = HeldPackets()

    def handle_packet(self, packet: Packet, now: float) -> None:
        """Handle a packet from a balancer, or one that an agent passed on."""
        if not self._is_for_this_pool(packet):
            self._parts.metrics.count('misrouted')
            revision = self._parts.tables.revision
            self._parts.out.to_peer(packet.balancer, ProbeAck(revision))
            return
        self._parts.paths.record_heard(packet.balancer, now)
        try:
            request = coap.decode(packet.payload)
        except WireError:
            self._parts.metrics.count('caller_malformed')
            return
        bucket = self._parts.bucket_of(packet.caller, packet.service)
        if not coap.is_request(request):
            self._handlers.acks.relay(packet, request, bucket, now)
            return
        held = HeldPacket(packet, bucket, now)
        if self._decide(held, request, now) or self._held.add(held):
            return
        self._parts.metrics.count('held_dropped')
        self._end_held(held, request, now)

    def retry_held(self, bucket: int, now: float) -> None:
        """Decide on the packets held for a bucket, which is in effect now."""
        for held in self._held.in_bucket(bucket):
            self._retry(held, now)

    def tick(self, now: float) -> None:
        """Decide on held packets if possible; end those held for too long."""
        for held in self._held:
            self._retry(held, now)

    def end_all(self, now: float) -> None:
        """End all held packets, because the process stops."""
        for held in self._held:
            self._held.remove(held)
            self._end_held(held, coap.decode(held.packet.payload), now)

    def _retry(self, held: HeldPacket, now: float) -> None:
        request = coap.decode(held.packet.payload)
        if self._decide(held, request, now):
            self._held.remove(held)
        elif now - held.held_at >= HOLD_TIMEOUT:
            self._held.remove(held)
            self._end_held(held, request, now)

    def _is_for_this_pool(self, packet: Packet) -> bool:
        """Whether a packet is for this pool, by the tables of this agent too.

        A balancer with old tables may send to an instance address that now
        belongs to an agent of another pool.  Without this check the packet
        would reach a server of the wrong pool.  Balancer and agent each decide
        by their own tables.
        """
        if packet.pool != self._parts.identity.pool:
            return False
        try:
            caller = parse_endpoint(packet.caller)
        except SettingError:
            return False
        route = self._parts.routing.find(packet.service, caller)
        return route is not None and route.pool == packet.pool

    def _decide(self, held: HeldPacket, request: Message, now: float) -> bool:
        """Decide on a request; return False if it has to be held."""
        status: BucketStatus = self._parts.keeper.status(held.bucket)
        match status:
            case NotHome():
                return self._forward_to_home(held, request, now)
            case Taking():
                is_late = now - held.held_at >= PLAIN_HOLD_TIMEOUT
                if not is_late or not _is_plain(request):
                    return False
                self._serve(held, request, now)
            case InEffect() | Recovering():
                self._serve(held, request, now)
        return True

    def _serve(self, held: HeldPacket, request: Message, now: float) -> None:
        packet = held.packet
        if _is_plain(request):
            self._handlers.home.place_request(packet, request, held.bucket, now)
        elif coap.is_idempotent(request):
            self._handlers.home.place_feed(packet, request, held.bucket, now)
        else:
            self._handlers.non_idempotent.handle_request(
                packet, request, held.bucket, now
            )

    def _forward_to_home(
        self, held: HeldPacket, request: Message, now: float
    ) -> bool:
        home = self._parts.home_of(held.bucket)
        if home is None or self._parts.is_this_agent(home):
            # There is no home, or this agent is fenced by a view that it does
            # not know yet.  The request may have run before; see _end_held.
            return self._answer_if_known(held.packet, request)
        endpoint = parse_endpoint(home.endpoint)
        is_heir = self._parts.is_this_agent(self._parts.heir_of(held.bucket))
        if is_heir and self._parts.links.is_silent(endpoint, now):
            return self._serve_as_heir(held, request, now)
        packet = held.packet
        if packet.hops >= MAX_HOPS:
            self._parts.metrics.count('hops_exceeded')
            return True
        self._parts.links.record_sent(endpoint, now)
        forwarded = attrs.evolve(packet, hops=packet.hops + 1)
        self._parts.out.to_peer(home.endpoint, forwarded)
        return True

    def _serve_as_heir(
        self, held: HeldPacket, request: Message, now: float
    ) -> bool:
        """Serve as heir what does not need the silent home; hold the rest.

        Notes
        -----
        Held packets go to the new home, which the control instances name
        within the lease time.  The answer *not run* could be false: the home
        may only be cut off, and may have run the request or may still receive
        a duplicate of it.
        """
        packet = held.packet
        if _is_plain(request):
            self._parts.metrics.count('stood_in')
            self._handlers.home.place_request(packet, request, held.bucket, now)
            return True
        if coap.is_idempotent(request):
            return self._handlers.home.forward_registration(
                packet, request, now
            )
        return self._answer_if_known(packet, request)

    def _answer_if_known(self, packet: Packet, request: Message) -> bool:
        """Answer a replay whose outcome is in this agent's ledger."""
        if coap.is_idempotent(request):
            return False
        known = self._handlers.endings.find_known_answer(packet, request)
        if known is None:
            return False
        self._replies.send(packet, known.answer)
        return True

    def _end_held(self, held: HeldPacket, request: Message, now: float) -> None:
        """Answer a request for which no home was found in time.

        Notes
        -----
        A non-idempotent request is answered as *unknown*: it may be the replay
        of one that has run at a home unknown to this agent.  The repeated
        registration of an established feed gets no answer, because 5.03
        (Service Unavailable) would end the feed.
        """
        packet = held.packet
        if not coap.is_idempotent(request):
            self._replies.send(packet, self._replies.unknown(request))
        elif _is_plain(request) or not self._handlers.home.is_established(
            packet, request, now
        ):
            reason = ResultCode.RECOVERING
            self._replies.refuse(packet, request, reason, now)


def _is_plain(request: Message) -> bool:
    """Whether a request is idempotent and does not register a feed."""
    if not coap.is_idempotent(request):
        return False
    return request.opt.observe != coap.OBSERVE_REGISTER
