"""An agent, its server as far as the agent sees it, and control instances."""

from collections.abc import Callable
from types import SimpleNamespace

import attrs

from redwingstream.directory.messages import (
    FlowSnapshot,
    FlowSnapshotQuery,
    Readiness,
)
from redwingstream.endpoints import Endpoint
from redwingstream.fleet.agent import Agent
from redwingstream.fleet.control import Control
from redwingstream.fleet.deployment import ListenEndpoints, LocalServer
from redwingstream.fleet.tests.fakes import (
    DEPLOYMENT,
    KEY,
    FakeProcess,
    FakeSocket,
)
from redwingstream.openings.reports import ServerReport
from redwingstream.packets.envelopes import Envelope, Kind
from redwingstream.packets.flow import Address, address_of
from redwingstream.packets.ranking import pool_hash
from redwingstream.packets.tests.codec import (
    ACCEPTING,
    END,
    OPENING,
    RESET,
    RETURNED,
    Packet,
    PlainCodec,
)
from redwingstream.packets.tests.network import SERVICE
from redwingstream.tables.rows import FlowKind, FlowRules, Route
from redwingstream.tables.snapshot import Tables
from redwingstream.wire.frames import FrameCodec

HOST = '10.1.0.1'
PACKETS_PORT = 8172
SERVER_PORT = 9000
SERVER = Endpoint(HOST, SERVER_PORT)
STEP = 0.05  # seconds between two runs of the periodic work
PORT_MASK = 0xFFFF
AGENT = (HOST, 7722)
AGENT_ADDRESS = address_of(HOST, PACKETS_PORT)
CONTROLS = ('10.9.0.1', '10.9.0.2', '10.9.0.3')
POOL = 'jobs'
ROUTE = Route(
    '198.18.0.1:443', POOL, flows=FlowRules(kind=FlowKind.NON_IDEMPOTENT)
)
BORN = 1_770_000_000_000
FIRST_ANSWER = 1000
RESET_RANGE = 76_800
REPORT_INTERVAL = 1.0


