"""What members cost while nothing happens, and how long a change takes.

One real control process; all agents and balancers run in this process, each
with its real sockets.  Bytes are those of the UDP frames without IP headers.
Times are those of a shared machine.  ``python -m asv_bench.idle``.
"""

import asyncio
import contextlib
import pathlib
import secrets
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterator

import attrs

from asv_bench import fitting, output
from asv_bench.packet_processes import resident_kb
from redwingstream.agent.role import AgentRole
from redwingstream.balancer.role import BalancerRole
from redwingstream.endpoints import Endpoint
from redwingstream.operators.client import ControlClient
from redwingstream.settings.roles import AgentSettings, BalancerSettings
from redwingstream.tables.edits import (
    Edits,
    SetPool,
    SetRoute,
)
from redwingstream.tables.rows import Pool, Route
from redwingstream.wire.calls import MAX_CALL_SIZE, CallClient
from redwingstream.wire.datagrams import DatagramSocket
from redwingstream.wire.frames import FrameCodec

SIZES = (8, 16, 32)
HOSTS_PER_POOL = 4
CONTROL = Endpoint('127.72.1.1', 7000)
SETTLING = 6.0
WATCHED = 5.0
CHANGES = 3
MEMBERS_SECONDS = 40
TICKS_PER_SECOND = 100
MICRO = 1e6
MILLI = 1000


@attrs.frozen
class IdleShape:
    """A fleet at rest.

    Parameters
    ----------
    agents, balancers : int
        How many of each.
    hosts_per_pool : int
        How the agents divide into pools.
    """

    agents: int
    balancers: int
    hosts_per_pool: int

    @property
    def members(self) -> int:
        """Processes that hold a lease."""
        return self.agents + self.balancers


@attrs.define
class UdpCount:
    """Bytes and datagrams of all sockets of this process, by endpoint."""

    bytes_by_sender: dict[str, int] = attrs.field(factory=dict)
    datagrams_by_sender: dict[str, int] = attrs.field(factory=dict)

    def note(self, sender: str, size: int) -> None:
        """Count one datagram."""
        former = self.bytes_by_sender.get(sender, 0)
        self.bytes_by_sender[sender] = former + size
        sent = self.datagrams_by_sender.get(sender, 0)
        self.datagrams_by_sender[sender] = sent + 1


@attrs.frozen
class IdleCost:
    """What one fleet cost at rest.

    Parameters
    ----------
    shape : IdleShape
        The fleet.
    agent_bytes, agent_datagrams : float
        Sent by one agent in a second.
    balancer_bytes : float
        Sent by one balancer in a second.
    member_cpu : float
        Fraction of a core for one member, the share of this process.
    control_cpu : float
        Fraction of a core of the control process.
    control_kb : int
        Resident memory of the control process, KB.
    change_ms : float
        From an operators' call to all members in force, milliseconds.
    """

    shape: IdleShape
    agent_bytes: float
    agent_datagrams: float
    balancer_bytes: float
    member_cpu: float
    control_cpu: float
    control_kb: int
    change_ms: float


@contextlib.contextmanager
def counting() -> Iterator[UdpCount]:
    """Count what every socket of this process sends."""
    count = UdpCount()
    plain_send = DatagramSocket.send

    def send(
        self: DatagramSocket, payload: bytes, target: tuple[str, int]
    ) -> None:
        count.note(str(self.endpoint), len(payload))
        plain_send(self, payload, target)

    DatagramSocket.send = send
    try:
        yield count
    finally:
        DatagramSocket.send = plain_send


@contextlib.contextmanager
def control_process(folder: pathlib.Path) -> Iterator[int]:
    """Run one control instance as a process; yields its id."""
    key_file = folder / 'key'
    key_file.touch(mode=0o600)
    key_file.write_text(secrets.token_hex(16))
    command = [
        sys.executable,
        '-m',
        'redwingstream.daemon',
        'control',
        '--host=c1',
        '--zone=z0',
        f'--endpoint={CONTROL}',
        f'--data-folder={folder / "c1"}',
        f'--replicas=c1={CONTROL}',
        f'--key-file={key_file}',
    ]
    with (folder / 'c1.log').open('wb') as log:
        process = subprocess.Popen(command, stdout=log, stderr=log)
    try:
        yield process.pid
    finally:
        process.terminate()
        process.wait()


