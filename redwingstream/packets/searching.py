"""An agent's decisions about packets of flows that are open.

The server itself is the record of its open flows: it hands back what it does
not hold.  So an agent that has lost its memory finds its flows again by
delivering, and a flow that no balancer and no home remembers is found by
querying all agents of the pool, see :mod:`redwingstream.packets.lookups`.
"""

import attrs

from redwingstream.packets import events
from redwingstream.packets.bounded_table import BoundedTable
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
from redwingstream.packets.agent_flows import CarriedFlow, FlowState
from redwingstream.packets.lookups import MAX_WAITING, Lookup, Lookups
from redwingstream.packets.ranking import pool_hash
from redwingstream.packets.agent_context import AgentContext

MAX_TICKETS = 4096
"""Packets that are at the server to see whether it holds their flow."""

TICKET_SECONDS = 1
"""The server hands a packet back within a millisecond."""

MAX_NOT_HELD = 8192
"""Flows of which it is remembered, for a flow's life, that the server does not
hold them; one that it is given later is known as its own."""

MAX_FLOW_BYTES = 67108864
"""Bytes that a caller sends on one flow at most.  A packet farther from the
opening packet belongs to another flow from the same port."""

SEQUENCE_MASK = 0xFFFFFFFF

_TICKET_MASK = 0xFFFFFFFF


