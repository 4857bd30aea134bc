"""A small fleet of processes that a test kills, freezes and starts again."""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterator,
    Mapping,
)
from typing import Any

import aiocoap
import attrs
from aiocoap.message import Message

from demo.checks import Callers
from demo.layout import (
    ADMIN_PORT,
    BALANCERS,
    CONTROLS,
    FABRIC_KIND,
    SWARD,
    Layout,
    Server,
    is_free,
)
from demo.operators import Operator
from demo.processes import Fleet
from demo.tayside import write_key
from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import CallFailedError
from redwingstream.keyfile import read_key_file
from redwingstream.operators.client import ControlClient
from redwingstream.operators.overview import tables_from
from redwingstream.tables.edits import (
    ChangeAnswer,
    ChangeRequest,
    Edits,
    SetPool,
    SetRoute,
)
from redwingstream.tables.rows import Pool, Route
from redwingstream.tables.snapshot import Tables
from redwingstream.wire.calls import MAX_CALL_SIZE, CallClient
from redwingstream.wire.frames import FrameCodec
from standins.networks import reserved_network

# The demonstration uses 127.20 to 127.59.
NETWORKS = range(60, 250)
LIMIT = 45.0
POLL = 0.1
CALL_TIMEOUT = 20.0

Flags = Mapping[str, tuple[str, ...]]
Condition = Callable[[], Awaitable[object]]


async def until(condition: Condition, what: str, limit: float = LIMIT) -> None:
    """Wait until a condition holds; fail the test when it never does."""
    loop = asyncio.get_running_loop()
    end = loop.time() + limit
    while not await condition():
        assert loop.time() < end, f'not within {limit} s: {what}'
        await asyncio.sleep(POLL)


@attrs.define
class Cluster:
    """The processes of one test module.

    Parameters
    ----------
    layout : Layout
        Addresses and command lines.
    fleet : Fleet
        What runs.
    callers : Callers
        Callers of the services.
    client : ControlClient
        Speaks to the control instances as the operators' tool does.
    flags : mapping
        More flags by the beginning of a process's name.
    """

    layout: Layout
    fleet: Fleet
    callers: Callers
    client: ControlClient
    flags: Flags = attrs.field(factory=dict)

    @property
    def tool(self) -> Operator:
        """The operators' tool as a process."""
        return Operator(self.layout)

    def command(self, name: str) -> list[str]:
        """Return the command line of a process."""
        command = self.layout.commands()[name]
        kind = 'server' if name.endswith('-server') else name.rstrip('123-')
        return [*command, *self.flags.get(kind, ())]

    async def start(self, *names: str) -> None:
        """Start processes, each for the first time or again."""
        for name in names:
            await self.fleet.start(name, self.command(name))

    async def kill(self, *names: str) -> None:
        """Kill processes with SIGKILL and wait until they are gone."""
        gone = [self.fleet.process_by_name.pop(name) for name in names]
        for process in gone:
            process.kill()
        for process in gone:
            await process.wait()

    async def end(self, name: str) -> int:
        """Ask a process to end with SIGTERM; return its exit code."""
        process = self.fleet.process_by_name.pop(name)
        process.terminate()
        async with asyncio.timeout(LIMIT):
            return await process.wait()

    async def exit_code(self, name: str) -> int:
        """Wait for a process that ends on its own; return its exit code."""
        process = self.fleet.process_by_name.pop(name)
        async with asyncio.timeout(LIMIT):
            return await process.wait()

    def freeze(self, *names: str) -> None:
        """Stop processes with SIGSTOP."""
        for name in names:
            self.fleet.process_by_name[name].send_signal(signal.SIGSTOP)

    def thaw(self, *names: str) -> None:
        """Let frozen processes go on with SIGCONT."""
        for name in names:
            self.fleet.process_by_name[name].send_signal(signal.SIGCONT)

    def log(self, name: str) -> str:
        """Return what a process has logged in all its runs."""
        return self.fleet.log_of(name).read_text()

    def endpoint(self, name: str) -> Endpoint:
        """Return where a process of the product takes frames and calls."""
        flag = '--endpoint='
        found = [part for part in self.command(name) if part.startswith(flag)]
        return parse_endpoint(found[0].removeprefix(flag))

    async def dump(self, name: str) -> dict[str, Any]:
        """Return the dump of a process; empty when it does not answer."""
        try:
            text = await self.client.dump(self.endpoint(name))
        except CallFailedError:
            return {}
        dumped: dict[str, Any] = json.loads(text)
        return dumped

    async def change_at(
        self, name: str, request: ChangeRequest, timeout: float
    ) -> ChangeAnswer:
        """Send a change to one instance, whether it leads or not."""
        with make_calls(self.layout).opened() as calls:
            return await calls.call(
                self.endpoint(name), request, ChangeAnswer, timeout
            )

    async def leaders(self, *names: str) -> dict[str, int]:
        """Return the terms of those who say that they lead, by host."""
        asked = names or CONTROLS
        dumps = await asyncio.gather(*map(self.dump, asked))
        return {
            name: dumped['consensus']['term']
            for name, dumped in zip(asked, dumps, strict=True)
            if dumped and dumped['consensus']['role'] == 'leader'
        }

    async def leader(self) -> str:
        """Wait for a leader and return its host."""
        found: dict[str, int] = {}

        async def is_found() -> bool:
            found.clear()
            found.update(await self.leaders())
            return bool(found)

        await until(is_found, 'a control instance leads')
        return max(found, key=found.__getitem__)

    async def tables(self) -> Tables:
        """Return the tables as of now, from the leader."""
        return tables_from(await self.client.read_tables())

    async def route(self, number: int, pool: str = SWARD) -> int:
        """Add one route with a service of its own; return its revision."""
        read = await self.client.read_tables()
        edits = edits_of(number, pool)
        answer = await self.client.change(edits, read.config_revision)
        return answer.revision

    async def routes(self) -> set[int]:
        """Return the numbers of the routes that :meth:`route` has added."""
        tables = await self.tables()
        services = [route.service for route in tables.route_by_key.values()]
        return {
            parse_endpoint(service).port
            for service in services
            if service.startswith('10.')
        }

    async def load_tables(self) -> None:
        """Load pools and routes of the services."""
        services = self.layout.services
        edits = Edits(
            set_pools=tuple(
                SetPool(Pool(pool, (f'{pool.split("-")[0]}-*',)))
                for pool in services
            ),
            set_routes=tuple(
                SetRoute(Route(str(service), pool))
                for pool, service in services.items()
            ),
        )
        read = await self.client.read_tables()
        await self.client.change(edits, read.config_revision)

    async def until_settled(self, *hosts: str) -> None:
        """Wait until a pool's view is these hosts and all buckets are held."""
        pool = SWARD

        async def is_settled() -> bool:
            view = (await self.tables()).view_by_pool.get(pool)
            if view is None or view.unsettled:
                return False
            return {member.host for member in view.members} == set(hosts)

        await until(is_settled, f'{hosts} are the settled view of {pool}')

    async def until_in_force(self, *names: str) -> None:
        """Wait until members have the newest tables."""
        revision = (await self.client.read_tables()).config_revision

        async def is_in_force() -> bool:
            dumps = await asyncio.gather(*map(self.dump, names))
            return all(
                dumped.get('incarnation', 0) > 0
                and dumped['revision'] >= revision
                for dumped in dumps
            )

        await until(is_in_force, f'revision {revision} is in force on {names}')

    async def spray_over(self, *names: str) -> None:
        """Tell the fabric its balancers, as the platform does."""
        commands = [self.command(name) for name in names]
        flag = '--fabric-endpoint='
        lines = [
            part.removeprefix(flag)
            for command in commands
            for part in command
            if part.startswith(flag)
        ]
        admin = Endpoint(
            f'127.{self.layout.network}.{FABRIC_KIND}.1', ADMIN_PORT
        )
        payload = '\n'.join(lines).encode()
        packet = Message(
            code=aiocoap.PUT, uri_path=('balancers',), payload=payload
        )
        outcome = await self.callers.one_more().request(admin, packet)
        assert outcome.response.code == aiocoap.CHANGED


