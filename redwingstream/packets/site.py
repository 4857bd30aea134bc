"""Where an agent is, and what its decisions share."""

from collections.abc import Callable
from typing import Any

import attrs

from redwingstream.directory.messages import Readiness
from redwingstream.directory.view import Agent, AgentView
from redwingstream.openings.gate import Gate
from redwingstream.packets.effects import ToPeer
from redwingstream.packets.envelopes import (
    MAX_LOAD,
    Envelope,
    Kind,
    pack_envelope,
)
from redwingstream.packets.flow import NO_ADDRESS, Address, PacketCodec
from redwingstream.packets.flowbook import FlowBook

_LOAD_UNIT = 16


@attrs.frozen
class Place:
    """Where an agent is.

    Parameters
    ----------
    address : Address
        Where it takes packets from other processes.
    zone, pool : str
        Its availability zone and its server's pool.
    """

    address: Address
    zone: str
    pool: str


@attrs.define
class CarryingCounters:
    """What passed an agent's packet path since the start."""

    packets_in: int = 0
    packets_out: int = 0
    opened: int = 0
    accepted: int = 0
    passed_on: int = 0
    refused: int = 0
    dropped: int = 0
    handed_back: int = 0
    found: int = 0
    not_found: int = 0
    lost: int = 0
    malformed: int = 0
    foreign: int = 0


@attrs.define
class Site:
    """What an agent's decisions share.

    Parameters
    ----------
    place : Place
        Where the agent is.
    codec : PacketCodec
        Reads packets.
    gate : Gate
        Decides on new flows.
    view : AgentView
        The other agents of the pool.
    flows : FlowBook
        The flows that it knows.
    log : callable
        Takes events.
    revision : int
        Revision of the tables that it goes by.
    counters : CarryingCounters
        What passed since the start.
    """

    place: Place
    codec: PacketCodec
    gate: Gate
    view: AgentView
    flows: FlowBook
    log: Callable[[Any], None]
    revision: int = 0
    counters: CarryingCounters = attrs.field(factory=CarryingCounters)

    def own_load(self) -> int:
        """Return the server's load as an envelope names it."""
        load = self.flows.waiting * _LOAD_UNIT // self.gate.slots
        return min(MAX_LOAD, load)

    def peers(self) -> list[Agent]:
        """Return the other agents of the pool."""
        own = self.place.address
        return [
            agent
            for agent in self.view.of_pool(self.place.pool)
            if agent.address != own and agent.readiness is not Readiness.GONE
        ]

    def announce(self, envelope: Envelope) -> list[ToPeer]:
        """Tell balancer and home of an envelope that its flow is here."""
        own = self.place.address
        word = Envelope(
            Kind.CARRIED,
            self.codec.head_only(envelope.packet),
            envelope.origin,
            envelope.home,
            best=own,
        )
        targets = {envelope.origin, envelope.home} - {own, NO_ADDRESS}
        return [peer_datagram(word, target) for target in sorted(targets)]


def peer_datagram(envelope: Envelope, target: Address) -> ToPeer:
    """Return the datagram that carries an envelope."""
    return ToPeer(pack_envelope(envelope), target)
