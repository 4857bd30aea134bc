"""What the packet path wants sent."""

import attrs

from redwingstream.packets.envelopes import Envelope, pack_envelope
from redwingstream.packets.flow import Address


@attrs.define
class ToPeer:
    """A datagram for a process of the system."""

    payload: bytes
    target: Address


@attrs.define
class ToCaller:
    """A packet for a caller."""

    payload: bytes
    caller: Address


@attrs.define
class ToServer:
    """A packet for the server beside this agent."""

    payload: bytes


Outgoing = ToPeer | ToCaller | ToServer


def peer_datagram(envelope: Envelope, target: Address) -> ToPeer:
    """Return the datagram that carries an envelope."""
    return ToPeer(pack_envelope(envelope), target)
