"""Simulated start of a large fleet over slow links.

200 processes know three seeds and are served by 12 control instances.  The
servers of all agents report and warm up, and the leader is elected late. Entry
instances have links of 2 Mbit/s.
"""

import attrs
import pytest

from redwingstream.directory.agent_directory import AgentDirectory
from redwingstream.directory.control_directory import (
    HELLO_INTERVAL,
    ControlDirectory,
)
from redwingstream.directory.fleet_record import Followers
from redwingstream.directory.inquiry import Inquirer
from redwingstream.directory.messages import (
    AgentRecord,
    ControlHello,
    Inquiry,
    Readiness,
)
from redwingstream.fleet.inquiry_handler import InquiryHandler, TableSource
from redwingstream.packets.flow import Address
from redwingstream.tables.machine.state_machine import StateMachine
from redwingstream.wire.frames import FrameCodec
from redwingstream.wire.messages import decode, encode

CONTROLS = 12
SEEDS = 3
AGENTS = 136
BALANCERS = 64
STEP = 0.01
ONE_WAY_DELAY = 0.001
LINK_BYTES = 250_000
"""Rate in bytes per second of the link of an entry instance: 2 Mbit/s."""

LINK_QUEUE = 0.5
"""Queueing delay in seconds beyond which a link drops answers."""

REPORTED_AT = 0.5
WARM_AT = 2.5
LEADER_AT = 1.0
REVISION = 40

MAX_BYTES = 100_000
"""Maximum number of bytes sent to one process until the fleet has started."""

KNOWN_WITHIN = 1.0
"""Seconds after the servers' reports within which balancers know all agents."""


@attrs.define
class _Node:
    """A process that sends inquiries, and its link."""

    inquirer: Inquirer
    address: Address
    agent: int | None = None
    received_bytes: int = 0
    link_free_at: float = 0
    in_flight: list[tuple[float, object]] = attrs.field(factory=list)
    knows_all_at: float | None = None

    def record(self, now: float) -> AgentRecord | None:
        """Return the record of an agent; None for other processes."""
        if self.agent is None:
            return None
        is_reported = now >= REPORTED_AT
        return AgentRecord(
            self.address,
            f'zone-{self.agent % 6}',
            'feed' if self.agent % 5 else 'reports',
            self.agent + 1,
            round(now * 1000) + 1,
            Readiness.READY if is_reported else Readiness.UNKNOWN,
            now < WARM_AT,
        )

    def send(self, answer: object, now: float) -> None:
        """Queue an answer on the link, or drop it when the queue is full."""
        kind, body = encode(answer)
        size = len(body) + FRAME_OVERHEAD
        if self.link_free_at - now > LINK_QUEUE:
            return
        self.received_bytes += size
        self.link_free_at = max(self.link_free_at, now) + size / LINK_BYTES
        self.in_flight.append(
            (self.link_free_at + ONE_WAY_DELAY, decode(kind, body))
        )

    def receive(self, now: float) -> None:
        """Handle the answers that have arrived."""
        while self.in_flight and self.in_flight[0][0] <= now:
            self.inquirer.handle_answer(self.in_flight.pop(0)[1], now)


FRAME_OVERHEAD = len(FrameCodec(bytes(32)).seal(Inquiry(1, 0, 0, 0))) - len(
    encode(Inquiry(1, 0, 0, 0))[1]
)


