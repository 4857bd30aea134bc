"""Datagrams that packet decisions return; the process sends them."""

import attrs

from redwingstream.packets.envelopes import Envelope, pack_envelope
from redwingstream.packets.flow import Address, FlowId


@attrs.define
class ToPeer:
    """A datagram to another balancer or agent."""

    payload: bytes
    target: Address


@attrs.define
class ToCaller:
    """A packet to a caller."""

    payload: bytes
    caller: Address


@attrs.define
class ToServer:
    """A packet to the server beside this agent."""

    payload: bytes


@attrs.define
class BulkToPeer:
    """A datagram with data of an upload, or the end of one, to an agent.

    It is sent when the link of this instance has capacity for it.

    Parameters
    ----------
    payload : bytes
        The datagram.
    target : Address
        The agent.
    flow : FlowId
        Flow of the packet.
    sequence, size : int
        Sequence number of the packet and bytes of its data; a retransmission
        has the same ones.
    """

    payload: bytes
    target: Address
    flow: FlowId
    sequence: int
    size: int


Outgoing = ToPeer | ToCaller | ToServer | BulkToPeer


def peer_datagram(envelope: Envelope, target: Address) -> ToPeer:
    """Return the datagram that contains an envelope."""
    return ToPeer(pack_envelope(envelope), target)
