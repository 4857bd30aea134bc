"""An agent's decisions about packets that open a flow.

An agent gives a new flow to its server, lets it wait, passes it on to another
agent of the pool, or refuses it.
"""

import attrs

from redwingstream.openings.gate import Verdict
from redwingstream.packets import events
from redwingstream.packets.agent_context import AgentContext
from redwingstream.packets.agent_flows import CarriedFlow, FlowState
from redwingstream.packets.effects import Outgoing, ToServer, peer_datagram
from redwingstream.packets.envelopes import (
    NO_OFFER,
    Envelope,
    Kind,
)
from redwingstream.packets.flow import (
    NO_ADDRESS,
    Address,
    FlowId,
    Head,
    flow_text,
    text_of,
)
from redwingstream.packets.next_agent import (
    MAX_AGENTS_TRIED,
    next_target,
)
from redwingstream.packets.ranking import pool_hash


class NewFlowHandler:
    """Accepts new flows, passes them on to other agents, or refuses them.

    Parameters
    ----------
    context : AgentContext
        State shared by the agent's packet decisions.
    """

    def __init__(self, context: AgentContext) -> None:
        self._context = context
        self._pool_hash = pool_hash(context.location.pool)

    def handle_opening(self, envelope: Envelope, now: float) -> list[Outgoing]:
        """Handle an opening packet from a balancer or another agent."""
        context = self._context
        head = context.codec.read(envelope.packet)
        flow = head.inbound
        if flow in context.waiting:
            return []
        if envelope.pool != self._pool_hash:
            context.counters.foreign += 1
            return context.refusals.refuse(
                head, 'another pool', envelope.hops + 1
            )
        carried = context.flows.find_carried(flow, now)
        if carried is not None and self._is_copy(head, carried):
            return self._handle_copy(envelope, carried)
        known = context.flows.find_carrier(flow, now)
        if known is not None and self._may_visit(known, head, envelope):
            return [peer_datagram(self._with_visit(envelope), known)]
        if carried is not None:
            # It may be a late packet of an earlier flow from the same port.
            context.flows.forget(carried, now)
        return self._handle_new(envelope, head, now)

    def process_waiting(self, now: float) -> list[Outgoing]:
        """Open, refuse or pass on flows whose wait has ended.

        Those that came last go first: they can still be answered in time.
        """
        outgoing: list[Outgoing] = []
        while self._may_open_newest(now):
            held = self._context.waiting.pop_newest()
            outgoing.extend(self._open(held.envelope, held.head.inbound, now))
        outgoing.extend(self._end_waits(now))
        return outgoing

    def handle_returned(
        self, head: Head, carried: CarriedFlow | None, now: float
    ) -> list[Outgoing]:
        """Handle an opening packet that the server has returned."""
        context = self._context
        if carried is None:
            return context.refusals.drop(head, 'handed back twice')
        if carried.state is FlowState.ESTABLISHED:
            return context.refusals.drop(head, 'a late copy')
        if carried.state is FlowState.OFFERED:
            context.flows.remove(carried)
        else:
            context.flows.forget(carried, now)
        context.gate.record_full(now)
        return self.pass_on(carried.envelope, head, Verdict.FULL, now)

    def pass_on(
        self, envelope: Envelope, head: Head, verdict: Verdict, now: float
    ) -> list[Outgoing]:
        """Pass a new flow on to another agent, or decide on it here.

        The envelope keeps the agent with the shortest expected wait so far.
        That agent holds the flow when no other agent is left to try.
        """
        context = self._context
        own = context.location.address
        passed = attrs.evolve(
            self._with_visit(envelope), hops=envelope.hops + 1
        )
        offer = context.offered_wait(head, now)
        if offer < envelope.offer:
            passed = attrs.evolve(passed, best=own, offer=offer)
        target = next_target(context, head.inbound, passed)
        if target == own:
            return self._open_or_hold(envelope, head, verdict, now)
        if target == NO_ADDRESS or envelope.hops > MAX_AGENTS_TRIED:
            return context.refusals.refuse(
                head, verdict.value, envelope.hops + 1
            )
        context.counters.passed_on += 1
        context.flows.record_carrier(head.inbound, target, now)
        context.log(
            events.FlowPassedOn(
                flow_text(head.inbound),
                verdict.value,
                text_of(target),
                envelope.hops,
                context.flows.waiting,
            ),
        )
        return [
            peer_datagram(passed, target),
            *self._notify_balancer(envelope, target),
        ]

    def _notify_balancer(
        self, envelope: Envelope, target: Address
    ) -> list[Outgoing]:
        """Notify the balancer of the agent that a new flow was passed on to.

        If the target does not answer, the balancer doubts the target and not
        this agent, and sends the caller's next copy to neither of them.
        """
        notice = attrs.evolve(
            envelope,
            kind=Kind.PASSED,
            packet=self._context.codec.head_only(envelope.packet),
            best=target,
            visited=(),
        )
        return [peer_datagram(notice, envelope.origin)]

    def _handle_copy(
        self, envelope: Envelope, carried: CarriedFlow
    ) -> list[Outgoing]:
        """Handle a copy of the packet that opened a flow of this server.

        A balancer that was suspended forwards old packets seconds later.  If
        such a packet were handled as a new flow, this agent would remove the
        open flow, and its packets would no longer reach the server.
        """
        is_late = carried.state is FlowState.ESTABLISHED
        if is_late and carried.envelope.packet:
            return list(self._context.notify_carried(envelope))
        return [ToServer(envelope.packet)]

    def _is_copy(self, head: Head, carried: CarriedFlow) -> bool:
        opening = carried.envelope.packet
        if not opening:
            # Opened before this agent started: only the server knows.
            return True
        # A caller that reuses its port starts at another sequence number.
        return self._context.codec.read(opening).sequence == head.sequence

    def _may_visit(
        self, known: Address, head: Head, envelope: Envelope
    ) -> bool:
        """Whether a packet may be sent to the known carrier of its flow.

        A copy may always be.  A first packet may be a delayed one, or may open
        another flow from the same port; it goes to the carrier only if that
        agent is not silent.
        """
        if known in envelope.visited:
            return False
        if head.acknowledged:
            return True
        agent = self._context.view.agent_by_address.get(known)
        return agent is not None and not agent.is_silent

    def _with_visit(self, envelope: Envelope) -> Envelope:
        own = self._context.location.address
        return attrs.evolve(envelope, visited=(*envelope.visited, own))

    def _handle_new(
        self, envelope: Envelope, head: Head, now: float
    ) -> list[Outgoing]:
        context = self._context
        verdict = context.gate.verdict_for(context.load(), now)
        is_late = context.is_late(head)
        if verdict is Verdict.TAKE and self._may_open(
            verdict, now, is_late=is_late
        ):
            return self._open(envelope, head.inbound, now)
        if envelope.best == context.location.address:
            return self._open_or_hold(envelope, head, verdict, now)
        return self.pass_on(envelope, head, verdict, now)

    def _may_open_newest(self, now: float) -> bool:
        context = self._context
        newest = context.waiting.newest()
        if newest is None:
            return False
        verdict = context.gate.verdict_for(context.load(), now)
        # No other agent has offered to take it sooner than this one, even if
        # the server is in doubt.
        is_best = verdict is Verdict.FAILING
        return is_best or self._may_open(
            verdict, now, is_late=newest.is_late(now)
        )

    def _may_open(self, verdict: Verdict, now: float, *, is_late: bool) -> bool:
        """Whether a flow may be opened now.

        A late flow takes neither a place of a cold server nor one in a
        server's queue: both are for flows that can be answered in time.
        """
        gate = self._context.gate
        match verdict:
            case Verdict.TAKE:
                return not (is_late and gate.is_cold(now))
            case Verdict.BUSY:
                return not is_late and gate.may_queue(self._context.load())
        return False

    def _open_or_hold(
        self, envelope: Envelope, head: Head, verdict: Verdict, now: float
    ) -> list[Outgoing]:
        """Open a flow that no other agent would open sooner, or let it wait."""
        context = self._context
        is_best = verdict is Verdict.FAILING
        is_late = context.is_late(head)
        if is_best or self._may_open(verdict, now, is_late=is_late):
            return self._open(envelope, head.inbound, now)
        if not verdict.may_wait or context.waiting.is_full:
            return context.refusals.refuse(
                head, verdict.value, envelope.hops + 1
            )
        load = context.load()
        context.waiting.add(
            head.inbound, context.make_waiting_flow(envelope, head, now)
        )
        context.counters.held += 1
        expected = round(context.gate.expected_wait(load, now), 3)
        context.log(
            events.FlowHeld(
                flow_text(head.inbound),
                verdict.value,
                expected,
                len(context.waiting),
            ),
        )
        # The balancer is notified, so that it sends copies here and does not
        # doubt this agent.
        return list(context.notify_carried(envelope))

    def _end_waits(self, now: float) -> list[Outgoing]:
        """Refuse overdue flows; pass all on if the server takes none."""
        context = self._context
        outgoing: list[Outgoing] = []
        verdict = context.gate.verdict_for(context.load(), now)
        for overdue in context.waiting.pop_overdue(now):
            outgoing.extend(
                context.refusals.refuse(
                    overdue.head, verdict.value, overdue.envelope.hops + 1
                )
            )
        while context.waiting and not verdict.may_wait:
            held = context.waiting.pop_oldest()
            again = attrs.evolve(
                held.envelope,
                hops=0,
                visited=(),
                best=NO_ADDRESS,
                offer=NO_OFFER,
            )
            outgoing.extend(self.pass_on(again, held.head, verdict, now))
        return outgoing

    def _open(
        self, envelope: Envelope, flow: FlowId, now: float
    ) -> list[Outgoing]:
        context = self._context
        carried = CarriedFlow(
            flow,
            envelope,
            FlowState.OFFERED,
            now,
            is_sent_complete=context.flows.coverage.is_surely_new(flow, now),
        )
        context.flows.add(carried, now)
        context.flows.start_waiting(carried, now)
        context.gate.record_opened(now)
        context.counters.opened += 1
        context.log(
            events.FlowOpened(
                flow_text(flow),
                text_of(envelope.origin),
                envelope.hops,
                context.flows.waiting,
                context.flows.count,
                context.gate.is_cold(now),
            ),
        )
        return [ToServer(envelope.packet)]
