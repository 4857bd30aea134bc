"""Simulation of balancers, agents, servers and callers in virtual time.

The forwarding decisions are the real ones; sockets and clocks are simulated.  A
simulated server holds flows, returns packets of flows that it does not hold,
and answers each request after a fixed time, a fixed number of them at once.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

import attrs

from redwingstream.directory.messages import Readiness
from redwingstream.directory.view import Agent, AgentView
from redwingstream.links.upload_link import UploadLink
from redwingstream.openings.cold_limit import ColdLimit
from redwingstream.openings.gate import Gate, PoolRules
from redwingstream.openings.reports import ServerReport
from redwingstream.packets.agent_context import AgentContext, AgentLocation
from redwingstream.packets.agent_flows import LATE_PACKET_SECONDS, AgentFlows
from redwingstream.packets.agent_forwarder import AgentForwarder
from redwingstream.packets.balancer_forwarder import BalancerForwarder
from redwingstream.packets.effects import (
    BulkToPeer,
    Outgoing,
    ToCaller,
    ToPeer,
    ToServer,
)
from redwingstream.packets.envelopes import unpack_envelope
from redwingstream.packets.flow import Address, address_of
from redwingstream.packets.tests.codec import (
    ACCEPTING,
    OPENING,
    RESET,
    RETURNED,
    Packet,
    PlainCodec,
)
from redwingstream.tables.rows import Generation, Pool, Route, ZoneMark
from redwingstream.tables.snapshot import Tables

POOL = 'feed'
SERVICE = address_of('198.18.0.1', 443)
ROUTE = Route('198.18.0.1:443', POOL)
HOP = 0.001  # seconds from one process to another
IDLE_TIMEOUT = 15.0
# Seconds after which an agent that has started knows all flows of its server.
KNOWN_AFTER = IDLE_TIMEOUT + LATE_PACKET_SECONDS
REPORT_INTERVAL = 1.2  # seconds between two reports of a server
# Seconds after the first packet at which a caller sends copies, and after which
# it gives up.
COPIES_AFTER = (0.2, 0.6)
CALLER_TIMEOUT = 1.4
TICK = 0.02  # seconds between two runs of the periodic work
CONTROL = address_of('10.9.0.1', 7720)
CONTROL_INTERVAL = 0.4  # seconds between two answers of control
CODEC = PlainCodec()


@attrs.define
class Server:
    """A simulated backend server.

    Parameters
    ----------
    node : AgentNode
        The agent beside the server.
    slots : int
        Number of requests that it processes at once.
    run_seconds : float
        Seconds for which it processes a request.
    alive : bool
        False if it ignores all packets.
    refuses : bool
        True if it returns opening packets.
    resets_unknown : bool
        True if it answers data of a flow that it does not hold with a reset
        instead of returning it.
    fails : callable
        Returns True if the next answer is to be a reset.
    sequence : int
        Sequence number of the last accepted flow.
    sequence_by_flow : dict
        Sequence numbers of all accepted flows.
    open_flows : set
        Flows on which a packet of the caller has arrived.
    opened_at : list of float
        Time of each opening packet that was not a copy.
    taken : list of Packet
        Packets received on open flows.
    running : int
        Number of requests in progress.
    queue : list of Packet
        Requests that wait for a slot.
    """

    node: 'AgentNode'
    slots: int = 2
    run_seconds: float = 0.04
    alive: bool = True
    refuses: bool = False
    resets_unknown: bool = False
    fails: Callable[[], bool] = bool
    sequence: int = 100
    sequence_by_flow: dict[tuple[Address, Address], int] = attrs.field(
        factory=dict
    )
    open_flows: set[tuple[Address, Address]] = attrs.field(factory=set)
    opened_at: list[float] = attrs.field(factory=list)
    taken: list[Packet] = attrs.field(factory=list)
    running: int = 0
    queue: list[Packet] = attrs.field(factory=list)

    def handle_packet(self, packed: bytes) -> None:
        """Handle a packet from the agent."""
        if not self.alive:
            return
        packet = Packet.unpack(packed)
        key = (packet.source, packet.target)
        if packet.flags & OPENING:
            self._open(packet, key)
        elif self.sequence_by_flow.get(key) != packet.acknowledged:
            self._deny(packet)
        else:
            self.open_flows.add(key)
            self.taken.append(packet)
            if packet.size:
                self.queue.append(packet)
                self._work()

    def restart(self) -> None:
        """Drop all flows and requests."""
        self.sequence_by_flow.clear()
        self.open_flows.clear()
        self.queue.clear()
        self.running = 0

    def _open(self, packet: Packet, key: tuple[Address, Address]) -> None:
        if self.refuses:
            self._send(attrs.evolve(packet, flags=OPENING | RETURNED))
            return
        if key not in self.sequence_by_flow:
            self.sequence += 1
            self.sequence_by_flow[key] = self.sequence
            self.opened_at.append(self.node.network.now)
        self._send(
            Packet(
                packet.target,
                packet.source,
                self.sequence_by_flow[key],
                packet.sequence,
                flags=ACCEPTING,
            ),
        )

    def _deny(self, packet: Packet) -> None:
        if self.resets_unknown and packet.size:
            reset = Packet(
                packet.target,
                packet.source,
                packet.acknowledged,
                packet.sequence,
                flags=RESET,
            )
            self._send(reset)
        else:
            self._send(attrs.evolve(packet, flags=packet.flags | RETURNED))

    def _work(self) -> None:
        while self.queue and self.running < self.slots:
            request = self.queue.pop(0)
            self.running += 1
            self.node.network.call_later(
                self.run_seconds, lambda: self._end(request)
            )

    def _end(self, request: Packet) -> None:
        self.running = max(0, self.running - 1)
        answer = Packet(request.target, request.source, 1, size=4)
        if self.fails():
            answer = attrs.evolve(answer, size=0, flags=RESET)
        self._send(answer)
        self._work()

    def _send(self, packet: Packet) -> None:
        network = self.node.network
        network.call_later(
            HOP / 10, lambda: self.node.handle_server_packet(packet)
        )


class AgentNode:
    """A simulated agent and the server beside it.

    Attributes
    ----------
    alive : bool
        False if the agent is stopped.
    is_not_reporting : bool
        True if its server sends no periodic reports.
    """

    def __init__(
        self, network: 'Network', host: str, zone: str, pool: str
    ) -> None:
        self.network = network
        self.zone = zone
        self.pool = pool
        self.address = address_of(host, 8172)
        self.alive = True
        self.server = Server(self)
        self.view = AgentView()
        self.sequence = 0
        self.reported_at = 0.0
        self.readiness = Readiness.READY
        self.cold_until = 0.0
        self.is_not_reporting = False
        self.start()
        self.context.flows.coverage.is_server_newer = True

    def start(self, started_at: float = float('inf')) -> None:
        """Start, or restart without any state."""
        self.gate = Gate(ColdLimit(1.5, 5), REPORT_INTERVAL, self.network.now)
        self.gate.rules = PoolRules()
        self.context = AgentContext(
            AgentLocation(self.address, self.zone, self.pool),
            CODEC,
            self.gate,
            self.view,
            AgentFlows(IDLE_TIMEOUT),
            self.network.events.append,
        )
        self.forwarder = AgentForwarder(self.context, started_at)

    def report(
        self,
        readiness: Readiness | None = None,
        cold_for: float | None = None,
        born: int = 1,
    ) -> None:
        """Send a report of the server, changed by the given values."""
        now = self.network.now
        self.sequence += 1
        self.reported_at = now
        self.readiness = self.readiness if readiness is None else readiness
        if cold_for is not None:
            self.cold_until = now + cold_for
        self.gate.handle_report(
            ServerReport(
                'i-1',
                born,
                self.sequence,
                self.pool,
                self.readiness,
                max(0, self.cold_until - now),
                self.server.slots,
            ),
            self.network.now,
        )

    def mark_server_ended(self) -> None:
        """Let the agent find that its server's port refuses connections."""
        now = self.network.now
        self.gate.state.mark_ended()
        self.context.flows.coverage.record_server_absent(now)
        self.context.flows.forget_opened_before(now, now)

    def receive(self, payload: bytes, source: Address) -> None:
        """Handle a datagram of another process."""
        if self.alive:
            envelope = unpack_envelope(payload)
            self._send_all(
                self.forwarder.handle_envelope(
                    envelope, source, self.network.now
                )
            )

    def handle_server_packet(self, packet: Packet) -> None:
        """Handle a packet of the server."""
        if self.alive:
            self._send_all(
                self.forwarder.handle_server_packet(
                    packet.pack(), self.network.now
                )
            )

    def tick(self) -> None:
        """Run the periodic work."""
        overdue = self.network.now - self.reported_at >= REPORT_INTERVAL
        if overdue and self.alive and not self.is_not_reporting:
            self.report()
        if self.alive:
            self._send_all(self.forwarder.process_waiting(self.network.now))
            self._send_all(self.forwarder.tick(self.network.now))

    def _send_all(self, outgoing: list[Outgoing]) -> None:
        self.network.send_all(self.address, outgoing, self.server)


