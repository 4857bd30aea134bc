"""Balancers, agents, servers and callers in memory, in virtual time.

The decisions are the real ones; sockets and clocks are not there.  A server
here holds flows, hands back what it does not hold, and answers each request
after a fixed time, so many at once.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

import attrs

from redwingstream.directory.messages import Readiness
from redwingstream.directory.view import Agent, AgentView
from redwingstream.openings.gate import Gate, PoolRules
from redwingstream.openings.cold_limit import ColdLimit
from redwingstream.openings.reports import ServerReport
from redwingstream.packets.agent_forwarder import AgentForwarder
from redwingstream.packets.effects import Outgoing, ToCaller, ToPeer, ToServer
from redwingstream.packets.envelopes import unpack_envelope
from redwingstream.packets.flow import Address, address_of
from redwingstream.packets.agent_flows import AgentFlows
from redwingstream.packets.agent_context import AgentLocation, AgentContext
from redwingstream.packets.balancer_forwarder import BalancerForwarder
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
HOP = 0.001
IDLE_TIMEOUT = 15.0
REPORT_INTERVAL = 1.2
COPIES_AFTER = (0.2, 0.6)
PATIENCE = 1.4
TICK = 0.02
CONTROL = address_of('10.9.0.1', 7720)
CONTROL_INTERVAL = 0.4
CODEC = PlainCodec()


@attrs.define
class Server:
    """A backend server.

    Parameters
    ----------
    slots : int
        Requests that it runs at once.
    run : float
        Seconds for which it runs one.
    """

    node: 'AgentNode'
    slots: int = 2
    run: float = 0.04
    alive: bool = True
    refuses: bool = False
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

    def take(self, packed: bytes) -> None:
        """Take a packet from the agent."""
        if not self.alive:
            return
        packet = Packet.unpack(packed)
        key = (packet.source, packet.target)
        if packet.flags & OPENING:
            self._open(packet, key)
        elif self.sequence_by_flow.get(key) != packet.acknowledged:
            self._send(attrs.evolve(packet, flags=packet.flags | RETURNED))
        else:
            self.open_flows.add(key)
            self.taken.append(packet)
            if packet.size:
                self.queue.append(packet)
                self._work()

    def restart(self) -> None:
        """Forget everything."""
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

    def _work(self) -> None:
        while self.queue and self.running < self.slots:
            request = self.queue.pop(0)
            self.running += 1
            self.node.network.later(self.run, lambda: self._end(request))

    def _end(self, request: Packet) -> None:
        self.running = max(0, self.running - 1)
        answer = Packet(request.target, request.source, 1, size=4)
        if self.fails():
            answer = attrs.evolve(answer, size=0, flags=RESET)
        self._send(answer)
        self._work()

    def _send(self, packet: Packet) -> None:
        network = self.node.network
        network.later(HOP / 10, lambda: self.node.take_from_server(packet))


class AgentNode:
    """An agent and the server beside it."""

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
        self.is_mute = False
        self.start()

    def start(self, listens_since: float = float('inf')) -> None:
        """Begin with an empty memory."""
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
        self.forwarder = AgentForwarder(self.context, listens_since)

    def report(
        self,
        readiness: Readiness | None = None,
        cold_for: float | None = None,
        born: int = 1,
    ) -> None:
        """Let the server say something of itself, new or as before."""
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

    def receive(self, payload: bytes, source: Address) -> None:
        """Take a datagram of another process."""
        if self.alive:
            envelope = unpack_envelope(payload)
            self._carry_out(
                self.forwarder.handle_envelope(
                    envelope, source, self.network.now
                )
            )

    def take_from_server(self, packet: Packet) -> None:
        """Take a packet of the server."""
        if self.alive:
            self._carry_out(
                self.forwarder.handle_server_packet(
                    packet.pack(), self.network.now
                )
            )

    def tick(self) -> None:
        """Let time pass."""
        overdue = self.network.now - self.reported_at >= REPORT_INTERVAL
        if overdue and self.alive and not self.is_mute:
            self.report()
        if self.alive:
            self._carry_out(self.forwarder.process_waiting(self.network.now))
            self._carry_out(self.forwarder.tick(self.network.now))

    def _carry_out(self, sending: list[Outgoing]) -> None:
        self.network.carry_out(self.address, sending, self.server)


class BalancerNode:
    """A balancer."""

    def __init__(self, network: 'Network', host: str, zone: str) -> None:
        self.network = network
        self.zone = zone
        self.address = address_of(host, 7721)
        self.alive = True
        self.view = AgentView()
        self.hears_control = False
        self.control_has_leader = True
        self.control_is_warm = True
        self._heard_at = float('-inf')
        self.start()

    def start(self) -> None:
        """Begin with an empty memory."""
        self.forwarder = BalancerForwarder(
            self.address,
            self.zone,
            CODEC,
            self.view,
            self.network.events.append,
            IDLE_TIMEOUT,
        )
        self.go_by(self.network.tables)

    def go_by(self, tables: Tables) -> None:
        """Take tables."""
        self.forwarder.routes.confirmed_at = self.network.now
        routes = {
            _address_of(route.service): route
            for route in tables.route_by_key.values()
        }
        self.forwarder.apply_tables(tables, routes)

    def take_packet(self, packet: Packet) -> None:
        """Take a caller's packet."""
        if self.alive:
            sending = self.forwarder.handle_packet(
                packet.pack(), self.network.now
            )
            self.network.carry_out(self.address, sending)

    def receive(self, payload: bytes, source: Address) -> None:
        """Take a datagram of another process."""
        if self.alive:
            sending = self.forwarder.handle_envelope(
                unpack_envelope(payload), source, self.network.now
            )
            self.network.carry_out(self.address, sending)

    def tick(self) -> None:
        """Let time pass."""
        if self.alive:
            self._hear_control()
            sending = self.forwarder.tick(self.network.now)
            self.network.carry_out(self.address, sending)

    def _hear_control(self) -> None:
        now = self.network.now
        if self.hears_control and now >= self._heard_at + CONTROL_INTERVAL:
            self._heard_at = now
            self.view.handle_records(CONTROL, 1, (), now)
            if self.control_has_leader:
                self.forwarder.routes.confirmed_at = now
            self.view.is_complete = self.control_is_warm
            sending = self.forwarder.reset_dead_flows(now)
            self.network.carry_out(self.address, sending)


