"""An agent's decisions about packets that open a flow."""

import attrs

from redwingstream.directory.messages import Readiness
from redwingstream.openings.gate import Verdict
from redwingstream.packets import events
from redwingstream.packets.effects import Sending, ToCaller, ToServer
from redwingstream.packets.envelopes import Envelope
from redwingstream.packets.flow import (
    NO_ADDRESS,
    Address,
    FlowId,
    Head,
    flow_text,
    text_of,
)
from redwingstream.packets.flowbook import Carried, Standing
from redwingstream.packets.ranking import pool_hash, ranked
from redwingstream.packets.site import Site, peer_datagram

MAX_TRIES = 4
"""Agents that look at a new flow.  With random loads the least loaded of four
is within a tenth of the best of all, and each look costs up to a millisecond
of the caller's time."""


class Admitting:
    """Takes new flows, passes them on to other agents, or refuses them.

    Parameters
    ----------
    site : Site
        What an agent's decisions share.
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self._pool = pool_hash(site.place.pool)

    def take(self, envelope: Envelope, now: float) -> list[Sending]:
        """Take an opening packet from a balancer or another agent."""
        site = self._site
        head = site.codec.read(envelope.packet)
        flow = head.inbound
        carried = site.flows.carried(flow, now)
        if carried is not None and _is_copy(head, carried):
            return [ToServer(envelope.packet)]
        if carried is not None:
            site.flows.forget(carried)
        if envelope.pool != self._pool:
            site.counters.foreign += 1
            return self._refuse(envelope, head, 'another pool')
        known = site.flows.elsewhere(flow, now)
        if known is not None and head.acknowledged:
            return [peer_datagram(envelope, known)]
        verdict = site.gate.judge(site.flows.load, now)
        is_forced = envelope.best == site.place.address
        if verdict is Verdict.TAKE or (is_forced and verdict.is_open):
            return self._open(envelope, flow, now)
        return self.pass_on(envelope, head, verdict, now)

    def returned(
        self, head: Head, carried: Carried | None, now: float
    ) -> list[Sending]:
        """Take an opening packet that the server hands back."""
        site = self._site
        if carried is None:
            return drop(site, head, 'handed back twice')
        site.flows.forget(carried)
        site.gate.note_full(now)
        return self.pass_on(carried.envelope, head, Verdict.FULL, now)

    def pass_on(
        self, envelope: Envelope, head: Head, verdict: Verdict, now: float
    ) -> list[Sending]:
        """Pass a new flow on to another agent, or end the tries."""
        site = self._site
        own = site.place.address
        passed = attrs.evolve(
            envelope,
            hops=envelope.hops + 1,
            visited=(*envelope.visited, own),
        )
        if verdict is Verdict.BUSY and site.own_load() < envelope.load:
            passed = attrs.evolve(passed, best=own, load=site.own_load())
        target = self._next(head.inbound, passed.visited) or passed.best
        if target in {own, NO_ADDRESS} or envelope.hops > MAX_TRIES:
            if target == own and verdict.is_open:
                return self._open(envelope, head.inbound, now)
            return self._refuse(envelope, head, verdict.value)
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
        return [peer_datagram(passed, target)]

    def _open(
        self, envelope: Envelope, flow: FlowId, now: float
    ) -> list[Sending]:
        site = self._site
        carried = Carried(flow, envelope, Standing.OFFERED, now)
        site.flows.add(carried, now)
        site.flows.owe(carried, now)
        site.gate.note_opened(now)
        site.counters.opened += 1
        site.log(
            events.FlowOpened(
                flow_text(flow),
                text_of(envelope.origin),
                envelope.hops,
                site.flows.waiting,
                site.flows.load.flows,
                site.gate.is_cold(now),
            ),
        )
        return [ToServer(envelope.packet)]

    def _next(
        self, flow: FlowId, visited: tuple[Address, ...]
    ) -> Address | None:
        if len(visited) >= MAX_TRIES:
            return None
        usable = [
            agent
            for agent in self._site.peers()
            if agent.address not in visited
            and agent.readiness is Readiness.READY
            and not agent.is_silent
        ]
        order = ranked(flow, usable, self._site.place.zone)
        return order[0].address if order else None

    def _refuse(
        self, envelope: Envelope, head: Head, reason: str
    ) -> list[Sending]:
        # Only the first packet of a flow is answered with a reset.  A copy may
        # meet a flow that another agent has just been given: the reset would
        # reach the caller after the flow has opened, and break it.
        site = self._site
        if head.acknowledged:
            return drop(site, head, reason)
        site.counters.refused += 1
        site.log(
            events.FlowRefused(
                flow_text(head.inbound),
                reason,
                site.revision,
                len(envelope.visited) + 1,
            ),
        )
        return [ToCaller(site.codec.reset_for(head), head.source)]


def drop(site: Site, head: Head, reason: str) -> list[Sending]:
    """Drop a packet, and say so."""
    site.counters.dropped += 1
    site.log(events.FlowDropped(flow_text(head.inbound), reason, site.revision))
    return []


def _is_copy(head: Head, carried: Carried) -> bool:
    # A caller that uses its port again begins with a first copy.
    return bool(head.acknowledged) or (
        carried.standing is not Standing.ESTABLISHED
    )
