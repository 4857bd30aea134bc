"""An agent's decisions about packets: what comes, and from whom."""

from redwingstream.packets import events
from redwingstream.packets.admitting import Admitting
from redwingstream.packets.effects import Outgoing, ToCaller, peer_datagram
from redwingstream.packets.envelopes import (
    Envelope,
    Kind,
)
from redwingstream.packets.flow import Address, FlowId, Head, flow_text
from redwingstream.packets.agent_flows import CarriedFlow, FlowState
from redwingstream.packets.searching import Searching
from redwingstream.packets.agent_context import AgentContext


class AgentForwarder:
    """Decides on each packet that reaches an agent; does no I/O.

    Parameters
    ----------
    site : Site
        What an agent's decisions share.
    listens_since : float
        Time from which on this agent has seen all packets of its server.
    """

    def __init__(self, site: AgentContext, listens_since: float) -> None:
        self.site = site
        self._admitting = Admitting(site)
        self._searching = Searching(site, listens_since)

    def handle_envelope(
        self, envelope: Envelope, source: Address, now: float
    ) -> list[Outgoing]:
        """Take what another process sent."""
        self.site.counters.packets_in += 1
        match envelope.kind:
            case Kind.PING:
                return [peer_datagram(Envelope(Kind.PONG, b''), source)]
            case Kind.OPENING:
                return self._admitting.take(envelope, now)
            case Kind.ONGOING | Kind.LOOKUP:
                return self._searching.take(envelope, now)
        return self._take_flow_location(envelope, source, now)

    def handle_server_packet(self, packet: bytes, now: float) -> list[Outgoing]:
        """Take what the server beside this agent sent."""
        site = self.site
        site.counters.packets_out += 1
        head = site.codec.read(packet)
        site.gate.record_answer()
        if head.is_returned:
            return self._take_returned(head, now)
        carried = site.flows.carried(head.outbound, now)
        sending: list[Outgoing] = [ToCaller(packet, head.target)]
        if carried is None:
            carried = self._rediscover(head.outbound, head, now)
        sending.extend(self._searching.report_held(head.outbound))
        if head.is_accepting:
            sending.extend(self._accept(carried))
        else:
            carried.standing = FlowState.ESTABLISHED
        self._note_progress(carried, head, now)
        return sending

    def process_waiting(self, now: float) -> list[Outgoing]:
        """Let new flows go on that wait and need not any more."""
        return self._admitting.release(now)

    def tick(self, now: float) -> list[Outgoing]:
        """Expire old entries and retry unanswered lookups."""
        self.site.flows.forget_old(now)
        return self._searching.tick(now)

    def _take_flow_location(
        self, envelope: Envelope, source: Address, now: float
    ) -> list[Outgoing]:
        match envelope.kind:
            case Kind.CARRIED:
                return self._note_elsewhere(envelope, now)
            case Kind.NOT_CARRIED:
                return self._searching.note_not_carried(envelope, source, now)
        return []

    def _note_progress(
        self, carried: CarriedFlow, head: Head, now: float
    ) -> None:
        self._note_outcome(carried, head, now)
        if head.is_end or head.is_reset:
            carried.is_ending = True
        if head.size and not carried.has_answered:
            carried.has_answered = True
            self.site.opening_seconds.note(now - carried.opened_at)
        if head.size or carried.is_ending:
            self.site.flows.settle(carried)

    def _note_outcome(
        self, carried: CarriedFlow, head: Head, now: float
    ) -> None:
        site = self.site
        is_waited_for = carried.has_asked and carried.waits_since is not None
        if not is_waited_for or carried.is_ending:
            return
        if head.size and site.gate.failures.record_served(now):
            site.log(events.ServerTrusted(flow_text(carried.flow)))
        if head.is_reset and site.gate.failures.record_failed(now):
            site.log(events.ServerDoubted(flow_text(carried.flow)))

    def _take_returned(self, head: Head, now: float) -> list[Outgoing]:
        self.site.counters.handed_back += 1
        carried = self.site.flows.carried(head.inbound, now)
        if head.is_opening:
            return self._admitting.returned(head, carried, now)
        return self._searching.returned(head, carried, now)

    def _note_elsewhere(self, envelope: Envelope, now: float) -> list[Outgoing]:
        if envelope.best == self.site.location.address:
            return []
        flow = self.site.codec.read(envelope.packet).inbound
        self.site.flows.note_elsewhere(flow, envelope.best, now)
        return self._searching.note_carried(flow, envelope.best)

    def _accept(self, carried: CarriedFlow) -> list[Outgoing]:
        if carried.standing is FlowState.ESTABLISHED:
            return []
        if carried.standing is FlowState.OFFERED:
            self.site.counters.accepted += 1
            carried.standing = FlowState.ACCEPTED
        return list(self.site.announce(carried.envelope))

    def _rediscover(self, flow: FlowId, head: Head, now: float) -> CarriedFlow:
        standing = FlowState.ESTABLISHED
        if head.is_accepting:
            standing = FlowState.ACCEPTED
        carried = CarriedFlow(flow, Envelope(Kind.ONGOING, b''), standing, now)
        # When it was opened is not known.
        carried.has_answered = True
        self.site.flows.add(carried, now)
        return carried
