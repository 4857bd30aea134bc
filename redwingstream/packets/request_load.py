"""Requests of callers as load of the server."""

from redwingstream.packets.agent_flows import AgentFlows, CarriedFlow
from redwingstream.packets.flow import Head

FULL_PACKET_SIZE = 1200
"""Bytes of data in a full packet.  A packet of an upload with fewer bytes is
the last one of its request."""


def record_request(flows: AgentFlows, carried: CarriedFlow, now: float) -> None:
    """Record that the caller has sent data and awaits an answer."""
    if not carried.has_asked:
        carried.has_asked = True
        flows.stop_waiting(carried)
    carried.is_sending = False
    flows.start_waiting(carried, now)


def record_upload(
    flows: AgentFlows, carried: CarriedFlow, head: Head, now: float
) -> None:
    """Record a data packet of an upload.

    A server occupies a slot only once it has the whole request, so an upload
    counts as load from its last packet, the one that is not full.
    """
    if head.size < FULL_PACKET_SIZE:
        record_request(flows, carried, now)
        return
    if not carried.has_asked:
        carried.has_asked = True
        flows.stop_waiting(carried)
    # A full packet after the last one of a request is a retransmission.
    carried.is_sending = carried.wait_started_at is None
