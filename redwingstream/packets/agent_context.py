"""Where an agent is, and what its decisions share."""

from collections.abc import Callable
from typing import Any

import attrs

from redwingstream.directory.view import Agent, AgentView
from redwingstream.openings.wait_estimate import longest_wait
from redwingstream.openings.gate import Gate, Load
from redwingstream.packets.effects import ToPeer, peer_datagram
from redwingstream.packets.envelopes import (
    NO_OFFER,
    OFFER_UNIT,
    Envelope,
    Kind,
)
from redwingstream.packets.flow import (
    NO_ADDRESS,
    Address,
    Head,
    PacketCodec,
)
from redwingstream.packets.agent_flows import AgentFlows
from redwingstream.packets.refusing import Refusing
from redwingstream.packets.waiting import WaitingRoom
from redwingstream.telemetry.histogram import Histogram


@attrs.frozen
class AgentLocation:
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
class AgentPacketCounters:
    """What passed an agent's packet path since the start."""

    packets_in: int = 0
    packets_out: int = 0
    opened: int = 0
    accepted: int = 0
    passed_on: int = 0
    held: int = 0
    handed_back: int = 0
    found: int = 0
    not_found: int = 0
    lost: int = 0
    malformed: int = 0
    foreign: int = 0


@attrs.define
class AgentContext:
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
    waiting : WaitingRoom
        New flows that wait for the server.
    counters : CarryingCounters
        What passed since the start.
    opening_seconds : Histogram
        From opening packets to the server's first data.
    timeout_by_service : dict
        Seconds after which callers of a service give a request up.
    refusing : Refusing
        Ends packets that cannot be forwarded.
    """

    location: AgentLocation
    codec: PacketCodec
    gate: Gate
    view: AgentView
    flows: AgentFlows
    log: Callable[[Any], None]
    waiting: WaitingRoom = attrs.field(factory=WaitingRoom)
    counters: AgentPacketCounters = attrs.field(factory=AgentPacketCounters)
    opening_seconds: Histogram = attrs.field(factory=Histogram)
    timeout_by_service: dict[Address, float] = attrs.field(factory=dict)
    refusals: Refusing = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make what ends packets that cannot be forwarded."""
        self.refusals = Refusing(self.codec, self.log)

    def load(self) -> Load:
        """Return what the server has to do."""
        return Load(self.flows.waiting, self.flows.count, len(self.waiting))

    def longest_wait(self, head: Head, now: float) -> float:
        """Return the seconds that a new flow may wait."""
        timeout = self.timeout_by_service.get(head.target, 0)
        is_cold = self.gate.is_cold(now)
        return longest_wait(head.acknowledged, timeout, is_cold=is_cold)

    def offer(self, head: Head, now: float) -> int:
        """Return how soon the server would take a new flow.

        Returns
        -------
        int
            As an envelope names it; ``NO_OFFER`` when not soon enough.
        """
        wait = self.gate.expected_wait(self.load(), now)
        if self.waiting.is_full or wait > self.longest_wait(head, now):
            return NO_OFFER
        return round(wait / OFFER_UNIT)

    def peers(self) -> list[Agent]:
        """Return the other agents of the pool."""
        own = self.location.address
        return [
            agent
            for agent in self.view.agents_in_pool(self.location.pool)
            if agent.address != own and not agent.readiness.is_gone
        ]

    def announce(self, envelope: Envelope) -> list[ToPeer]:
        """Tell balancer and home of an envelope that its flow is here."""
        own = self.location.address
        word = Envelope(
            Kind.CARRIED,
            self.codec.head_only(envelope.packet),
            envelope.origin,
            envelope.home,
            best=own,
        )
        targets = {envelope.origin, envelope.home} - {own, NO_ADDRESS}
        return [peer_datagram(word, target) for target in sorted(targets)]
