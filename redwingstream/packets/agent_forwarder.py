"""An agent's decisions about packets.

Packets from balancers and other agents are dispatched by kind to the handlers
of new and open flows; packets from the server are forwarded to the callers and
update what is known of their flows.
"""

from redwingstream.packets import events
from redwingstream.packets.agent_context import AgentContext
from redwingstream.packets.agent_flows import CarriedFlow, FlowState
from redwingstream.packets.effects import (
    Outgoing,
    ToCaller,
    ToServer,
    peer_datagram,
)
from redwingstream.packets.envelopes import (
    Envelope,
    Kind,
)
from redwingstream.packets.flow import Address, FlowId, Head, flow_text
from redwingstream.packets.new_flows import NewFlowHandler
from redwingstream.packets.open_flows import OpenFlowHandler


class AgentForwarder:
    """Decides on each packet that reaches an agent; does no I/O.

    Parameters
    ----------
    context : AgentContext
        State shared by the agent's packet decisions.
    started_at : float
        Time in seconds at which the agent started; it has seen all packets of
        its server since then.
    """

    def __init__(self, context: AgentContext, started_at: float) -> None:
        self.context = context
        context.flows.coverage.seen_since = started_at
        self._new_flows = NewFlowHandler(context)
        self._open_flows = OpenFlowHandler(context)

    def handle_envelope(
        self, envelope: Envelope, source: Address, now: float
    ) -> list[Outgoing]:
        """Handle an envelope from a balancer or another agent."""
        self.context.counters.packets_in += 1
        outgoing = self._dispatch(envelope, source, now)
        self._record_delivered(outgoing, now)
        return outgoing

    def handle_server_packet(self, packet: bytes, now: float) -> list[Outgoing]:
        """Handle a packet sent by the server beside this agent."""
        context = self.context
        context.counters.packets_out += 1
        head = context.codec.read(packet)
        context.gate.record_answer()
        context.silence.record_heard()
        if head.is_returned:
            return self._handle_returned(head, now)
        carried = context.flows.find_carried(head.outbound, now)
        if head.is_reset:
            denied = self._open_flows.handle_reset(head, carried, now)
            if denied is not None:
                return denied
        outgoing: list[Outgoing] = [ToCaller(packet, head.target)]
        if carried is None:
            carried = self._rediscover(head.outbound, head, now)
        outgoing.extend(self._open_flows.handle_server_answer(head.outbound))
        if head.is_accepting:
            outgoing.extend(self._handle_acceptance(carried))
        else:
            carried.state = FlowState.ESTABLISHED
        carried.record_sent(head)
        self._record_progress(carried, head, now)
        return outgoing

    def process_waiting(self, now: float) -> list[Outgoing]:
        """Open, refuse or pass on new flows whose wait has ended."""
        outgoing = self._new_flows.process_waiting(now)
        self._record_delivered(outgoing, now)
        return outgoing

    def ask_server(self, carried: CarriedFlow, now: float) -> list[Outgoing]:
        """Ask the server whether it holds a flow."""
        return self._open_flows.ask_server(carried, now)

    def tick(self, now: float) -> list[Outgoing]:
        """Evict expired entries and retry unanswered lookups."""
        self.context.flows.evict_expired(now)
        return self._open_flows.tick(now)

    def _dispatch(
        self, envelope: Envelope, source: Address, now: float
    ) -> list[Outgoing]:
        match envelope.kind:
            case Kind.PING:
                return [peer_datagram(Envelope(Kind.PONG, b''), source)]
            case Kind.OPENING:
                return self._new_flows.handle_opening(envelope, now)
            case Kind.ONGOING | Kind.LOOKUP:
                return self._open_flows.handle_packet(envelope, now)
        return self._handle_flow_location(envelope, source, now)

    def _handle_flow_location(
        self, envelope: Envelope, source: Address, now: float
    ) -> list[Outgoing]:
        match envelope.kind:
            case Kind.CARRIED:
                return self._record_carrier(envelope, now)
            case Kind.NOT_CARRIED:
                return self._open_flows.handle_not_carried(
                    envelope, source, now
                )
        return []

    def _record_delivered(self, outgoing: list[Outgoing], now: float) -> None:
        if any(isinstance(one, ToServer) for one in outgoing):
            self.context.silence.record_delivered(now)

    def _record_progress(
        self, carried: CarriedFlow, head: Head, now: float
    ) -> None:
        self._record_outcome(carried, head, now)
        if head.is_end or head.is_reset:
            self.context.flows.end(carried, now)
        if head.size and not carried.has_answered:
            carried.has_answered = True
            self.context.opening_seconds.record(now - carried.opened_at)
        if head.size or carried.is_ending:
            self.context.flows.stop_waiting(carried)

    def _record_outcome(
        self, carried: CarriedFlow, head: Head, now: float
    ) -> None:
        context = self.context
        if not carried.is_answer_awaited or carried.is_ending:
            return
        if head.size and context.gate.failures.record_served(now):
            context.log(events.ServerTrusted(flow_text(carried.flow)))
        if head.is_reset and context.gate.failures.record_failed(now):
            context.log(events.ServerDoubted(flow_text(carried.flow)))

    def _handle_returned(self, head: Head, now: float) -> list[Outgoing]:
        self.context.counters.handed_back += 1
        carried = self.context.flows.find_carried(head.inbound, now)
        if head.is_opening:
            return self._new_flows.handle_returned(head, carried, now)
        return self._open_flows.handle_returned(head, carried, now)

    def _record_carrier(self, envelope: Envelope, now: float) -> list[Outgoing]:
        if envelope.best == self.context.location.address:
            return []
        flow = self.context.codec.read(envelope.packet).inbound
        self.context.flows.record_carrier(flow, envelope.best, now)
        return self._open_flows.handle_carried(flow, envelope.best)

    def _handle_acceptance(self, carried: CarriedFlow) -> list[Outgoing]:
        if carried.state is FlowState.ESTABLISHED:
            return []
        if carried.state is FlowState.OFFERED:
            self.context.counters.accepted += 1
            carried.state = FlowState.ACCEPTED
        return list(self.context.notify_carried(carried.envelope))

    def _rediscover(self, flow: FlowId, head: Head, now: float) -> CarriedFlow:
        state = FlowState.ESTABLISHED
        if head.is_accepting:
            state = FlowState.ACCEPTED
        carried = CarriedFlow(flow, Envelope(Kind.ONGOING, b''), state, now)
        # The time at which the flow was opened is unknown, so the time to its
        # first answer must not be counted.
        carried.has_answered = True
        # The caller has acknowledged what precedes the packet, except for the
        # few packets in flight.
        carried.acknowledged = head.sequence
        self.context.flows.add(carried, now)
        return carried
