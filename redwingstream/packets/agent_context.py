"""State shared by an agent's packet decisions."""

from collections.abc import Callable
from typing import Any

import attrs

from redwingstream.directory.view import Agent, AgentView
from redwingstream.openings.gate import Gate, Load
from redwingstream.openings.server_silence import ServerSilence
from redwingstream.openings.wait_limits import CallerLimits
from redwingstream.packets.agent_flows import AgentFlows, CarriedFlow
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
from redwingstream.packets.flow_identity import Identity
from redwingstream.packets.refusals import Refusals
from redwingstream.packets.request_load import record_request, record_upload
from redwingstream.packets.waiting_flows import WaitingFlow, WaitingFlows
from redwingstream.tables.rows import FlowKind, FlowRules
from redwingstream.telemetry.histogram import Histogram


@attrs.frozen
class AgentLocation:
    """Address, availability zone and pool of an agent.

    Parameters
    ----------
    address : Address
        Address at which the agent receives packets from other processes.
    zone, pool : str
        Its availability zone, and the pool of its server.
    """

    address: Address
    zone: str
    pool: str


@attrs.define
class AgentPacketCounters:
    """Counts of packets and flows handled by an agent since it started.

    Parameters
    ----------
    packets_in : int
        Envelopes received from balancers and agents.
    packets_out : int
        Packets received from the server.
    opened : int
        New flows given to the server.
    accepted : int
        New flows that the server has accepted.
    passed_on : int
        New flows passed on to another agent.
    held : int
        New flows that have waited for the server.
    handed_back : int
        Packets that the server has returned.
    denied : int
        Resets with which the server has answered packets of flows that it does
        not hold.
    probed : int
        Packets of unknown flows given to the server to find out whether it
        holds them.
    unasked : int
        Packets whose flows were denied without asking the server.
    found : int
        Flows found at this agent whose carrier was not known.
    not_found : int
        Lookups that did not find the carrier of a flow.
    lost : int
        Flows that the server has held and no longer holds.
    malformed : int
        Datagrams that could not be decoded.
    foreign : int
        New flows of another pool.
    """

    packets_in: int = 0
    packets_out: int = 0
    opened: int = 0
    accepted: int = 0
    passed_on: int = 0
    held: int = 0
    handed_back: int = 0
    denied: int = 0
    probed: int = 0
    unasked: int = 0
    found: int = 0
    not_found: int = 0
    lost: int = 0
    malformed: int = 0
    foreign: int = 0