class BalancerNode:
    """A simulated balancer.

    Attributes
    ----------
    alive : bool
        False if the balancer is stopped.
    polls_control : bool
        True if it receives answers of the control instance.
    control_has_leader : bool
        True if these answers confirm the tables.
    control_has_heard_all : bool
        True if the control instance has received records of all agents.
    link : UploadLink or None
        Link of its instance; takes effect when it starts.
    """

    def __init__(self, network: 'Network', host: str, zone: str) -> None:
        self.network = network
        self.zone = zone
        self.address = address_of(host, 7721)
        self.alive = True
        self.view = AgentView()
        self.polls_control = False
        self.control_has_leader = True
        self.control_has_heard_all = True
        self.link: UploadLink | None = None
        self._heard_at = float('-inf')
        self.start()

    def start(self) -> None:
        """Start, or restart without any state."""
        self.forwarder = BalancerForwarder(
            self.address,
            self.zone,
            CODEC,
            self.view,
            self.network.events.append,
            IDLE_TIMEOUT,
            self.link,
        )
        self.apply_tables(self.network.tables)

    def apply_tables(self, tables: Tables) -> None:
        """Apply tables, as confirmed now."""
        self.forwarder.routes.confirmed_at = self.network.now
        routes = {
            _parse_address(route.service): route
            for route in tables.route_by_key.values()
        }
        self.forwarder.apply_tables(tables, routes)

    def handle_packet(self, packet: Packet) -> None:
        """Handle a caller's packet."""
        if self.alive:
            outgoing = self.forwarder.handle_packet(
                packet.pack(), self.network.now
            )
            self.network.send_all(self.address, outgoing)

    def receive(self, payload: bytes, source: Address) -> None:
        """Handle a datagram of another process."""
        if self.alive:
            outgoing = self.forwarder.handle_envelope(
                unpack_envelope(payload), source, self.network.now
            )
            self.network.send_all(self.address, outgoing)

    def tick(self) -> None:
        """Run the periodic work."""
        if self.alive:
            self._poll_control()
            outgoing = self.forwarder.tick(self.network.now)
            self.network.send_all(self.address, outgoing)

    def _poll_control(self) -> None:
        now = self.network.now
        if self.polls_control and now >= self._heard_at + CONTROL_INTERVAL:
            self._heard_at = now
            self.view.handle_records(CONTROL, 1, (), now)
            if self.control_has_leader:
                self.forwarder.routes.confirmed_at = now
            self.view.is_complete = self.control_has_heard_all
            outgoing = self.forwarder.reset_dead_flows(now)
            self.network.send_all(self.address, outgoing)


