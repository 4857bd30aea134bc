"""Encoding of the messages that balancers and agents exchange about packets.

An envelope is a header of fixed struct fields and the unchanged packet.  One is
encoded and decoded for each packet, and a msgpack message of the same fields
takes three times as long.

Layout, big-endian: magic (1 byte), kind (1), hops (1), offer (1), pool (4),
revision (8), origin (6), home (6), best (6), number of visited agents (2),
the visited agents (6 each), the packet.
"""

import enum
import struct
from types import MappingProxyType

import attrs

from redwingstream.errors import WireError
from redwingstream.packets.flow import NO_ADDRESS, Address

MAGIC = 0x53
MAX_VISITED = 1024
"""Maximum number of visited agents in an envelope; a larger pool is not
searched."""

MAX_HOPS = 255
"""Maximum hop count; the field is one byte."""

OFFER_UNIT = 0.005
"""Unit in seconds of the expected wait in an envelope."""

NO_OFFER = 255
"""Value of ``offer`` that means that no agent would let the flow wait."""


class Kind(enum.IntEnum):
    """Kind of an envelope.

    ``OPENING`` and ``ONGOING`` contain a caller's packet.  ``CARRIED`` says
    that the agent ``best`` carries the packet's flow, ``PASSED`` that the
    opening packet was passed on to it, ``NOT_CARRIED`` that none of the visited
    agents carries the flow.  ``LOOKUP`` contains a packet like ``ONGOING``, but
    its receiver does not pass it on: it answers ``home`` with ``NOT_CARRIED``
    if it does not carry the flow.  ``PING`` is answered by ``PONG``.
    """

    OPENING = 1
    ONGOING = 2
    CARRIED = 3
    NOT_CARRIED = 4
    PING = 5
    PONG = 6
    PASSED = 7
    LOOKUP = 8


_KIND_BY_NUMBER = MappingProxyType({int(kind): kind for kind in Kind})

_HEAD = struct.Struct('>BBBBIQ6s6s6sH')
_ADDRESS_SIZE = 6

# Indexes of the fields in the header, after the magic number.
_KIND = 1
_HOPS = 2
_OFFER = 3
_POOL = 4
_REVISION = 5
_ORIGIN = 6
_HOME = 7
_BEST = 8
_COUNT = 9


# Not frozen, which halves the time to create one: each packet needs one.
@attrs.define
class Envelope:
    """A packet between balancers and agents, or a message about its flow.

    Parameters
    ----------
    kind : Kind
        Kind of the envelope.
    packet : bytes
        The packet, or only its header in a message about its flow.
    origin : Address
        Balancer that received the packet from the fabric.
    home : Address
        Agent that the balancer selected, which remembers the carriers of flows
        that it passed on.  In a lookup, the agent that receives the answers.
    pool : int
        Hash of the pool's name; an agent of another pool refuses the flow.
    revision : int
        Revision of the tables by which the pool was selected.
    hops : int
        Number of agents that have passed the packet on.
    offer : int
        Expected wait of an opening packet at ``best``, in ``OFFER_UNIT``.
    best : Address
        Agent with the shortest expected wait so far, or ``NO_ADDRESS`` if no
        agent would let the flow wait.  In ``CARRIED`` and ``PASSED``, the agent
        that carries the flow or received it.
    visited : tuple of Address
        Agents that have already handled the packet, and agents that the
        balancer doubts.
    """

    kind: Kind
    packet: bytes
    origin: Address = NO_ADDRESS
    home: Address = NO_ADDRESS
    pool: int = 0
    revision: int = 0
    hops: int = 0
    offer: int = NO_OFFER
    best: Address = NO_ADDRESS
    visited: tuple[Address, ...] = ()


def pack_envelope(envelope: Envelope) -> bytes:
    """Return an envelope as one datagram."""
    visited = envelope.visited[:MAX_VISITED]
    head = _HEAD.pack(
        MAGIC,
        envelope.kind,
        envelope.hops,
        envelope.offer,
        envelope.pool,
        envelope.revision,
        envelope.origin.to_bytes(_ADDRESS_SIZE),
        envelope.home.to_bytes(_ADDRESS_SIZE),
        envelope.best.to_bytes(_ADDRESS_SIZE),
        len(visited),
    )
    if not visited:
        return head + envelope.packet
    addresses = [address.to_bytes(_ADDRESS_SIZE) for address in visited]
    return b''.join((head, *addresses, envelope.packet))


def unpack_envelope(datagram: bytes) -> Envelope:
    """Decode an envelope.

    Raises
    ------
    WireError
        If the datagram is not a valid envelope.
    """
    if len(datagram) < _HEAD.size or datagram[0] != MAGIC:
        raise WireError(f'datagram of {len(datagram)} bytes is not an envelope')
    raw = _HEAD.unpack_from(datagram)
    kind, count = _KIND_BY_NUMBER.get(raw[_KIND]), raw[_COUNT]
    start = _HEAD.size + count * _ADDRESS_SIZE
    if kind is None or count > MAX_VISITED or len(datagram) < start:
        raise WireError(
            f'envelope of kind {raw[_KIND]} with {count} visited agents '
            f'and {len(datagram)} bytes cannot be read',
        )
    return Envelope(
        kind,
        datagram[start:],
        _address(raw[_ORIGIN]),
        _address(raw[_HOME]),
        raw[_POOL],
        raw[_REVISION],
        raw[_HOPS],
        raw[_OFFER],
        _address(raw[_BEST]),
        _visited(datagram, count) if count else (),
    )


def _address(packed: bytes) -> Address:
    return Address(int.from_bytes(packed))


def _visited(datagram: bytes, count: int) -> tuple[Address, ...]:
    starts = range(
        _HEAD.size, _HEAD.size + count * _ADDRESS_SIZE, _ADDRESS_SIZE
    )
    return tuple(
        _address(datagram[start : start + _ADDRESS_SIZE]) for start in starts
    )
