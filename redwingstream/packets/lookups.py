"""Parallel lookups of the agent that carries a flow.

An agent that receives a packet of an unknown flow sends the packet to all other
agents of the pool.  The agent that carries the flow delivers the packet; the
others answer ``NOT_CARRIED``.  The requests are sent in parallel because
visiting a large pool sequentially can exceed the time-outs of callers.
"""

from collections.abc import Iterable

import attrs

from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.effects import ToPeer, peer_datagram
from redwingstream.packets.envelopes import Envelope, Kind
from redwingstream.packets.flow import Address, FlowId, Head

MAX_LOOKUPS = 4096
"""Maximum number of concurrent lookups."""

LOOKUP_SECONDS = 2
"""Seconds without use after which a lookup is discarded."""

REPEAT_AFTER = 0.2
"""Seconds without an answer after which a request is sent again, in case a
datagram was lost."""

MAX_WAITING = 16
"""Maximum number of packets queued per lookup; a caller has no more in
flight."""


@attrs.define
class Lookup:
    """State of the lookup of one flow.

    Parameters
    ----------
    envelope : Envelope
        The request sent to each agent, with the packet of the flow.
    pending : set of Address
        Agents that have not answered.
    visited : list of Address
        Agents that the packet named as visited, and those that answered that
        they do not carry the flow.
    acknowledged : int
        Acknowledgement number of the packet.
    asked_at : float
        Time in seconds at which the requests were last sent.
    waiting : list of Envelope
        Packets of the flow received during the lookup.
    is_repeated : bool
        True once the requests have been sent a second time.
    """

    envelope: Envelope
    pending: set[Address]
    visited: list[Address]
    acknowledged: int
    asked_at: float
    waiting: list[Envelope] = attrs.field(factory=list)
    is_repeated: bool = False

    def requests(self) -> list[ToPeer]:
        """Return a request for each agent that has not answered."""
        return [
            peer_datagram(self.envelope, target)
            for target in sorted(self.pending)
        ]


class Lookups:
    """Lookups in progress at one agent."""

    def __init__(self) -> None:
        self._lookup_by_flow: BoundedTable[FlowId, Lookup] = BoundedTable(
            MAX_LOOKUPS, LOOKUP_SECONDS
        )

    def __len__(self) -> int:
        """Return the number of lookups in progress."""
        return len(self._lookup_by_flow)

    def find(self, flow: FlowId, now: float) -> Lookup | None:
        """Return the lookup of a flow, or None if there is none."""
        return self._lookup_by_flow.get(flow, now)

    def start(
        self,
        head: Head,
        envelope: Envelope,
        targets: Iterable[Address],
        now: float,
    ) -> Lookup:
        """Start the lookup of a flow.

        Parameters
        ----------
        head : Head
            Header of a packet of the flow.
        envelope : Envelope
            The packet with the agents already visited.  Its
            ``home`` is this agent, which receives the answers.
        targets : iterable of Address
            Agents to query.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        request = attrs.evolve(envelope, kind=Kind.LOOKUP, visited=())
        lookup = Lookup(
            request,
            set(targets),
            list(envelope.visited),
            head.acknowledged,
            now,
        )
        self._lookup_by_flow.put(head.inbound, lookup, now)
        return lookup

    def record_not_carried(
        self, head: Head, agent: Address, now: float
    ) -> Lookup | None:
        """Record that an agent does not carry a flow.

        An answer on a packet with another acknowledgement number is of an
        earlier search, and does not count.

        Returns
        -------
        Lookup or None
            The lookup if this was its last pending answer, else None.
        """
        flow = head.inbound
        lookup = self._lookup_by_flow.get(flow, now)
        if lookup is None or agent not in lookup.pending:
            return None
        if lookup.acknowledged != head.acknowledged:
            return None
        lookup.pending.remove(agent)
        lookup.visited.append(agent)
        return None if lookup.pending else self.pop(flow)

    def pop(self, flow: FlowId) -> Lookup | None:
        """Remove and return the lookup of a flow."""
        return self._lookup_by_flow.pop(flow)

    def overdue(self, now: float) -> list[tuple[FlowId, Lookup]]:
        """Return lookups with requests unanswered for ``REPEAT_AFTER``."""
        return [
            (flow, lookup)
            for flow, lookup in self._lookup_by_flow.pairs()
            if now - lookup.asked_at >= REPEAT_AFTER
        ]
