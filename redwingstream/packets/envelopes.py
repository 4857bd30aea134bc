"""What balancers and agents send each other around a packet.

A fixed head of struct fields and the packet as it came.  The packet path reads
and writes one of these for each packet, and a msgpack message of these fields
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
"""Seconds in which an envelope names an expected wait."""

NO_OFFER = 255
"""Stands for no wait at all that an agent would offer."""


class Kind(enum.IntEnum):
    """What an envelope is about.

    ``OPENING`` and ``ONGOING`` carry a caller's packet.  ``CARRIED`` says that
    the agent ``best`` carries the packet's flow, ``PASSED`` that the opening
    packet was passed on to it, ``NOT_CARRIED`` that none of the visited agents
    carries the flow.  ``LOOKUP`` carries a packet like ``ONGOING``, but its
    receiver does not pass it on: it answers ``home`` with ``NOT_CARRIED`` when
    it does not carry the flow.  ``PING`` asks for a ``PONG``.
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

# Places of the fields in the head, after the magic number.
_KIND = 1
_HOPS = 2
_OFFER = 3
_POOL = 4
_REVISION = 5
_ORIGIN = 6
_HOME = 7
_BEST = 8
_COUNT = 9


# Not frozen, which takes half the time: one is made for each packet.
@attrs.define
class Envelope:
    """A packet on its way between processes of the system, or a word on one.

    Parameters
    ----------
    kind : Kind
        What it is about.
    packet : bytes
        The packet, or its header where only the flow matters.
    origin : Address
        The balancer that took the packet from the fabric.
    home : Address
        The agent that the balancer chose, which remembers where flows are
        that it handed to others.
    pool : int
        Hash of the pool's name; an agent of another pool refuses.
    revision : int
        Revision of the tables by which the pool was chosen.
    hops : int
        Agents that passed the packet on before.
    offer : int
        Expected wait of an opening packet at ``best``, see ``OFFER_UNIT``.
    best : Address
        Agent with the shortest wait so far; none when no agent would let the
        packet wait.
    visited : tuple of Address
        Agents that have looked at the packet, and those that the balancer
        takes for lost.
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
    """Read an envelope.

    Raises
    ------
    WireError
        When the datagram is none.
    """
    if len(datagram) < _HEAD.size or datagram[0] != MAGIC:
        raise WireError(f'datagram of {len(datagram)} bytes is no envelope')
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
