"""A minimal packet format and its codec, for tests."""

import struct

import attrs

from redwingstream.errors import WireError
from redwingstream.packets.flow import Address, Head

_HEAD = struct.Struct('>QQIIIHB')

_ADDRESS_BITS = 48

OPENING = 1
ACCEPTING = 2
END = 4
RESET = 8
RETURNED = 16


@attrs.frozen
class Packet:
    """A packet of a test."""

    source: Address
    target: Address
    sequence: int = 0
    acknowledged: int = 0
    ticket: int = 0
    size: int = 0
    flags: int = 0

    def pack(self) -> bytes:
        """Return the encoded packet."""
        return _HEAD.pack(*attrs.astuple(self)) + bytes(self.size)

    @classmethod
    def unpack(cls, packed: bytes) -> 'Packet':
        """Decode a packet."""
        return cls(*_HEAD.unpack_from(packed))


class PlainCodec:
    """Reads and writes the packets of tests."""

    def read(self, packet: bytes) -> Head:
        """Return the header of a packet."""
        if len(packet) < _HEAD.size:
            raise WireError(f'packet of {len(packet)} bytes has no header')
        read = Packet.unpack(packet)
        if max(read.source, read.target) >> _ADDRESS_BITS:
            raise WireError('an address has more than 48 bits')
        return Head(
            read.source,
            read.target,
            read.sequence,
            read.acknowledged,
            read.ticket,
            read.size,
            bool(read.flags & OPENING),
            bool(read.flags & ACCEPTING),
            bool(read.flags & END),
            bool(read.flags & RESET),
            bool(read.flags & RETURNED),
        )

    def head_only(self, packet: bytes) -> bytes:
        """Return a packet without its data."""
        return packet[: _HEAD.size]

    def with_ticket(self, packet: bytes, ticket: int) -> bytes:
        """Return the packet with a ticket."""
        read = Packet.unpack(packet)
        return attrs.evolve(read, ticket=ticket).pack()

    def reset_for(self, head: Head) -> bytes:
        """Return a reset in answer to a caller's packet."""
        return Packet(
            head.target, head.source, head.acknowledged, flags=RESET
        ).pack()
