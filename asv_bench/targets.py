"""What is measured: the system, or plain hashing in its place."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

import attrs

from asv_bench.deployments import Commands, Host
from demo.processes import Fleet
from redwingstream.operators.client import ControlClient
from redwingstream.tables.edits import (
    Edits,
    SetZone,
)
from redwingstream.tables.rows import ZoneMark
from redwingstream.wire.calls import MAX_CALL_SIZE, CallClient
from redwingstream.wire.frames import FrameCodec

MEMBERS_SECONDS = 25
CALL_SECONDS = 10
POLL = 0.2


class SystemTarget:
    """The system under operators who use its own calls.

    Parameters
    ----------
    commands : Commands
        Its processes.
    """

    name = 'redwingstream'

    def __init__(self, commands: Commands) -> None:
        self.deployment = commands.deployment
        self._commands = commands
        self._client: ControlClient | None = None

    def commands(self) -> dict[str, list[str]]:
        """Return the processes to start."""
        return self._commands.system()

    @contextlib.asynccontextmanager
    async def opened(self, fleet: Fleet) -> AsyncIterator[None]:
        """Load the tables and wait until every agent is in a view."""
        key = self._commands.key_file.read_bytes().strip()
        calls = CallClient(FrameCodec(key, MAX_CALL_SIZE))
        with calls.opened():
            controls = self.deployment.controls()
            self._client = ControlClient(calls, controls, MEMBERS_SECONDS)
            await self._change(self.deployment.edits())
            await self._wait_for({host.name for host in self._hosts()})
            yield

    async def mark_zone(self, zone: str, *, out: bool) -> None:
        """Mark a zone out or back in."""
        await self._change(Edits(set_zones=(SetZone(ZoneMark(zone, out)),)))

    async def stop_host(self, host: Host, fleet: Fleet) -> None:
        """Stop a host as its platform does: agent first, then the server."""
        await fleet.end(host.name)
        await fleet.end(f'{host.name}-server')

    async def start_host(self, host: Host, fleet: Fleet) -> None:
        """Start a host again; its server is cold."""
        server = self._commands.server(host)
        await fleet.start(f'{host.name}-server', server)
        await fleet.start(host.name, self._commands.agent(host))

    def _hosts(self) -> list[Host]:
        return self.deployment.hosts()

    async def _change(self, edits: Edits) -> None:
        read = await self._client.read_tables()
        await self._client.change(edits, read.config_revision, force=True)

    async def _wait_for(self, hosts: set[str]) -> None:
        async with asyncio.timeout(MEMBERS_SECONDS):
            while not hosts <= await self._settled_hosts():
                await asyncio.sleep(POLL)

    async def _settled_hosts(self) -> set[str]:
        read = await self._client.read_tables()
        return {
            member.host
            for view in read.update.views
            if not view.unsettled
            for member in view.members
        }


class PlainTarget:
    """Plain hashing whose operators keep its list by hand, at once.

    Parameters
    ----------
    commands : Commands
        Its processes.
    """

    name = 'plain hashing'

    def __init__(self, commands: Commands) -> None:
        self.deployment = commands.deployment
        self._commands = commands
        self._gone: set[str] = set()
        self._zones_out: set[str] = set()

    def commands(self) -> dict[str, list[str]]:
        """Return the processes to start."""
        self._write()
        return self._commands.plain()

    @contextlib.asynccontextmanager
    async def opened(self, fleet: Fleet) -> AsyncIterator[None]:
        """Wait until everything has started."""
        await asyncio.sleep(3)
        yield

    async def mark_zone(self, zone: str, *, out: bool) -> None:
        """Take a zone's servers out of the list, or put them back."""
        if out:
            self._zones_out.add(zone)
        else:
            self._zones_out.discard(zone)
        self._write()

    async def stop_host(self, host: Host, fleet: Fleet) -> None:
        """Take a host out of the list, then let its server drain."""
        self._gone.add(host.name)
        self._write()
        await asyncio.sleep(1)
        await fleet.end(f'{host.name}-server')

    async def start_host(self, host: Host, fleet: Fleet) -> None:
        """Start a server, then put it on the list."""
        server = self._commands.server(host)
        await fleet.start(f'{host.name}-server', server)
        await asyncio.sleep(1)
        self._gone.discard(host.name)
        self._write()

    def _write(self) -> None:
        servers: dict[str, list[str]] = {}
        for host in self.deployment.hosts():
            if host.name in self._gone or host.zone in self._zones_out:
                continue
            service = str(self.deployment.service_at(host.pool))
            endpoint = str(self.deployment.server_at(host))
            servers.setdefault(service, []).append(endpoint)
        path = self._commands.folder / 'servers.json'
        path.write_text(json.dumps(servers))


class WarmPlainTarget(PlainTarget):
    """Plain hashing over servers that are never cold.

    Without admission cold servers fall over, and their feeds with them; this
    one shows what is missing without handoff alone.

    Parameters
    ----------
    commands : Commands
        Its processes.
    """

    name = 'plain hashing, servers never cold'

    def __init__(self, commands: Commands) -> None:
        super().__init__(attrs.evolve(commands, cold_seconds=0))
