"""A small site of the platform, started by the commands of the deploy file.

The platform, the operator and the callers are the project's own stand-ins.
"""

# A case is a sequence: one step is awaited after the other.
# flake8: noqa: WPS476

import asyncio
import contextlib
import os
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from pathlib import Path

import attrs

from standins.networks import reserved_network
from standins.packets.callers import CallerFlow, CallerSite, FlowEndedError
from standins.packets.header import ACK, RST, SYN, End, Packet
from standins.packets.servers import PacketServer
from standins.packets.settings import PACKET_PORT, Machine, write_settings
from standins.packets.site import (
    CALLERS,
    FRONT_MACHINES,
    NETWORKS,
    SETTINGS_VARIABLE,
    PacketSite,
    Plan,
)

HTTPS_PORT = 443
SERVICE = End('198.18.0.1', HTTPS_PORT)
PLAN = Plan(balancers=2, controls=2, servers_by_service={'feed': 3})
HAS_TROUBLE = os.environ.get('TROUBLE') != '0'
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LIMIT_SECONDS = 110
START_SECONDS = 30
RETRY_SECONDS = 0.1
# A caller ignores a reset that is farther from its last acknowledgement.
RESET_WINDOW = 76800
SEQUENCES = 0x100000000

MakeServer = Callable[[Machine, list], PacketServer]


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self._started_at = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(
            f'{time.monotonic() - self._started_at:8.3f} s  {text}'
        )


class Site(PacketSite):
    """A site that is started by the commands of the deploy file.

    Parameters
    ----------
    folder : Path
        For settings, disks and logs.
    network : int
        Second number of all addresses.
    make_server : callable
        Returns the stand-in of a server.
    """

    def __init__(
        self, folder: Path, network: int, make_server: MakeServer
    ) -> None:
        super().__init__(folder, network, PLAN)
        self.servers = [
            make_server(server.machine, self.runs) for server in self.servers
        ]

    async def start(self, role: str, machine: Machine) -> None:
        """Start a process of a machine."""
        name = f'{machine.name}-{role}'
        path = self.folder / f'{name}.conf'
        write_settings(path, machine, role, self.seeds)
        command = (sys.executable, '-S', 'platform/start.py', role)
        variables = {SETTINGS_VARIABLE: str(path), 'PYTHONPATH': 'target/deps'}
        await self.fleet.start(name, command, variables)


@attrs.define
class Watched:
    """A caller's flow, and what has come on it."""

    flow: CallerFlow
    end: End
    service: End
    acknowledged: int = 0
    reset_seq: int | None = None
    server: str = ''

    def take(self, packet: Packet) -> None:
        """Take a packet as the flow does, and remember what it says."""
        if packet.flags & RST:
            self.reset_seq = packet.seq
        elif packet.flags & (SYN | ACK) == SYN | ACK:
            self.acknowledged = packet.seq
        self.flow.take(packet)

    @property
    def is_reset(self) -> bool:
        """Whether a reset has come that the caller accepts."""
        if self.reset_seq is None:
            return False
        distance = (self.reset_seq - self.acknowledged) % SEQUENCES
        return min(distance, SEQUENCES - distance) <= RESET_WINDOW


async def open_flow(caller: CallerSite, service: End = SERVICE) -> Watched:
    """Open a flow that is watched."""
    flow = caller.flow(service)
    port = max(caller.flow_by_port)
    watched = Watched(flow, End(caller.host, port), service)
    caller.flow_by_port[port] = watched
    await flow.open()
    return watched


async def wait_served(caller: CallerSite, service: End = SERVICE) -> None:
    """Wait until a flow to a service is served."""
    end = time.monotonic() + START_SECONDS
    while time.monotonic() < end:
        with contextlib.suppress(FlowEndedError):
            watched = await open_flow(caller, service)
            await watched.flow.ask('start')
            watched.flow.close()
            return
        await asyncio.sleep(RETRY_SECONDS)
    raise TimeoutError('no flow was served')


@contextlib.asynccontextmanager
async def running_site(
    folder: Path, make_server: MakeServer
) -> AsyncIterator[Site]:
    """Run a site; every process is killed by its id at the end."""
    async with contextlib.AsyncExitStack() as stack:
        network = stack.enter_context(reserved_network(NETWORKS, _is_free))
        site = Site(folder, network, make_server)
        stack.push_async_callback(_kill_all, site)
        await site.start_all()
        for server in site.servers:
            await stack.enter_async_context(server.serving())
        for router in site.router_by_zone.values():
            await stack.enter_async_context(router.probing())
        for number, router in enumerate(site.router_by_zone.values(), start=1):
            caller = CallerSite(f'127.{network}.{number}.{CALLERS}', router)
            site.callers.append(await stack.enter_async_context(caller.open()))
        yield site


def run_case(
    folder: Path,
    play: Callable[[Site, Record], Awaitable[int]],
    make_server: MakeServer = PacketServer,
) -> int:
    """Play a case on a site in a temporary folder; write ``record.txt``.

    Returns
    -------
    int
        Exit status of the script.
    """
    record = Record()
    record.note(f'trouble: {HAS_TROUBLE}')
    status = CANNOT_RUN
    try:
        status = asyncio.run(_run(play, record, make_server))
    except Exception as error:  # the status 1 says that the rule was broken
        record.note(f'could not run: {type(error).__name__} {error}')
    record.note(f'exit status {status}')
    text = '\n'.join((*record.lines, ''))
    (folder / 'record.txt').write_text(text)
    return status


def log_lines(site: Site, name: str, events: Iterable[str]) -> list[str]:
    """Return the lines of a process's log with one of some events."""
    wanted = [f'"event":"{event}"' for event in events]
    return [
        line
        for line in site.log(name).splitlines()
        if any(event in line for event in wanted)
    ]


async def _run(
    play: Callable[[Site, Record], Awaitable[int]],
    record: Record,
    make_server: MakeServer,
) -> int:
    with tempfile.TemporaryDirectory() as folder:
        async with (
            asyncio.timeout(LIMIT_SECONDS),
            running_site(Path(folder), make_server) as site,
        ):
            return await play(site, record)


async def _kill_all(site: Site) -> None:
    await site.kill(*site.fleet.process_by_name)


def _is_free(network: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        try:
            sock.bind((f'127.{network}.1.{FRONT_MACHINES}', PACKET_PORT))
        except OSError:
            return False
    return True
