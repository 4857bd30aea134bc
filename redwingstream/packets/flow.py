"""Addresses, flow identifiers, packet headers, and the packet codec interface.

The platform provides the codec of its packet format.
"""

from typing import NewType, Protocol

import attrs

Address = NewType('Address', int)
"""An IPv4 address and a port in one number: ``host << 16 | port``."""

FlowId = NewType('FlowId', int)
"""Address of the caller and address that it sends to, in one number."""

NO_ADDRESS = Address(0)

_PORT_BITS = 16
_PORT_MASK = 0xFFFF
_ADDRESS_BITS = 48
_ADDRESS_MASK = (1 << _ADDRESS_BITS) - 1
_OCTET_BITS = 8
_OCTET_MASK = 0xFF
_OCTET_SHIFTS = (24, 16, 8, 0)


def address_of(host: str, port: int) -> Address:
    """Return an IPv4 address and a port as one number."""
    number = 0
    for octet in host.split('.'):
        number = number << _OCTET_BITS | int(octet)
    return Address(number << _PORT_BITS | port)


def host_of(address: Address) -> str:
    """Return the IPv4 address in dotted decimal notation."""
    host = address >> _PORT_BITS
    return '.'.join(str(host >> shift & _OCTET_MASK) for shift in _OCTET_SHIFTS)


def host_number(address: Address) -> int:
    """Return the IPv4 address as a number, without the port."""
    return address >> _PORT_BITS


def port_of(address: Address) -> int:
    """Return the port of an address."""
    return address & _PORT_MASK


def pair_of(address: Address) -> tuple[str, int]:
    """Return host and port as expected by socket calls."""
    return (host_of(address), port_of(address))


def text_of(address: Address) -> str:
    """Return ``host:port``."""
    return f'{host_of(address)}:{port_of(address)}'


def flow_of(caller: Address, service: Address) -> FlowId:
    """Return the identifier of a flow."""
    return FlowId(caller << _ADDRESS_BITS | service)


def caller_of(flow: FlowId) -> Address:
    """Return the address of the caller."""
    return Address(flow >> _ADDRESS_BITS)


def service_of(flow: FlowId) -> Address:
    """Return the address that the caller sends to."""
    return Address(flow & _ADDRESS_MASK)


def flow_text(flow: FlowId) -> str:
    """Return the flow in the form used in logs: ``caller>service``."""
    return f'{text_of(caller_of(flow))}>{text_of(service_of(flow))}'


# Not frozen: one is created per packet, and frozen classes take twice as long
# to create; see Envelope.
@attrs.define
class Head:
    """Header fields of a packet that forwarding depends on.

    Parameters
    ----------
    source, target : Address
        Sender and receiver of the packet.
    sequence, acknowledged : int
        Sequence number of the packet, and the last one received by its sender.
        In an opening packet ``acknowledged`` is the number of packets that the
        caller has sent for this flow before, 0 for the first one.
    ticket : int
        Number that the server returns with a packet of a flow it does not hold.
    size : int
        Bytes of data.
    is_opening : bool
        True for the opening packet of a flow and its copies.
    is_accepting : bool
        True for the server's answer to an opening packet.
    is_end : bool
        True if the sender sends no more data.
    is_reset : bool
        True if the sender has aborted the flow.
    is_returned : bool
        True if the server returns a packet that it does not accept.
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
        """Flow of a packet sent by the caller."""
        return FlowId(self.source << _ADDRESS_BITS | self.target)

    @property
    def outbound(self) -> FlowId:
        """Flow of a packet sent by the server."""
        return FlowId(self.target << _ADDRESS_BITS | self.source)


class PacketCodec(Protocol):
    """Reads and writes the headers of one packet format.

    Notes
    -----
    Only caller and server may change the contents of a packet, so the ticket is
    the only header field that can be written.
    """

    def read(self, packet: bytes) -> Head:
        """Return the header; raise ``WireError`` if it is malformed."""

    def head_only(self, packet: bytes) -> bytes:
        """Return a packet without its data, still readable by :meth:`read`."""

    def with_ticket(self, packet: bytes, ticket: int) -> bytes:
        """Return the packet with a ticket and without the returned mark."""

    def reset_for(self, head: Head) -> bytes:
        """Return a reset in answer to a caller's packet."""