class Caller:
    """A simulated caller with one flow.

    Attributes
    ----------
    accepted : int or None
        Sequence number with which a server has accepted the flow.
    resets, answers : int
        Number of resets and of answers received.
    began_at, accepted_at, reset_at : float or None
        Time in seconds of the first packet, of the acceptance and of the last
        reset.
    request_balancer : BalancerNode or None
        Balancer that is sent a request once the flow is accepted.
    """

    def __init__(self, network: 'Network', host: str, port: int) -> None:
        self.network = network
        self.address = address_of(host, port)
        self.accepted: int | None = None
        self.resets = 0
        self.answers = 0
        self.began_at = 0.0
        self.accepted_at: float | None = None
        self.reset_at: float | None = None
        self.request_balancer: BalancerNode | None = None

    def open(self, balancer: BalancerNode) -> 'Caller':
        """Send the opening packet, and its copies while there is no answer.

        Once the flow is accepted, the caller sends a request.
        """
        self.began_at = self.network.now
        self.request_balancer = balancer
        self.network.caller_by_address[self.address] = self
        self._send_opening(balancer, 0)
        for number, after in enumerate(COPIES_AFTER, start=1):
            self.network.call_later(
                after, lambda copy=number: self._copy(balancer, copy)
            )
        return self

    def ask(self, balancer: BalancerNode, size: int = 4) -> None:
        """Send a request on the open flow."""
        assert self.accepted is not None
        balancer.handle_packet(
            Packet(self.address, SERVICE, 1, self.accepted, size=size),
        )

    def handle_packet(self, packet: Packet) -> None:
        """Handle a packet."""
        if packet.flags & RESET:
            self.resets += 1
            self.reset_at = self.network.now
        elif packet.flags & ACCEPTING:
            if self.accepted is None and not self.resets:
                self.accepted = packet.sequence
                self.accepted_at = self.network.now
                if self.request_balancer is not None:
                    self.ask(self.request_balancer)
        elif packet.size:
            self.answers += 1

    @property
    def waited(self) -> float:
        """Seconds until the flow was accepted."""
        assert self.accepted_at is not None
        return self.accepted_at - self.began_at

    def _copy(self, balancer: BalancerNode, number: int) -> None:
        if self.accepted is None and not self.resets:
            self._send_opening(balancer, number)

    def _send_opening(self, balancer: BalancerNode, number: int) -> None:
        balancer.handle_packet(
            Packet(self.address, SERVICE, 1, number, flags=OPENING)
        )