class Caller:
    """One flow of a caller."""

    def __init__(self, network: 'Network', host: str, port: int) -> None:
        self.network = network
        self.address = address_of(host, port)
        self.accepted: int | None = None
        self.resets = 0
        self.answers = 0
        self.began_at = 0.0
        self.accepted_at: float | None = None
        self.reset_at: float | None = None
        self.asks_by: BalancerNode | None = None

    def open(self, balancer: BalancerNode) -> 'Caller':
        """Send the opening packet, and its copies while nothing comes.

        Once the flow is accepted, a request follows.
        """
        self.began_at = self.network.now
        self.asks_by = balancer
        self.network.caller_by_address[self.address] = self
        self._send_opening(balancer, 0)
        for number, after in enumerate(COPIES_AFTER, start=1):
            self.network.later(
                after, lambda copy=number: self._copy(balancer, copy)
            )
        return self

    def ask(self, balancer: BalancerNode, size: int = 4) -> None:
        """Send a request on the open flow."""
        assert self.accepted is not None
        balancer.take_packet(
            Packet(self.address, SERVICE, 1, self.accepted, size=size),
        )

    def take(self, packet: Packet) -> None:
        """Take a packet."""
        if packet.flags & RESET:
            self.resets += 1
            self.reset_at = self.network.now
        elif packet.flags & ACCEPTING:
            if self.accepted is None and not self.resets:
                self.accepted = packet.sequence
                self.accepted_at = self.network.now
                if self.asks_by is not None:
                    self.ask(self.asks_by)
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
        balancer.take_packet(
            Packet(self.address, SERVICE, 1, number, flags=OPENING)
        )


class Network:
    """Everything together."""

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
        self.lost: Callable[[Address, Address], bool] = _none_lost
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
        self.make_known()
        return agent

    def add_balancer(self, host: str, zone: str = 'north') -> BalancerNode:
        """Add a balancer."""
        balancer = BalancerNode(self, host, zone)
        self.balancers.append(balancer)
        self.make_known()
        return balancer

    def make_known(self) -> None:
        """Let everybody know all agents as they are now."""
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
        """Take a zone out or back in, everywhere at once."""
        marks = {zone: ZoneMark(zone, out)}
        self.tables = attrs.evolve(
            self.tables,
            revision=self.tables.revision + 1,
            zone_by_name={**self.tables.zone_by_name, **marks},
        )
        for balancer in self.balancers:
            balancer.go_by(self.tables)
        for agent in self.agents:
            agent.gate.rules = PoolRules.from_tables(
                self.tables, agent.pool, agent.zone
            )

    def later(self, after: float, act: Callable[[], None]) -> None:
        """Do something after some seconds."""
        heapq.heappush(self._due, (self.now + after, next(self._order), act))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._next_tick <= end:
            self.later(self._next_tick - self.now, self._tick)
            self._next_tick += TICK
        while self._due and self._due[0][0] <= end:
            self.now, _, act = heapq.heappop(self._due)
            act()
        self.now = end

    def carry_out(
        self,
        source: Address,
        sending: list[Outgoing],
        server: Server | None = None,
    ) -> None:
        """Send what a node wants sent."""
        for one in sending:
            match one:
                case ToServer(payload=payload) if server is not None:
                    self.later(HOP / 10, lambda sent=payload: server.take(sent))
                case ToPeer(payload=payload, target=target):
                    self._send(source, payload, target)
                case ToCaller(payload=payload):
                    self.later(HOP, lambda sent=payload: self._to_caller(sent))

    def _send(self, source: Address, payload: bytes, target: Address) -> None:
        if self.lost(source, target):
            return
        nodes = {
            **self.agent_by_address,
            **{balancer.address: balancer for balancer in self.balancers},
        }
        node = nodes.get(target)
        if node is not None:
            self.later(HOP, lambda: node.receive(payload, source))

    def _to_caller(self, payload: bytes) -> None:
        packet = Packet.unpack(payload)
        caller = self.caller_by_address.get(packet.target)
        if caller is not None:
            caller.take(packet)

    def _tick(self) -> None:
        for node in (*self.agents, *self.balancers):
            node.tick()


def _none_lost(source: Address, target: Address) -> bool:
    return False


def _address_of(text: str) -> Address:
    host, _, port = text.partition(':')
    return address_of(host, int(port))
