"""An agent's decisions about packets of open flows.

The server itself knows its open flows: it returns packets of flows that it does
not hold.  An agent that has restarted therefore finds its flows again by
delivering packets to its server.  A flow whose carrier is unknown to balancer
and home is found by querying all agents of the pool, see
:mod:`redwingstream.packets.lookups`.
"""

import attrs

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
    MAX_HOPS,
    MAX_VISITED,
    Envelope,
    Kind,
)
from redwingstream.packets.flow import (
    Address,
    FlowId,
    Head,
    flow_text,
    text_of,
)
from redwingstream.packets.flow_identity import Identity, SentRange
from redwingstream.packets.lookups import MAX_WAITING, Lookup, Lookups
from redwingstream.packets.probes import Probes
from redwingstream.packets.ranking import pool_hash


class OpenFlowHandler:
    """Delivers packets of open flows, and looks up carriers of other flows.

    Parameters
    ----------
    context : AgentContext
        State shared by the agent's packet decisions.
    """

    def __init__(self, context: AgentContext) -> None:
        self._context = context
        self._probes = Probes(context.codec, context.flows.coverage)
        self._lookups = Lookups()

    def handle_packet(self, envelope: Envelope, now: float) -> list[Outgoing]:
        """Handle a packet from a balancer or another agent."""
        context = self._context
        head = context.codec.read(envelope.packet)
        carried = context.flows.find_carried(head.inbound, now)
        if carried is not None:
            if carried.identify(head) is not Identity.OTHER:
                return self._deliver(envelope, carried, head, now)
            context.log(_mismatch(envelope, carried, head, now))
        known = context.flows.find_carrier(head.inbound, now)
        if known is not None and _may_pass_to(known, envelope):
            own = context.location.address
            return [peer_datagram(_with_visit(envelope, own), known)]
        is_absent = context.gate.state.has_ended or (
            context.flows.coverage.is_absent(head, now)
        )
        if carried is not None or is_absent:
            # Packets of a flow that the server cannot hold are not delivered to
            # it: it would have to return each of them.
            context.counters.unasked += 1
            return self._search(envelope, head, now)
        context.counters.probed += 1
        self._probes.expect_answer(head.inbound, envelope, now)
        return [ToServer(self._probes.with_ticket(envelope, now))]

    def ask_server(self, carried: CarriedFlow, now: float) -> list[Outgoing]:
        """Give the caller's last packet of a flow to the server once more.

        The server returns it if it does not hold the flow, and takes it for a
        retransmission if it does.
        """
        envelope = carried.last_envelope
        if envelope is None:
            return []
        context = self._context
        # The entry stays until the server returns the packet.
        context.flows.add(carried, now)
        identity = carried.identify(context.codec.read(envelope.packet))
        return [ToServer(self._packet_for(carried, identity, envelope, now))]

    def handle_returned(
        self, head: Head, carried: CarriedFlow | None, now: float
    ) -> list[Outgoing]:
        """Handle a packet of an open flow that the server has returned."""
        context = self._context
        searched = self._probes.pop_returned(head)
        if carried is not None:
            is_established = carried.state is FlowState.ESTABLISHED
            # A packet with a ticket may be of another flow from the same port,
            # and so may one that the agent's earlier run has delivered.
            is_own = not head.ticket and (
                carried.identify(head) is Identity.SAME
            )
            if is_established and is_own:
                return self._handle_lost_flow(carried, head, now)
            context.log(
                events.FlowReturned(
                    flow_text(carried.flow),
                    carried.state.name,
                    round(now - carried.opened_at, 3),
                    searched is not None and searched.kind is Kind.LOOKUP,
                ),
            )
        context.record_denial(head, carried, now)
        if searched is None:
            return context.refusals.drop(head, 'handed back without a search')
        return self._search(searched, head, now)

    def handle_reset(
        self, head: Head, carried: CarriedFlow | None, now: float
    ) -> list[Outgoing] | None:
        """Handle a reset that the server has sent, or return None.

        None is returned if the reset ends a flow of the server.  A reset in
        answer to a probe says only that the server does not hold the flow, and
        must not reach the caller: another server may hold it.
        """
        context = self._context
        flow = head.outbound
        if not self._probes.is_denial(flow, carried, now):
            return None
        context.counters.denied += 1
        envelope = self._probes.pop_answered(flow)
        if envelope is None:
            return []
        asked = context.codec.read(envelope.packet)
        context.record_denial(asked, carried, now)
        return self._search(envelope, asked, now)

    def handle_server_answer(self, flow: FlowId) -> list[Outgoing]:
        """Announce a flow if the server has answered a probe."""
        envelope = self._probes.pop_answered(flow)
        return [] if envelope is None else self._report_found(flow, envelope)

    def handle_not_carried(
        self, envelope: Envelope, agent: Address, now: float
    ) -> list[Outgoing]:
        """Handle an agent's answer that it does not carry a flow."""
        head = self._context.codec.read(envelope.packet)
        lookup = self._lookups.record_not_carried(head, agent, now)
        return [] if lookup is None else self._report_not_found(lookup, head)

    def handle_carried(self, flow: FlowId, agent: Address) -> list[Outgoing]:
        """End the lookup of a flow and send its queued packets to its agent."""
        lookup = self._lookups.pop(flow)
        if lookup is None:
            return []
        own = self._context.location.address
        return [
            peer_datagram(_with_visit(waiting, own), agent)
            for waiting in lookup.waiting
        ]

    def tick(self, now: float) -> list[Outgoing]:
        """Evict expired entries; retry or end overdue lookups."""
        self._probes.evict_expired(now)
        outgoing: list[Outgoing] = []
        for flow, lookup in self._lookups.overdue(now):
            if lookup.is_repeated:
                self._lookups.pop(flow)
                head = self._context.codec.read(lookup.envelope.packet)
                outgoing.extend(self._report_not_found(lookup, head))
            else:
                lookup.is_repeated = True
                lookup.asked_at = now
                outgoing.extend(lookup.requests())
        return outgoing

    def _deliver(
        self, envelope: Envelope, carried: CarriedFlow, head: Head, now: float
    ) -> list[Outgoing]:
        context = self._context
        identity = carried.identify(head)
        is_unknown = identity is Identity.UNKNOWN
        carried.record_delivered(envelope, head)
        if head.size:
            context.record_data(carried, head, now)
        outgoing: list[Outgoing] = [
            ToServer(self._packet_for(carried, identity, envelope, now))
        ]
        if is_unknown and envelope.hops:
            # Another server may hold the flow: the server's answer decides.
            self._probes.expect_answer(head.inbound, envelope, now)
        elif envelope.hops:
            outgoing.extend(self._report_found(head.inbound, envelope))
        return outgoing

    def _packet_for(
        self,
        carried: CarriedFlow,
        identity: Identity,
        envelope: Envelope,
        now: float,
    ) -> bytes:
        """Return a packet as the server is given it.

        It has a ticket unless its return would show that the flow is lost.
        """
        is_same = identity is Identity.SAME
        if is_same and carried.state is FlowState.ESTABLISHED:
            return envelope.packet
        return self._probes.with_ticket(envelope, now)

    def _report_found(self, flow: FlowId, envelope: Envelope) -> list[Outgoing]:
        context = self._context
        context.counters.found += 1
        context.log(
            events.FlowFound(
                flow_text(flow), envelope.hops, text_of(envelope.home)
            ),
        )
        return list(context.notify_carried(envelope))

    def _handle_lost_flow(
        self, carried: CarriedFlow, head: Head, now: float
    ) -> list[Outgoing]:
        context = self._context
        if carried.is_ending:
            return context.refusals.drop(head, 'the flow has ended')
        # The server no longer holds this flow, so it was restarted or has
        # closed the flow.  The caller receives a reset immediately.
        context.flows.remove(carried)
        context.gate.assume_cold(now)
        context.counters.lost += 1
        age = round(now - carried.opened_at, 3)
        context.log(events.FlowLost(flow_text(carried.flow), age))
        return [ToCaller(context.codec.reset_for(head), head.source)]

    def _search(
        self, envelope: Envelope, head: Head, now: float
    ) -> list[Outgoing]:
        context = self._context
        if envelope.kind is Kind.LOOKUP:
            return [
                peer_datagram(
                    _not_carried_reply(context, envelope), envelope.home
                )
            ]
        lookup = self._lookups.find(head.inbound, now)
        if lookup is not None:
            return self._queue_packet(lookup, envelope, head)
        own = context.location.address
        # Agents that have only passed the packet on have denied nothing.
        request = attrs.evolve(
            _with_visit(envelope, own), home=own, visited=(own,)
        )
        others = [
            agent.address for agent in context.peers() if not agent.is_silent
        ]
        if len(others) >= MAX_VISITED:
            return context.refusals.drop(
                head, 'the pool is too large to search'
            )
        lookup = self._lookups.start(head, request, others, now)
        if others:
            return list(lookup.requests())
        self._lookups.pop(head.inbound)
        return self._report_not_found(lookup, head)

    def _queue_packet(
        self, lookup: Lookup, envelope: Envelope, head: Head
    ) -> list[Outgoing]:
        if len(lookup.waiting) >= MAX_WAITING:
            return self._context.refusals.drop(
                head, 'too many wait for a lookup'
            )
        lookup.waiting.append(envelope)
        return []

    def _report_not_found(self, lookup: Lookup, head: Head) -> list[Outgoing]:
        context = self._context
        context.counters.not_found += 1
        context.log(
            events.FlowNotFound(
                flow_text(head.inbound),
                len(lookup.visited),
                len(lookup.pending),
            ),
        )
        notice = attrs.evolve(
            _not_carried_reply(context, lookup.envelope),
            visited=tuple(lookup.visited),
        )
        return [peer_datagram(notice, lookup.envelope.origin)]


def _with_visit(envelope: Envelope, agent: Address) -> Envelope:
    return attrs.evolve(
        envelope,
        hops=min(envelope.hops + 1, MAX_HOPS),
        visited=(*envelope.visited, agent),
    )


def _mismatch(
    envelope: Envelope, carried: CarriedFlow, head: Head, now: float
) -> events.FlowMismatch:
    """Return the log event of a packet of another flow from the same port."""
    sent = carried.sent or SentRange(0, 0)
    return events.FlowMismatch(
        flow_text(carried.flow),
        envelope.kind.name,
        carried.state.name,
        round(now - carried.opened_at, 3),
        sent.first,
        sent.length,
        head.acknowledged,
    )


def _may_pass_to(known: Address, envelope: Envelope) -> bool:
    return envelope.kind is Kind.ONGOING and known not in envelope.visited


def _not_carried_reply(context: AgentContext, envelope: Envelope) -> Envelope:
    """Return this agent's answer that it does not carry the flow."""
    return attrs.evolve(
        envelope,
        kind=Kind.NOT_CARRIED,
        packet=context.codec.head_only(envelope.packet),
        pool=pool_hash(context.location.pool),
        visited=(context.location.address,),
    )