class Network:
    """All simulated processes, and the queue of due actions.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    events : list
        Log events of all processes.
    is_lost : callable
        Whether a datagram from one address to another is lost.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[Any] = []
        self.tables = Tables(
            1,
            {ROUTE.key: ROUTE},
            {POOL: Pool(POOL, ('*',))},
            generation_by_key={'generation': Generation(1, IDLE_TIMEOUT)},
        )
        self.agent_by_address: dict[Address, AgentNode] = {}
        self.balancers: list[BalancerNode] = []
        self.caller_by_address: dict[Address, Caller] = {}
        self.is_lost: Callable[[Address, Address], bool] = _is_never_lost
        self._order = itertools.count()
        self._next_tick = TICK
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def agents(self) -> list[AgentNode]:
        """All agents."""
        return list(self.agent_by_address.values())

    def add_agent(
        self, host: str, zone: str = 'north', pool: str = POOL
    ) -> AgentNode:
        """Add an agent whose server has reported."""
        agent = AgentNode(self, host, zone, pool)
        self.agent_by_address[agent.address] = agent
        agent.report()
        self.publish_agents()
        return agent

    def add_balancer(self, host: str, zone: str = 'north') -> BalancerNode:
        """Add a balancer."""
        balancer = BalancerNode(self, host, zone)
        self.balancers.append(balancer)
        self.publish_agents()
        return balancer

    def publish_agents(self) -> None:
        """Update the views of all agents and balancers."""
        known = {
            agent.address: Agent(
                agent.address,
                agent.zone,
                agent.pool,
                agent.gate.state.readiness,
                agent.gate.is_cold(self.now),
                is_silent=False,
            )
            for agent in self.agents
        }
        for node in (*self.agents, *self.balancers):
            node.view.replace_all(known.values())

    def mark_zone(self, zone: str, *, out: bool) -> None:
        """Mark a zone as out or back in at all agents and balancers."""
        marks = {zone: ZoneMark(zone, out)}
        self.tables = attrs.evolve(
            self.tables,
            revision=self.tables.revision + 1,
            zone_by_name={**self.tables.zone_by_name, **marks},
        )
        for balancer in self.balancers:
            balancer.apply_tables(self.tables)
        for agent in self.agents:
            agent.gate.rules = PoolRules.from_tables(
                self.tables, agent.pool, agent.zone
            )

    def call_later(self, after: float, act: Callable[[], None]) -> None:
        """Call a function after some seconds of virtual time."""
        heapq.heappush(self._due, (self.now + after, next(self._order), act))

    def run(self, seconds: float) -> None:
        """Run the periodic work."""
        end = self.now + seconds
        while self._next_tick <= end:
            self.call_later(self._next_tick - self.now, self._tick)
            self._next_tick += TICK
        while self._due and self._due[0][0] <= end:
            self.now, _, act = heapq.heappop(self._due)
            act()
        self.now = end

    def send_all(
        self,
        source: Address,
        outgoing: list[Outgoing],
        server: Server | None = None,
    ) -> None:
        """Deliver the datagrams of a node."""
        for one in outgoing:
            match one:
                case ToServer(payload=payload) if server is not None:
                    self.call_later(
                        HOP / 10,
                        lambda sent=payload: server.handle_packet(sent),
                    )
                case (
                    ToPeer(payload=payload, target=target)
                    | BulkToPeer(payload=payload, target=target)
                ):
                    self._send(source, payload, target)
                case ToCaller(payload=payload):
                    self.call_later(
                        HOP, lambda sent=payload: self._to_caller(sent)
                    )

    def _send(self, source: Address, payload: bytes, target: Address) -> None:
        if self.is_lost(source, target):
            return
        nodes = {
            **self.agent_by_address,
            **{balancer.address: balancer for balancer in self.balancers},
        }
        node = nodes.get(target)
        if node is not None:
            self.call_later(HOP, lambda: node.receive(payload, source))

    def _to_caller(self, payload: bytes) -> None:
        packet = Packet.unpack(payload)
        caller = self.caller_by_address.get(packet.target)
        if caller is not None:
            caller.handle_packet(packet)

    def _tick(self) -> None:
        for node in (*self.agents, *self.balancers):
            node.tick()


def _is_never_lost(source: Address, target: Address) -> bool:
    return False


def _parse_address(text: str) -> Address:
    host, _, port = text.partition(':')
    return address_of(host, int(port))
