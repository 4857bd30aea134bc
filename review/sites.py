"""A small deployment for the scripts of the review.

The programs run with the commands of the deploy file; servers, callers and the
operator are the project's stand-ins.
"""

# A story over real processes: steps are awaited in order, also in loops.
# flake8: noqa: WPS432,WPS476

import asyncio
import contextlib
import os
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

from standins.networks import reserved_network
from standins.packets.callers import CallerSite, FlowEndedError
from standins.packets.header import End
from standins.packets.operators import RouteText, document
from standins.packets.servers import BEAT_SECONDS, RETRY_SECONDS, PacketServer
from standins.packets.settings import Machine, write_settings
from standins.packets.site import (
    CALLERS,
    NETWORKS,
    SETTINGS_VARIABLE,
    PacketSite,
    Plan,
    _is_free,
)

ROOT = Path(__file__).resolve().parents[1]
ROLES = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']

HELD = 0
BROKEN = 1
NOT_RUN = 2

START_SECONDS = 25
POLL_SECONDS = 0.005


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with the seconds since start.

    Parameters
    ----------
    path : Path
        The file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._started_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line; ``at`` is a time of the steady clock."""
        since = (at or time.monotonic()) - self._started_at
        self._file.write(f'{since:9.4f} {text}\n')
        self._file.flush()


class DeployedSite(PacketSite):
    """A site whose programs run with the commands of the deploy file."""

    async def start(self, role: str, machine: Machine) -> None:
        """Start a process of a machine."""
        name = f'{machine.name}-{role}'
        path = self.folder / f'{name}.conf'
        write_settings(path, machine, role, self.seeds)
        variables = {
            SETTINGS_VARIABLE: str(path),
            'PYTHONPATH': str(ROOT / 'target/deps'),
        }
        command = ROLES[role]['run'].split()
        await self.fleet.start(name, command, variables)

    async def start_fronts(self) -> None:
        """Start the programs of the front machines."""
        for front in self.fronts:
            await self.start('balancer', front)
            if front in self.controls:
                await self.start('control', front)


class ReportingServer(PacketServer):
    """A server that reports again soon when a report is not acknowledged."""

    async def _beat(self) -> None:
        while True:
            acknowledged = await self.report()
            pause = BEAT_SECONDS if acknowledged else RETRY_SECONDS
            await asyncio.sleep(pause)


@contextlib.asynccontextmanager
async def running_fronts(plan: Plan) -> AsyncIterator[DeployedSite]:
    """Run front machines, routers and callers; servers are started later."""
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        network = stack.enter_context(reserved_network(NETWORKS, _is_free))
        site = DeployedSite(folder, network, plan)
        site.servers = [
            ReportingServer(server.machine, site.runs)
            for server in site.servers
        ]
        stack.push_async_callback(_kill_all, site)
        await site.start_fronts()
        for router in site.router_by_zone.values():
            await stack.enter_async_context(router.probing())
        for number, zone_router in enumerate(
            site.router_by_zone.values(), start=1
        ):
            caller = CallerSite(
                f'127.{network}.{number}.{CALLERS}', zone_router
            )
            site.callers.append(await stack.enter_async_context(caller.open()))
        yield site


async def put_in_force(
    site: DeployedSite, version: int, *routes: RouteText
) -> None:
    """Send a configuration; raise ``CaseError`` if it is not acknowledged."""
    answer = await site.operator.replace(document(version, routes))
    if not answer.is_ok:
        raise CaseError(f'version {version} was answered {answer.status}')


async def serve_first_flow(site: DeployedSite, service: End) -> None:
    """Wait until a flow is accepted."""
    end = time.monotonic() + START_SECONDS
    while time.monotonic() < end:
        flow = site.callers[0].flow(service)
        with contextlib.suppress(FlowEndedError):
            await flow.open()
            flow.close()
            return
        await asyncio.sleep(0.1)
    raise CaseError('no flow was accepted')


async def until(holds: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait until something holds; raise ``CaseError`` if it never does."""
    end = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > end:
            raise CaseError(f'not seen within {seconds} s: {what}')
        await asyncio.sleep(POLL_SECONDS)


def is_troubled() -> bool:
    """Whether the disruption is to take place."""
    return os.environ.get('TROUBLE', '1') != '0'


def exit_code(case: Awaitable[bool], record: Record) -> int:
    """Run a case, which returns whether the rule was broken."""
    try:
        is_broken = asyncio.run(_run(case))
    except (CaseError, OSError, TimeoutError) as error:
        record.write(f'the case could not run: {error!r}')
        return NOT_RUN
    return BROKEN if is_broken else HELD


async def _run(case: Awaitable[bool]) -> bool:
    async with asyncio.timeout(110):
        return await case


async def _kill_all(site: DeployedSite) -> None:
    for process in site.fleet.process_by_name.values():
        with contextlib.suppress(ProcessLookupError):
            process.kill()
    for gone in site.fleet.process_by_name.values():
        await gone.wait()
