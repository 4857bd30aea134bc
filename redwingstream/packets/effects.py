"""Datagrams that packet decisions return; the process sends them."""

import attrs

from redwingstream.packets.envelopes import Envelope, pack_envelope
from redwingstream.packets.flow import Address


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


Outgoing = ToPeer | ToCaller | ToServer


def peer_datagram(envelope: Envelope, target: Address) -> ToPeer:
    """Return the datagram that contains an envelope."""
    return ToPeer(pack_envelope(envelope), target)