@attrs.define
class AgentContext:
    """State shared by an agent's packet decisions.

    Parameters
    ----------
    location : AgentLocation
        Address, availability zone and pool of the agent.
    codec : PacketCodec
        Reads and writes packet headers.
    gate : Gate
        Decides whether the server is given a new flow.
    view : AgentView
        All known agents.
    flows : AgentFlows
        Flows of the server, and the carriers of other flows.
    log : callable
        Writes a log event.
    waiting : WaitingFlows
        New flows that wait for the server.
    counters : AgentPacketCounters
        Counts since the agent started.
    opening_seconds : Histogram
        Seconds from the opening packet to the server's first data.
    timeout_by_service : dict
        Seconds after which callers give up a request, by the address that they
        send to.
    target_by_service : dict
        Seconds within which a request is to be answered, by the same address.
    upload_services : frozenset of Address
        Addresses whose callers send uploads.
    silence : ServerSilence
        Whether the server sends anything.
    refusals : Refusals
        Refuses flows and drops packets that cannot be forwarded.
    """

    location: AgentLocation
    codec: PacketCodec
    gate: Gate
    view: AgentView
    flows: AgentFlows
    log: Callable[[Any], None]
    waiting: WaitingFlows = attrs.field(factory=WaitingFlows)
    counters: AgentPacketCounters = attrs.field(factory=AgentPacketCounters)
    opening_seconds: Histogram = attrs.field(factory=Histogram)
    timeout_by_service: dict[Address, float] = attrs.field(factory=dict)
    target_by_service: dict[Address, float] = attrs.field(factory=dict)
    upload_services: frozenset[Address] = frozenset()
    silence: ServerSilence = attrs.field(factory=ServerSilence)
    refusals: Refusals = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the refusals with the codec and log of this agent."""
        self.refusals = Refusals(self.codec, self.log)

    def apply_flow_rules(
        self, rules_by_service: dict[Address, FlowRules]
    ) -> None:
        """Apply the rules of the routes that the pool serves."""
        self.timeout_by_service = {
            service: rules.timeout
            for service, rules in rules_by_service.items()
        }
        self.target_by_service = {
            service: rules.target for service, rules in rules_by_service.items()
        }
        self.upload_services = frozenset(
            service
            for service, rules in rules_by_service.items()
            if rules.kind is FlowKind.UPLOAD
        )

    def load(self) -> Load:
        """Return the current load of the server."""
        return Load(self.flows.waiting, self.flows.count, len(self.waiting))

    def record_denial(
        self, head: Head, carried: CarriedFlow | None, now: float
    ) -> None:
        """Record the server's answer that it does not hold a packet's flow.

        Parameters
        ----------
        head : Head
            Header of the caller's packet.
        carried : CarriedFlow or None
            Entry of a flow from the same port.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        self.flows.coverage.record_denied(head, now)
        if carried is None:
            return
        if carried.identify(head) is Identity.SAME:
            self.flows.remove(carried)
        else:
            self.flows.stop_waiting(carried)

    def record_data(self, carried: CarriedFlow, head: Head, now: float) -> None:
        """Record a data packet of a caller that is given to the server."""
        if head.target in self.upload_services:
            record_upload(self.flows, carried, head, now)
        else:
            record_request(self.flows, carried, now)

    def caller_limits(self, head: Head) -> CallerLimits:
        """Return what the caller of an opening packet expects."""
        return CallerLimits(
            self.timeout_by_service.get(head.target, 0),
            self.target_by_service.get(head.target, 0),
        )

    def make_waiting_flow(
        self, envelope: Envelope, head: Head, now: float
    ) -> WaitingFlow:
        """Return a new flow that waits from now on."""
        limits = self.caller_limits(head)
        copies = head.acknowledged
        is_cold = self.gate.is_cold(now)
        return WaitingFlow(
            envelope,
            head,
            late_at=now + limits.late_after(copies),
            refuse_at=now + limits.longest_wait(copies, is_cold=is_cold),
        )

    def is_late(self, head: Head) -> bool:
        """Whether an opening packet can hardly be answered in time any more."""
        return self.caller_limits(head).late_after(head.acknowledged) < 0

    def offered_wait(self, head: Head, now: float) -> int:
        """Return the expected wait of a new flow at this agent.

        Returns
        -------
        int
            The wait in units of ``OFFER_UNIT``; ``NO_OFFER`` if the flow cannot
            wait here or would wait too long.

        Notes
        -----
        A new flow goes ahead of those that wait here, so they count for the
        comparison with other agents only.
        """
        load = self.load()
        acceptable = self.caller_limits(head).acceptable_wait(
            head.acknowledged, is_cold=self.gate.is_cold(now)
        )
        shortest = self.gate.expected_wait(load, now, is_first=True)
        if self.waiting.is_full or shortest > acceptable:
            return NO_OFFER
        wait = self.gate.expected_wait(load, now)
        return min(round(wait / OFFER_UNIT), NO_OFFER - 1)

    def peers(self) -> list[Agent]:
        """Return the other agents of the pool whose servers are not gone."""
        own = self.location.address
        return [
            agent
            for agent in self.view.agents_in_pool(self.location.pool)
            if agent.address != own and not agent.readiness.is_gone
        ]

    def notify_carried(self, envelope: Envelope) -> list[ToPeer]:
        """Notify balancer and home that the flow of an envelope is here."""
        own = self.location.address
        notice = Envelope(
            Kind.CARRIED,
            self.codec.head_only(envelope.packet),
            envelope.origin,
            envelope.home,
            best=own,
        )
        targets = {envelope.origin, envelope.home} - {own, NO_ADDRESS}
        return [peer_datagram(notice, target) for target in sorted(targets)]