class _Fleet:
    """Control instances and processes, simulated in steps of virtual time."""

    def __init__(self) -> None:
        self.now = float(0)
        self.inquiries = 0
        self.controls = [Address(10_000 + number) for number in range(CONTROLS)]
        self.machine = StateMachine()
        self.machine.state.revision = REVISION
        self.directory_by_control = {
            own: ControlDirectory(own, self.controls[:SEEDS])
            for own in self.controls
        }
        self.handler_by_control = {
            own: InquiryHandler(
                own,
                own,
                0,
                AgentDirectory(),
                self.directory_by_control[own],
                Followers(),
            )
            for own in self.controls
        }
        self.nodes = [self._agent(number) for number in range(AGENTS)]
        self.balancers = [self._balancer(number) for number in range(BALANCERS)]
        self.nodes.extend(self.balancers)

    def run(self, seconds: float) -> None:
        """Advance the simulation."""
        for _ in range(round(seconds / STEP)):
            self.now = round(self.now + STEP, 3)
            if round(self.now / STEP) % round(HELLO_INTERVAL / STEP) == 1:
                self._send_hellos()
            for node in self.nodes:
                node.receive(self.now)
                self._ask(node)
            self._record_complete()

    def _ask(self, node: _Node) -> None:
        for ask in node.inquirer.due_inquiries(self.now, node.record(self.now)):
            self.inquiries += 1
            handler = self.handler_by_control[ask.target]
            handler._followers.record_inquiry(node.address, self.now)
            node.send(
                handler.answer(ask.inquiry, self._tables, self.now), self.now
            )

    @property
    def _tables(self) -> TableSource:
        age = 0.1 if self.now >= LEADER_AT else float('inf')
        return TableSource(REVISION, age, self.machine.update_since)

    def _send_hellos(self) -> None:
        for sender in self.controls:
            hello = ControlHello(
                sender, sender, 'zone', None, is_fresh=False, controls=()
            )
            for own, known in self.directory_by_control.items():
                if own != sender:
                    known.handle_hello(hello, self.now)

    def _record_complete(self) -> None:
        for node in self.balancers:
            agents = node.inquirer.view.agent_by_address.values()
            ready = [one for one in agents if one.readiness is Readiness.READY]
            if node.knows_all_at is None and len(ready) == AGENTS:
                node.knows_all_at = self.now

    def _agent(self, number: int) -> _Node:
        address = Address(20_000 + number)
        pool = 'feed' if number % 5 else 'reports'
        made = Inquirer(self.controls[:SEEDS], pool, 0, number)
        return _Node(made, address, number)

    def _balancer(self, number: int) -> _Node:
        address = Address(30_000 + number)
        made = Inquirer(self.controls[:SEEDS], '', 0, AGENTS + number)
        return _Node(made, address)


@pytest.fixture(scope='module')
def fleet() -> _Fleet:
    made = _Fleet()
    made.run(4)
    return made


class TestLargeStart:
    """Traffic and state of all processes until all servers are warm."""

    def test_limits_bytes_per_process(self, fleet) -> None:
        """Guards against repeated inquiries over saturated links."""
        most = max(node.received_bytes for node in fleet.nodes)
        assert most <= MAX_BYTES

    def test_balancers_learn_all_agents_in_time(self, fleet) -> None:
        """Guards against callers delayed by a balancer that lacks agents."""
        known_at = [node.knows_all_at for node in fleet.balancers]
        assert None not in known_at
        assert max(known_at) - REPORTED_AT <= KNOWN_WITHIN

    def test_delivers_confirmed_tables(self, fleet) -> None:
        for node in fleet.nodes:
            assert node.inquirer.history.tables.revision == REVISION
            assert node.inquirer.confirmed_at >= LEADER_AT - 0.1

    def test_completes_every_view(self, fleet) -> None:
        """Guards against balancers that are not ready when traffic starts."""
        assert all(node.inquirer.view.is_complete for node in fleet.nodes)

    def test_reaches_every_control_instance(self, fleet) -> None:
        """Guards against control instances that miss some agents."""
        directories = [
            handler._agents for handler in fleet.handler_by_control.values()
        ]
        assert {len(directory) for directory in directories} == {AGENTS}

    def test_distributes_processes_over_control_instances(self, fleet) -> None:
        """Guards against load concentrated on a few control instances."""
        readers = {own: 0 for own in fleet.controls}
        for node in fleet.nodes:
            for source in node.inquirer.sources:
                readers[source] += 1
        mean = sum(readers.values()) / CONTROLS
        assert max(readers.values()) <= 1.5 * mean