def cpu_of(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    numbers = text.rpartition(')')[2].split()
    return (int(numbers[11]) + int(numbers[12])) / TICKS_PER_SECOND


class IdleFleet:
    """Members of one shape in this process.

    Parameters
    ----------
    shape : IdleShape
        How many.
    key : bytes
        Key of the fleet.
    """

    def __init__(self, shape: IdleShape, key: bytes) -> None:
        self.shape = shape
        self.agents = [
            AgentRole(_agent_settings(shape, number), key)
            for number in range(shape.agents)
        ]
        self.balancers = [
            BalancerRole(_balancer_settings(number), key)
            for number in range(shape.balancers)
        ]
        self._codec = FrameCodec(key, MAX_CALL_SIZE)

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator[ControlClient]:
        """Load the tables and run all members."""
        async with contextlib.AsyncExitStack() as stack:
            calls = CallClient(self._codec)
            stack.enter_context(calls.opened())
            client = ControlClient(calls, (CONTROL,), MEMBERS_SECONDS)
            await self.change(client, self._tables())
            for role in (*self.agents, *self.balancers):
                await stack.enter_async_context(role.opened())
            await self._wait_for_members()
            yield client

    async def change(self, client: ControlClient, edits: Edits) -> int:
        """Make a change; return its revision."""
        read = await client.read_tables()
        answer = await client.change(edits, read.config_revision, force=True)
        return answer.revision

    async def in_force(self, revision: int) -> None:
        """Wait until every member has a revision."""
        while any(node.follower.revision < revision for node in self.nodes()):
            await asyncio.sleep(0.002)

    def nodes(self) -> list[object]:
        """Return the node of every member."""
        return [role._node for role in (*self.agents, *self.balancers)]

    async def _wait_for_members(self) -> None:
        async with asyncio.timeout(MEMBERS_SECONDS):
            while not all(map(_is_admitted, self.agents)):
                await asyncio.sleep(0.1)

    def _tables(self) -> Edits:
        pools = self.shape.agents // self.shape.hosts_per_pool
        return Edits(
            set_pools=tuple(
                SetPool(Pool(f'pool-{number}', ('host-*',)))
                for number in range(pools)
            ),
            set_routes=tuple(
                SetRoute(Route(f'127.72.8.{number + 1}:5683', f'pool-{number}'))
                for number in range(pools)
            ),
        )


def _is_admitted(agent: AgentRole) -> bool:
    return agent._node.describe_state().get('admitted', True)


async def measure(
    shape: IdleShape, control: int, key: bytes, count: UdpCount
) -> IdleCost:
    """Run a fleet at rest, then make a few changes."""
    fleet = IdleFleet(shape, key)
    async with fleet.opened() as client:
        await asyncio.sleep(SETTLING)
        count.bytes_by_sender.clear()
        count.datagrams_by_sender.clear()
        own, its = time.process_time(), cpu_of(control)
        await asyncio.sleep(WATCHED)
        own, its = time.process_time() - own, cpu_of(control) - its
        rates = attrs.evolve(
            count,
            bytes_by_sender=dict(count.bytes_by_sender),
            datagrams_by_sender=dict(count.datagrams_by_sender),
        )
        changes = [
            await _time_change(fleet, client, number)
            for number in range(CHANGES)
        ]
        agents = _of_kind(rates.bytes_by_sender, '127.72.3.')
        packets = _of_kind(rates.datagrams_by_sender, '127.72.3.')
        balancers = _of_kind(rates.bytes_by_sender, '127.72.2.')
        return IdleCost(
            shape=shape,
            agent_bytes=agents / shape.agents / WATCHED,
            agent_datagrams=packets / shape.agents / WATCHED,
            balancer_bytes=balancers / shape.balancers / WATCHED,
            member_cpu=own / shape.members / WATCHED,
            control_cpu=its / WATCHED,
            control_kb=resident_kb(control),
            change_ms=fitting.spread(changes).middle * MILLI,
        )


def run(shape: IdleShape) -> IdleCost:
    """Measure one shape with a control process of its own."""
    with tempfile.TemporaryDirectory(prefix='idle-') as name:
        folder = pathlib.Path(name)
        with control_process(folder) as control, counting() as count:
            key = (folder / 'key').read_bytes()
            return asyncio.run(measure(shape, control, key, count))


def main() -> None:
    """Measure three sizes with small pools, and with one large pool."""
    report = output.Report('idle')
    flags = output.read_flags('idle')
    for title, small in (('pools of 4 hosts', True), ('one pool', False)):
        costs = [
            run(IdleShape(size, size // 4, HOSTS_PER_POOL if small else size))
            for size in SIZES
        ]
        report.add(title, [_row(cost) for cost in costs])
        report.add(f'{title}: slopes', _slopes(costs))
    report.finish(flags.json)


def _row(cost: IdleCost) -> dict[str, object]:
    return {
        'members': cost.shape.members,
        'bytes/s sent by an agent': cost.agent_bytes,
        'datagrams/s': cost.agent_datagrams,
        'bytes/s sent by a balancer': cost.balancer_bytes,
        'core of a member, %': cost.member_cpu * 100,
        'core of control, %': cost.control_cpu * 100,
        'control resident KB': cost.control_kb,
        'change in force, ms': cost.change_ms,
    }


def _slopes(costs: list[IdleCost]) -> list[dict[str, object]]:
    members = [cost.shape.members for cost in costs]
    rows = []
    for column in ('agent_bytes', 'control_cpu', 'control_kb', 'change_ms'):
        line = fitting.fit(members, [getattr(cost, column) for cost in costs])
        rows.append({'what': column, **attrs.asdict(line)})
    return rows


async def _time_change(
    fleet: IdleFleet, client: ControlClient, number: int
) -> float:
    route = Route(f'127.72.8.{100 + number}:5683', 'pool-0')
    started = time.perf_counter()
    revision = await fleet.change(client, Edits(set_routes=(SetRoute(route),)))
    await fleet.in_force(revision)
    return time.perf_counter() - started


def _of_kind(total_by_sender: dict[str, int], prefix: str) -> int:
    return sum(
        total
        for sender, total in total_by_sender.items()
        if sender.startswith(prefix)
    )


def _agent_settings(shape: IdleShape, number: int) -> AgentSettings:
    pools = shape.agents // shape.hosts_per_pool
    return AgentSettings(
        host=f'host-{number}',
        endpoint=Endpoint(f'127.72.3.{number + 1}', 7000),
        zone=f'z{number // pools % 3}',
        key_file=pathlib.Path(),
        control=(CONTROL,),
        server=Endpoint(f'127.72.4.{number + 1}', 5683),
        pool=f'pool-{number % pools}',
    )


def _balancer_settings(number: int) -> BalancerSettings:
    return BalancerSettings(
        host=f'balancer-{number}',
        endpoint=Endpoint(f'127.72.2.{number + 1}', 7000),
        zone=f'z{number % 3}',
        key_file=pathlib.Path(),
        control=(CONTROL,),
        fabric_endpoint=Endpoint(f'127.72.2.{number + 1}', 7001),
    )


if __name__ == '__main__':
    main()