def edits_of(number: int, pool: str = SWARD) -> Edits:
    """Return the edits that add one route, named by a number."""
    return Edits(set_routes=(SetRoute(Route(f'10.9.9.9:{number}', pool)),))


def make_calls(layout: Layout) -> CallClient:
    """Return a client under the key of a layout."""
    return CallClient(FrameCodec(read_key_file(layout.key_file), MAX_CALL_SIZE))


@contextlib.contextmanager
def make_layout(
    folder: pathlib.Path, servers: tuple[Server, ...]
) -> Iterator[Layout]:
    """Give a layout in a free network that is kept until the end."""

    def is_usable(network: int) -> bool:
        return is_free(Layout(network, folder, servers))

    with reserved_network(NETWORKS, is_usable) as network:
        yield Layout(network, folder, servers)


@contextlib.asynccontextmanager
async def open_cluster(
    folder: pathlib.Path,
    servers: tuple[Server, ...] = (),
    balancers: int = 0,
    flags: Flags | None = None,
) -> AsyncIterator[Cluster]:
    """Run control instances, balancers and servers for a block.

    At the end every process is killed by its id: what a graceful stop does has
    tests of its own.
    """
    with make_layout(folder, servers) as layout:
        with _opened(layout, flags or {}) as cluster:
            try:
                await _bring_up(cluster, BALANCERS[:balancers])
                yield cluster
            finally:
                await cluster.kill(*_running(cluster.fleet))


@contextlib.contextmanager
def _opened(layout: Layout, flags: Flags) -> Iterator[Cluster]:
    """Open the sockets of callers and operators."""
    write_key(layout.key_file)
    controls = [layout.control_at(number) for number in (1, 2, 3)]
    callers = Callers(layout, LIMIT)
    with make_calls(layout).opened() as calls, callers.open():
        client = ControlClient(calls, controls, CALL_TIMEOUT)
        yield Cluster(layout, Fleet(layout.folder), callers, client, flags)


def _running(fleet: Fleet) -> list[str]:
    for name in fleet.ended():
        fleet.process_by_name.pop(name)
    return list(fleet.process_by_name)


async def _bring_up(cluster: Cluster, balancers: tuple[str, ...]) -> None:
    await cluster.start(*CONTROLS)
    hosts = [server.host for server in cluster.layout.servers]
    for host in hosts:
        await cluster.start(f'{host}-server', host)
    await cluster.start(*balancers)
    if balancers:
        await cluster.start('fabric')
    await cluster.leader()
    await cluster.load_tables()
    if balancers:
        await cluster.spray_over(*balancers)
        await cluster.until_settled(*hosts)
        await cluster.until_in_force(*balancers, *hosts)


def daemon(*arguments: str) -> list[str]:
    """Return a command line of the daemon."""
    return [sys.executable, '-m', 'redwingstream.daemon', *arguments]
