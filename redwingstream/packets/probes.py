"""Packets that show whether the server beside an agent holds their flows.

The server itself knows its flows: it returns a packet of a flow that it does
not hold, or answers it with a reset.  An agent that cannot know whether a flow
is its server's delivers a packet of it and waits for what the server does.
"""

from redwingstream.packets.agent_flows import CarriedFlow
from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.coverage import Coverage
from redwingstream.packets.envelopes import Envelope
from redwingstream.packets.flow import FlowId, Head, PacketCodec

MAX_PENDING = 4096
"""Maximum number of packets delivered to the server that it may return."""

PENDING_SECONDS = 1
"""Seconds for which a returned packet is expected; the server returns it within
a millisecond."""

_TICKET_MASK = 0xFFFFFFFF


class Probes:
    """Packets whose fate at the server is not known yet.

    Parameters
    ----------
    codec : PacketCodec
        Writes tickets into packets.
    coverage : Coverage
        Flows that the server has denied.
    """

    def __init__(self, codec: PacketCodec, coverage: Coverage) -> None:
        self._codec = codec
        self._ticket = 0
        self._envelope_by_ticket: BoundedTable[int, Envelope] = BoundedTable(
            MAX_PENDING, PENDING_SECONDS
        )
        self._unanswered_by_flow: BoundedTable[FlowId, Envelope] = BoundedTable(
            MAX_PENDING, PENDING_SECONDS
        )
        self._coverage = coverage

    def with_ticket(self, envelope: Envelope, now: float) -> bytes:
        """Return the packet of an envelope with a ticket.

        If the server returns the packet, the envelope is found by the ticket.
        """
        self._ticket = (self._ticket + 1) & _TICKET_MASK or 1
        self._envelope_by_ticket.put(self._ticket, envelope, now)
        return self._codec.with_ticket(envelope.packet, self._ticket)

    def expect_answer(
        self, flow: FlowId, envelope: Envelope, now: float
    ) -> None:
        """Expect the server to show with its next packet that it has a flow."""
        self._unanswered_by_flow.put(flow, envelope, now)

    def pop_answered(self, flow: FlowId) -> Envelope | None:
        """Return the envelope that the server has answered, or None."""
        return self._unanswered_by_flow.pop(flow)

    def is_denial(
        self, flow: FlowId, carried: CarriedFlow | None, now: float
    ) -> bool:
        """Whether a reset of the server says only that it holds no such flow.

        Parameters
        ----------
        flow : FlowId
            The flow that the server has reset.
        carried : CarriedFlow or None
            Entry of the agent for the flow.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        if self._unanswered_by_flow.get(flow, now) is not None:
            return True
        return carried is None and self._coverage.has_denied(flow, now)

    def pop_returned(self, head: Head) -> Envelope | None:
        """Return the envelope of a packet that the server has returned.

        None is returned if the packet has no ticket, or one of another packet:
        an earlier run of the agent has numbered its tickets alike.
        """
        self._unanswered_by_flow.pop(head.inbound)
        if not head.ticket:
            return None
        envelope = self._envelope_by_ticket.pop(head.ticket)
        if envelope is None:
            return None
        asked = self._codec.read(envelope.packet)
        return envelope if asked.inbound == head.inbound else None

    def evict_expired(self, now: float) -> None:
        """Evict packets that the server will not return."""
        self._envelope_by_ticket.evict_expired(now)
        self._unanswered_by_flow.evict_expired(now)