class Searching:
    """Delivers packets of open flows, and finds out where they belong.

    Parameters
    ----------
    site : Site
        What an agent's decisions share.
    listens_since : float
        Time from which on this agent has seen all packets of its server.
    """

    def __init__(self, site: AgentContext, listens_since: float) -> None:
        self._site = site
        self._listens_since = listens_since
        self._searched: BoundedTable[int, Envelope] = BoundedTable(
            MAX_TICKETS, TICKET_SECONDS
        )
        self._unconfirmed: BoundedTable[FlowId, Envelope] = BoundedTable(
            MAX_TICKETS, TICKET_SECONDS
        )
        self._not_held: BoundedTable[FlowId, bool] = BoundedTable(
            MAX_NOT_HELD, site.flows.flow_life
        )
        self._ticket = 0
        self._lookups = Lookups()

    def take(self, envelope: Envelope, now: float) -> list[Outgoing]:
        """Take a packet from a balancer or another agent."""
        site = self._site
        head = site.codec.read(envelope.packet)
        carried = site.flows.carried(head.inbound, now)
        if carried is not None:
            return self._deliver(envelope, carried, head, now)
        known = site.flows.elsewhere(head.inbound, now)
        if known is not None and _may_pass_to(known, envelope):
            return [peer_datagram(self._visited(envelope), known)]
        if self._cannot_be_here(head, now):
            # The server is spared the packets of a flow that it cannot hold: to
            # have them handed back one by one is a flow sent astray.
            return self._search_on(envelope, head, now)
        self._unconfirmed.put(head.inbound, envelope, now)
        return [ToServer(self._with_ticket(envelope, now))]

    def returned(
        self, head: Head, carried: CarriedFlow | None, now: float
    ) -> list[Outgoing]:
        """Take a packet that the server hands back."""
        site = self._site
        searched = self._searched.pop(head.ticket) if head.ticket else None
        self._unconfirmed.pop(head.inbound)
        is_lookup = searched is not None and searched.kind is Kind.LOOKUP
        is_held = carried is not None and not is_lookup
        if is_held and carried.standing is FlowState.ESTABLISHED:
            return self._flow_lost(carried, head, now)
        if carried is not None:
            # The caller has acknowledged another server's answer.
            site.flows.forget(carried)
        self._not_held.put(head.inbound, row=True, now=now)
        if searched is None:
            return site.refusals.drop(head, 'handed back without a search')
        return self._search_on(searched, head, now)

    def report_held(self, flow: FlowId) -> list[Outgoing]:
        """Announce a flow that the server has answered after a search."""
        envelope = self._unconfirmed.pop(flow)
        return [] if envelope is None else self._report_found(flow, envelope)

    def note_not_carried(
        self, envelope: Envelope, agent: Address, now: float
    ) -> list[Outgoing]:
        """Take an agent's answer that it does not carry a flow."""
        head = self._site.codec.read(envelope.packet)
        lookup = self._lookups.note_not_carried(head.inbound, agent, now)
        return [] if lookup is None else self._report_not_found(lookup, head)

    def note_carried(self, flow: FlowId, agent: Address) -> list[Outgoing]:
        """End the lookup of a flow and send its queued packets to its agent."""
        lookup = self._lookups.end(flow)
        if lookup is None:
            return []
        return [
            peer_datagram(self._visited(waiting), agent)
            for waiting in lookup.waiting
        ]

    def tick(self, now: float) -> list[Outgoing]:
        """Expire old entries; retry or end overdue lookups."""
        self._searched.forget_old(now)
        self._unconfirmed.forget_old(now)
        self._not_held.forget_old(now)
        sending: list[Outgoing] = []
        for flow, lookup in self._lookups.overdue(now):
            if lookup.is_repeated:
                self._lookups.end(flow)
                head = self._site.codec.read(lookup.envelope.packet)
                sending.extend(self._report_not_found(lookup, head))
            else:
                lookup.is_repeated = True
                lookup.asked_at = now
                sending.extend(lookup.requests())
        return sending

    def _cannot_be_here(self, head: Head, now: float) -> bool:
        site = self._site
        # A flow that the server holds shows itself within the idle time-out.
        knows_all_from = self._listens_since + site.flows.idle_timeout
        if site.gate.state.is_observed_from_start or now >= knows_all_from:
            return True
        return self._not_held.get(head.inbound, now) is not None

    def _deliver(
        self, envelope: Envelope, carried: CarriedFlow, head: Head, now: float
    ) -> list[Outgoing]:
        site = self._site
        opening = carried.envelope.packet
        is_lookup = envelope.kind is Kind.LOOKUP
        if is_lookup and opening and _is_other(site, opening, head):
            return self._search_on(envelope, head, now)
        if head.size:
            site.flows.ask(carried, now)
        if is_lookup and not opening:
            # The entry may belong to an earlier flow from the same port, while
            # another server holds this one: the server's answer decides.
            self._unconfirmed.put(head.inbound, envelope, now)
            return [ToServer(self._with_ticket(envelope, now))]
        packet = envelope.packet
        if carried.standing is not FlowState.ESTABLISHED:
            packet = self._with_ticket(envelope, now)
        sending: list[Outgoing] = [ToServer(packet)]
        if envelope.hops:
            sending.extend(self._report_found(head.inbound, envelope))
        return sending

    def _report_found(self, flow: FlowId, envelope: Envelope) -> list[Outgoing]:
        site = self._site
        site.counters.found += 1
        site.log(
            events.FlowFound(
                flow_text(flow), envelope.hops, text_of(envelope.home)
            ),
        )
        return list(site.announce(envelope))

    def _flow_lost(
        self, carried: CarriedFlow, head: Head, now: float
    ) -> list[Outgoing]:
        site = self._site
        if carried.is_ending:
            return site.refusals.drop(head, 'the flow has ended')
        # The server held this flow and does not any more, so it has been
        # restarted or has given the flow up.  The caller is told at once.
        site.flows.forget(carried)
        site.gate.assume_cold(now)
        site.counters.lost += 1
        age = round(now - carried.opened_at, 3)
        site.log(events.FlowLost(flow_text(carried.flow), age))
        return [ToCaller(site.codec.reset_for(head), head.source)]

    def _search_on(
        self, envelope: Envelope, head: Head, now: float
    ) -> list[Outgoing]:
        site = self._site
        if envelope.kind is Kind.LOOKUP:
            return [
                peer_datagram(_not_carried_reply(site, envelope), envelope.home)
            ]
        lookup = self._lookups.find(head.inbound, now)
        if lookup is not None:
            return self._wait_for(lookup, envelope, head)
        searching = attrs.evolve(
            self._visited(envelope), home=site.location.address
        )
        others = [
            agent.address
            for agent in site.peers()
            if agent.address not in searching.visited and not agent.is_silent
        ]
        if len(others) + len(searching.visited) > MAX_VISITED:
            return site.refusals.drop(head, 'the pool is too large to search')
        lookup = self._lookups.start(head.inbound, searching, others, now)
        if others:
            return list(lookup.requests())
        self._lookups.end(head.inbound)
        return self._report_not_found(lookup, head)

    def _wait_for(
        self, lookup: Lookup, envelope: Envelope, head: Head
    ) -> list[Outgoing]:
        if len(lookup.waiting) >= MAX_WAITING:
            return self._site.refusals.drop(head, 'too many wait for a lookup')
        lookup.waiting.append(envelope)
        return []

    def _report_not_found(self, lookup: Lookup, head: Head) -> list[Outgoing]:
        site = self._site
        site.counters.not_found += 1
        site.log(
            events.FlowNotFound(
                flow_text(head.inbound),
                len(lookup.visited),
                len(lookup.pending),
            ),
        )
        word = attrs.evolve(
            _not_carried_reply(site, lookup.envelope),
            visited=tuple(lookup.visited),
        )
        return [peer_datagram(word, lookup.envelope.origin)]

    def _visited(self, envelope: Envelope) -> Envelope:
        return attrs.evolve(
            envelope,
            hops=min(envelope.hops + 1, MAX_HOPS),
            visited=(*envelope.visited, self._site.location.address),
        )

    def _with_ticket(self, envelope: Envelope, now: float) -> bytes:
        self._ticket = (self._ticket + 1) & _TICKET_MASK or 1
        self._searched.put(self._ticket, envelope, now)
        return self._site.codec.with_ticket(envelope.packet, self._ticket)


def _is_other(site: AgentContext, opening: bytes, head: Head) -> bool:
    """Whether a packet is of another flow than the one an agent opened."""
    begun = site.codec.read(opening).sequence
    return (head.sequence - begun) & SEQUENCE_MASK > MAX_FLOW_BYTES


def _may_pass_to(known: Address, envelope: Envelope) -> bool:
    return envelope.kind is Kind.ONGOING and known not in envelope.visited


def _not_carried_reply(site: AgentContext, envelope: Envelope) -> Envelope:
    """Return this agent's answer that it does not carry the flow."""
    return attrs.evolve(
        envelope,
        kind=Kind.NOT_CARRIED,
        packet=site.codec.head_only(envelope.packet),
        pool=pool_hash(site.location.pool),
        visited=(site.location.address,),
    )
