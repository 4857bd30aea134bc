"""What a packet's header says, and the reader that an interface provides."""

from typing import NewType, Protocol

import attrs

Address = NewType('Address', int)
"""An IPv4 address and a port in one number: ``host << 16 | port``."""

FlowId = NewType('FlowId', int)
"""Caller and service address of a flow in one number."""

NO_ADDRESS = Address(0)

_PORT_BITS = 16
_PORT_MASK = 0xFFFF
_ADDRESS_BITS = 48
_ADDRESS_MASK = (1 << _ADDRESS_BITS) - 1
_OCTET_BITS = 8
_OCTET_MASK = 0xFF
_OCTET_SHIFTS = (24, 16, 8, 0)


def address_of(host: str, port: int) -> Address:
    """Return the number that stands for an IPv4 address and a port."""
    number = 0
    for octet in host.split('.'):
        number = number << _OCTET_BITS | int(octet)
    return Address(number << _PORT_BITS | port)


def host_of(address: Address) -> str:
    """Return the IPv4 address in its usual text form."""
    host = address >> _PORT_BITS
    return '.'.join(str(host >> shift & _OCTET_MASK) for shift in _OCTET_SHIFTS)


def port_of(address: Address) -> int:
    """Return the port of an address."""
    return address & _PORT_MASK


def pair_of(address: Address) -> tuple[str, int]:
    """Return the form that the socket calls take."""
    return (host_of(address), port_of(address))


def text_of(address: Address) -> str:
    """Return ``host:port``."""
    return f'{host_of(address)}:{port_of(address)}'


def flow_of(caller: Address, service: Address) -> FlowId:
    """Return the number that stands for a flow."""
    return FlowId(caller << _ADDRESS_BITS | service)


def caller_of(flow: FlowId) -> Address:
    """Return the caller's end of a flow."""
    return Address(flow >> _ADDRESS_BITS)


def service_of(flow: FlowId) -> Address:
    """Return the service's end of a flow."""
    return Address(flow & _ADDRESS_MASK)


def flow_text(flow: FlowId) -> str:
    """Return the flow as logs and operators name it: ``caller>service``."""
    return f'{text_of(caller_of(flow))}>{text_of(service_of(flow))}'


# Not frozen, since one is made for each packet; see Envelope.
@attrs.define
class Head:
    """The header of a packet, as far as forwarding depends on it.

    Parameters
    ----------
    source, target : Address
        Who sent the packet, and to whom.
    sequence, acknowledged : int
        The sender's position, and how far it has received.  In an opening
        packet ``acknowledged`` counts the copies sent before this one.
    ticket : int
        A number that the server hands back with a packet it does not take.
    size : int
        Bytes of data.
    is_opening : bool
        True for the first packet of a flow, from the caller.
    is_accepting : bool
        True for the server's answer to an opening packet.
    is_end : bool
        True when the sender sends no more.
    is_reset : bool
        True when the sender has given the flow up.
    is_returned : bool
        True when the server hands back a packet that it does not take.
    """

    source: Address
    target: Address
    sequence: int
    acknowledged: int
    ticket: int
    size: int
    is_opening: bool
    is_accepting: bool
    is_end: bool
    is_reset: bool
    is_returned: bool

    @property
    def inbound(self) -> FlowId:
        """The flow, when the caller sent this packet."""
        return FlowId(self.source << _ADDRESS_BITS | self.target)

    @property
    def outbound(self) -> FlowId:
        """The flow, when the server sent this packet."""
        return FlowId(self.target << _ADDRESS_BITS | self.source)


class PacketCodec(Protocol):
    """Reads and writes the headers of one packet format.

    Notes
    -----
    Only the two ends of a flow may change a packet's contents, so there is no
    way to write a header field but the ticket.
    """

    def read(self, packet: bytes) -> Head:
        """Return the header; raise ``WireError`` when it is none."""

    def head_only(self, packet: bytes) -> bytes:
        """Return a packet without its data; :meth:`read` takes it."""

    def with_ticket(self, packet: bytes, ticket: int) -> bytes:
        """Return the packet with a ticket, and not marked as returned."""

    def reset_for(self, head: Head) -> bytes:
        """Return a reset that answers a caller's packet."""
