"""An agent's decisions about packets that open a flow."""

import attrs

from redwingstream.directory.messages import Readiness
from redwingstream.directory.view import Agent
from redwingstream.openings.gate import Verdict
from redwingstream.packets import events
from redwingstream.packets.effects import Outgoing, ToServer, peer_datagram
from redwingstream.packets.envelopes import (
    NO_OFFER,
    OFFER_UNIT,
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
from redwingstream.packets.agent_flows import CarriedFlow, FlowState
from redwingstream.packets.ranking import pool_hash, ranked
from redwingstream.packets.agent_context import AgentContext
from redwingstream.packets.waiting import Held

MAX_TRIES = 4
"""Agents that look at a new flow.  With random loads the least loaded of four
is within a tenth of the best of all, and each look costs up to a millisecond
of the caller's time."""

ZONE_WAIT = 0.04
"""Seconds that a new flow rather waits in its zone than goes to another one,
where each of its bytes takes the way between zones."""


class Admitting:
    """Takes new flows, passes them on to other agents, or refuses them.

    Parameters
    ----------
    site : Site
        What an agent's decisions share.
    """

    def __init__(self, site: AgentContext) -> None:
        self._site = site
        self._pool = pool_hash(site.location.pool)

    def take(self, envelope: Envelope, now: float) -> list[Outgoing]:
        """Take an opening packet from a balancer or another agent."""
        site = self._site
        head = site.codec.read(envelope.packet)
        flow = head.inbound
        if flow in site.waiting:
            return []
        if envelope.pool != self._pool:
            site.counters.foreign += 1
            return site.refusals.refuse(head, 'another pool', envelope.hops + 1)
        carried = site.flows.carried(flow, now)
        if carried is not None and self._is_copy(head, carried):
            return self._take_copy(envelope, carried)
        known = site.flows.elsewhere(flow, now)
        if known is not None and self._may_ask(known, head, envelope):
            return [peer_datagram(self._visited(envelope), known)]
        if carried is not None:
            site.flows.forget(carried)
        return self._take_new(envelope, head, now)

    def release(self, now: float) -> list[Outgoing]:
        """Let those go on that wait and need not any more."""
        site = self._site
        sending: list[Outgoing] = []
        held = site.waiting.first()
        while held is not None:
            verdict = site.gate.verdict_for(site.load(), now)
            ended = self._end_of_wait(held, verdict, now)
            if ended is None:
                break
            sending.extend(ended)
            held = site.waiting.first()
        return sending

    def returned(
        self, head: Head, carried: CarriedFlow | None, now: float
    ) -> list[Outgoing]:
        """Take an opening packet that the server hands back."""
        site = self._site
        if carried is None:
            return site.refusals.drop(head, 'handed back twice')
        if carried.standing is FlowState.ESTABLISHED:
            return site.refusals.drop(head, 'a late copy')
        site.flows.forget(carried)
        site.gate.record_full(now)
        return self.pass_on(carried.envelope, head, Verdict.FULL, now)

    def pass_on(
        self, envelope: Envelope, head: Head, verdict: Verdict, now: float
    ) -> list[Outgoing]:
        """Pass a new flow on to another agent, or end the tries."""
        site = self._site
        own = site.location.address
        passed = attrs.evolve(self._visited(envelope), hops=envelope.hops + 1)
        offer = site.offer(head, now)
        if offer < envelope.offer:
            passed = attrs.evolve(passed, best=own, offer=offer)
        target = self._target(head.inbound, passed)
        if target == own:
            return self._take_forced(envelope, head, verdict, now)
        if target == NO_ADDRESS or envelope.hops > MAX_TRIES:
            return site.refusals.refuse(head, verdict.value, envelope.hops + 1)
        site.counters.passed_on += 1
        site.flows.note_elsewhere(head.inbound, target, now)
        site.log(
            events.FlowPassedOn(
                flow_text(head.inbound),
                verdict.value,
                text_of(target),
                envelope.hops,
                site.flows.waiting,
            ),
        )
        return [peer_datagram(passed, target), *self._tell(envelope, target)]

    def _tell(self, envelope: Envelope, target: Address) -> list[Outgoing]:
        """Tell the balancer to whom a new flow was passed on.

        When the target does not answer, the balancer doubts it, and not this
        agent; the caller's copy then goes to neither.
        """
        word = attrs.evolve(
            envelope,
            kind=Kind.PASSED,
            packet=self._site.codec.head_only(envelope.packet),
            best=target,
            visited=(),
        )
        return [peer_datagram(word, envelope.origin)]

    def _take_copy(
        self, envelope: Envelope, carried: CarriedFlow
    ) -> list[Outgoing]:
        """Take a copy of the packet that opened a flow of this server.

        A balancer that has stood still hands on seconds later what it was sent
        before.  Taken for a new flow, such a packet makes this agent forget one
        that is open, and all packets of it go astray.
        """
        is_late = carried.standing is FlowState.ESTABLISHED
        if is_late and carried.envelope.packet:
            return list(self._site.announce(envelope))
        return [ToServer(envelope.packet)]

    def _is_copy(self, head: Head, carried: CarriedFlow) -> bool:
        opening = carried.envelope.packet
        if not opening:
            # Opened before this agent was started: the server can tell.
            return True
        # A caller that uses its port again begins at another position.
        return self._site.codec.read(opening).sequence == head.sequence

    def _may_ask(self, known: Address, head: Head, envelope: Envelope) -> bool:
        """Whether the agent that carries a flow may look at a copy.

        A first packet may be a late one as well.  One that opens another flow
        from the same port costs the way to that agent, so it has to be heard.
        """
        if known in envelope.visited:
            return False
        if head.acknowledged:
            return True
        agent = self._site.view.agent_by_address.get(known)
        return agent is not None and not agent.is_silent

    def _visited(self, envelope: Envelope) -> Envelope:
        own = self._site.location.address
        return attrs.evolve(envelope, visited=(*envelope.visited, own))

    def _take_new(
        self, envelope: Envelope, head: Head, now: float
    ) -> list[Outgoing]:
        site = self._site
        verdict = site.gate.verdict_for(site.load(), now)
        if verdict is Verdict.TAKE and not site.waiting:
            return self._open(envelope, head.inbound, now)
        if envelope.best == site.location.address:
            return self._take_forced(envelope, head, verdict, now)
        return self.pass_on(envelope, head, verdict, now)

    def _take_forced(
        self, envelope: Envelope, head: Head, verdict: Verdict, now: float
    ) -> list[Outgoing]:
        """Take a flow that no other agent would take sooner."""
        site = self._site
        load = site.load()
        is_best = verdict is Verdict.FAILING
        if is_best or (verdict is Verdict.BUSY and site.gate.may_queue(load)):
            return self._open(envelope, head.inbound, now)
        if not verdict.may_wait or site.waiting.is_full:
            return site.refusals.refuse(head, verdict.value, envelope.hops + 1)
        site.waiting.add(head.inbound, Held(envelope, head, now))
        site.counters.held += 1
        expected = round(site.gate.expected_wait(load, now), 3)
        site.log(
            events.FlowHeld(
                flow_text(head.inbound),
                verdict.value,
                expected,
                len(site.waiting),
            ),
        )
        # The balancer is told, so that it sends copies here and does not take
        # this agent for silent.
        return list(site.announce(envelope))

    def _end_of_wait(
        self, held: Held, verdict: Verdict, now: float
    ) -> list[Outgoing] | None:
        """Return what becomes of a flow that waits; None while it waits."""
        site = self._site
        is_taken = verdict in {Verdict.TAKE, Verdict.FAILING} or (
            verdict is Verdict.BUSY and site.gate.may_queue(site.load())
        )
        if is_taken:
            site.waiting.pop()
            return self._open(held.envelope, held.head.inbound, now)
        if now - held.since > site.longest_wait(held.head, now):
            site.waiting.pop()
            return site.refusals.refuse(
                held.head, verdict.value, held.envelope.hops + 1
            )
        if verdict.may_wait:
            return None
        site.waiting.pop()
        again = attrs.evolve(
            held.envelope, hops=0, visited=(), best=NO_ADDRESS, offer=NO_OFFER
        )
        return self.pass_on(again, held.head, verdict, now)

    def _open(
        self, envelope: Envelope, flow: FlowId, now: float
    ) -> list[Outgoing]:
        site = self._site
        carried = CarriedFlow(flow, envelope, FlowState.OFFERED, now)
        site.flows.add(carried, now)
        site.flows.owe(carried, now)
        site.gate.record_opened(now)
        site.counters.opened += 1
        site.log(
            events.FlowOpened(
                flow_text(flow),
                text_of(envelope.origin),
                envelope.hops,
                site.flows.waiting,
                site.flows.count,
                site.gate.is_cold(now),
            ),
        )
        return [ToServer(envelope.packet)]

    def _target(self, flow: FlowId, passed: Envelope) -> Address:
        """Return the agent that looks next, or takes the flow at last."""
        following = self._next(flow, passed)
        if following is None:
            return passed.best
        is_elsewhere = following.zone != self._site.location.zone
        if is_elsewhere and passed.offer * OFFER_UNIT <= ZONE_WAIT:
            return passed.best
        return following.address

    def _next(self, flow: FlowId, passed: Envelope) -> Agent | None:
        if passed.hops >= MAX_TRIES:
            return None
        # An agent whose zone is out would only use up one of the few tries.
        zones_out = self._site.gate.rules.zones_out
        usable = [
            agent
            for agent in self._site.peers()
            if agent.address not in passed.visited
            and agent.readiness is Readiness.READY
            and not agent.is_silent
            and agent.zone not in zones_out
        ]
        order = ranked(flow, usable, self._site.location.zone)
        return order[0] if order else None