class Site:
    """An agent, its server as far as the agent sees it, and controls."""

    def __init__(self, folder=None, kind: FlowKind | None = None) -> None:
        self.now = 1000.0
        self.folder = folder
        self.route = ROUTE
        if kind is not None:
            self.route = attrs.evolve(ROUTE, flows=FlowRules(kind=kind))
        self.queue: list[tuple[tuple, bytes, tuple]] = []
        self.lost: tuple[type, ...] = ()
        self.sent: list[object] = []
        self.sequence = 0
        self.control_by_host: dict[str, Control] = {}
        self.start_controls()
        self.start_agent()

    def start_controls(self) -> None:
        """Start all control instances, without anything in memory."""
        for host in CONTROLS:
            folder = self.folder and self.folder / host
            deployment = attrs.evolve(
                DEPLOYMENT, host=host, seeds=CONTROLS, data_folder=folder
            )
            control = Control(FakeProcess(deployment, _clock_of(self)))
            control.attach(_socket(self, (host, 7720)))
            control.tick(self.now)
            self.control_by_host[host] = control

    def stop_controls(self) -> None:
        """Close the disks of all control instances."""
        for control in self.control_by_host.values():
            control.replication.close()

    def start_agent(self, pool: str = POOL) -> None:
        """Start the agent, without anything in memory."""
        deployment = attrs.evolve(
            DEPLOYMENT,
            host=HOST,
            seeds=CONTROLS,
            listening=ListenEndpoints(packets=Endpoint(HOST, PACKETS_PORT)),
            local_server=LocalServer(SERVER, pool),
        )
        process = FakeProcess(deployment, _clock_of(self))
        self.events: list[object] = []
        process.log.write = self.events.append
        self.agent = Agent(process, PlainCodec())
        self.agent.control_client.attach(_socket(self, AGENT))
        self.callers = FakeSocket()
        self.returned = 0
        self.agent.packet_sender.attach(self.callers, FakeSocket())
        history = self.agent.control_client.inquirer.history
        route = attrs.evolve(self.route, pool=pool)
        history.tables = Tables(1, {route.key: route})
        self.agent._apply_tables()

    def run(self, seconds: float) -> None:
        """Run the periodic work, without the server's reports."""
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self.agent.lost_flows.tick(self.now)
            for control in self.control_by_host.values():
                control.flow_snapshots.tick(
                    control.replication.folder, self.now
                )
            self.deliver()

    def run_reporting(self, seconds: float, born: int = BORN) -> None:
        """Run while the server reports."""
        for _ in range(round(seconds / REPORT_INTERVAL)):
            self.report(born)
            self.run(REPORT_INTERVAL)

    def report(self, born: int = BORN, **change) -> None:
        """Deliver a report of the server."""
        self.sequence += 1
        pool = self.agent.context.location.pool
        report = ServerReport(
            's-1', born, self.sequence, pool, Readiness.READY, 0, 2
        )
        report = attrs.evolve(report, **change)
        self.agent.server_reports.handle_report(report)
        self.deliver()

    def open(self, port: int, requests: int = 2) -> None:
        """Open a flow that carries some requests."""
        caller = address_of('100.64.0.1', port)
        self._from_caller(Packet(caller, SERVICE, 1, flags=OPENING))
        accepted = Packet(SERVICE, caller, FIRST_ANSWER - 1, 1, flags=ACCEPTING)
        self.from_server(accepted)
        for number in range(requests):
            self.ask(port, number)
            self.from_server(
                Packet(SERVICE, caller, FIRST_ANSWER + number * 10, size=10)
            )

    def ask(self, port: int, number: int) -> None:
        """Send a request on an open flow."""
        caller = address_of('100.64.0.1', port)
        acknowledged = FIRST_ANSWER + number * 10
        self._from_caller(
            Packet(caller, SERVICE, 2 + number * 4, acknowledged, size=4)
        )

    def end(self, port: int) -> None:
        """Let the server end a flow."""
        caller = address_of('100.64.0.1', port)
        self.from_server(Packet(SERVICE, caller, FIRST_ANSWER, flags=END))

    def from_server(self, packet: Packet) -> None:
        """Deliver a packet of the server to the agent."""
        self.agent._handle_server_packet(packet.pack(), (HOST, SERVER.port))

    def reset_ports(self) -> list[int]:
        """Return the ports of callers that the agent has reset, sorted."""
        resets = [
            packet
            for packet in map(Packet.unpack, self.callers.sent)
            if packet.flags & RESET
        ]
        for packet in resets:
            assert abs(packet.sequence - FIRST_ANSWER) < RESET_RANGE
        return sorted(reset.target & PORT_MASK for reset in resets)

    def sent_of(self, kind: type) -> list[object]:
        """Return the messages of a class that were sent."""
        return [one for one in self.sent if isinstance(one, kind)]

    def lose_power(self, *, with_controls: bool = True) -> None:
        """Start the agent, and control instances if asked to, again."""
        if with_controls:
            self.stop_controls()
            self.start_controls()
        self.start_agent()

    def deliver(self) -> None:
        """Deliver all messages of the kinds that these tests are about."""
        while self.queue:
            source, frame, target = self.queue.pop(0)
            message = FrameCodec(KEY).open(frame).payload
            if not isinstance(message, FlowSnapshot | FlowSnapshotQuery):
                continue
            self.sent.append(message)
            if isinstance(message, self.lost):
                continue
            if target == AGENT:
                self.agent._handle_internal(frame, source)
            elif target[0] in self.control_by_host:
                self.control_by_host[target[0]].receive(frame, source)

    def _from_caller(self, packet: Packet) -> None:
        kind = Kind.OPENING if packet.flags & OPENING else Kind.ONGOING
        envelope = Envelope(kind, packet.pack(), pool=pool_hash(POOL))
        self.agent.forwarder.handle_envelope(envelope, Address(1), self.now)


def _clock_of(site: Site) -> Callable[[], float]:
    return lambda: site.now


def _socket(site: Site, source: tuple) -> SimpleNamespace:
    return SimpleNamespace(
        send=lambda frame, target: site.queue.append((source, frame, target))
    )


def return_given(site: Site, held: tuple[int, ...] = ()) -> None:
    """Let the server return what it was given since the last call.

    Parameters
    ----------
    site : Site
        The site.
    held : tuple of int
        Ports of the callers whose flows the server holds.
    """
    sent = zip(site.callers.sent, site.callers.targets, strict=True)
    given = [one for one, target in sent if target == SERVER.as_pair()]
    for packet in map(Packet.unpack, given[site.returned :]):
        if packet.source & PORT_MASK not in held:
            site.from_server(attrs.evolve(packet, flags=RETURNED))
    site.returned = len(given)


def recorded(site: Site) -> None:
    """Let a server with three flows run until they are recorded."""
    site.run_reporting(4)
    for port in (1, 2, 3):
        site.open(port)
    site.run_reporting(3)
