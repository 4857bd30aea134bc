"""Carries faults out, from outside the programs."""

import asyncio
import contextlib
import resource
import shutil
import time
from collections.abc import AsyncIterator, Iterable, Iterator

import attrs

from soak import faults
from soak.plan import Planned
from soak.proxy import Proxy
from standins.packets.servers import PacketServer
from standins.packets.site import PacketSite

STOP_SECONDS = 8.0
"""A process that was asked to stop has ended by then; its grace is 6 s."""

START_SECONDS = 3.0
"""A process that has just been started may end before it takes signals."""

AGENT_DOWN_SECONDS = 0.3
AGENT_START_SECONDS = 0.5
"""Seconds from the start of an agent until a balancer goes on beside it."""

LEAVING_SECONDS = 1.0
"""Seconds from a server's announcement that it leaves until it is gone; its
open flows stay in use until then."""

ZONE_OUT_SECONDS = 5.0
"""A zone stays out for so much longer, so that the promise can be looked at."""


@attrs.define
class Span:
    """Something that lasted.

    Parameters
    ----------
    name : str
        The zone, the run of a server, or the fault.
    begun_at, ended_at : float
        From when to when; a zone counts as out from the acknowledgement on.
    """

    name: str
    begun_at: float
    ended_at: float = float('inf')


@attrs.define
class Spans:
    """What lasted how long during a run."""

    zones_out: list[Span] = attrs.field(factory=list)
    draining: list[Span] = attrs.field(factory=list)
    disturbed: list[Span] = attrs.field(factory=list)


_ProcessFault = (
    faults.Kill
    | faults.Pause
    | faults.Stop
    | faults.ThawBesideRestart
    | faults.LoseDisk
    | faults.FillDisk
)


class Injector:
    """Strikes a site with planned faults.

    Parameters
    ----------
    site : PacketSite
        The site.
    proxies : iterable of Proxy
        Between the operator and the control instances.
    """

    def __init__(self, site: PacketSite, proxies: Iterable[Proxy]) -> None:
        self.spans = Spans()
        self.exit_codes: list[tuple[str, int]] = []
        self._site = site
        self._proxies = tuple(proxies)
        self._busy: set[str] = set()
        self._up_by: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def striking(self, planned: Iterable[Planned]) -> AsyncIterator[None]:
        """Strike as planned; at the end of the block all is mended."""
        task = asyncio.create_task(self._strike_all(planned))
        yield
        await task
        await asyncio.gather(*self._tasks)

    async def _strike_all(self, planned: Iterable[Planned]) -> None:
        begun = time.monotonic()
        for one in planned:
            await asyncio.sleep(max(0, begun + one.at - time.monotonic()))
            print(f'{one.at:8.3f} s  {one.fault}', flush=True)  # noqa: WPS421
            task = asyncio.create_task(self._strike(one.fault))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _strike(self, fault: faults.Fault) -> None:
        match fault:
            case faults.KillAll(lasts=lasts):
                with _lasting('all killed', self.spans.disturbed):
                    await self._kill_all(lasts)
            case (
                faults.RestartServer()
                | faults.ReportLate()
                | faults.LosePower()
                | faults.DrainServer()
            ):
                await self._strike_server(fault)
            case faults.TakeZoneOut(zone=name, lasts=lasts):
                await self._take_out(name, lasts)
            case faults.DisturbCalls(how=how, lasts=lasts):
                await _disturb(self._proxies, how, lasts)
            case _:
                with _lasting(fault.process, self.spans.disturbed):
                    await self._strike_process(fault)

    async def _strike_server(
        self,
        fault: (
            faults.RestartServer
            | faults.ReportLate
            | faults.LosePower
            | faults.DrainServer
        ),
    ) -> None:
        server = self._site.servers[fault.server]
        match fault:
            case faults.RestartServer():
                await _begin_anew(server)
            case faults.ReportLate(lasts=lasts):
                await _report_late(server, lasts)
            case faults.LosePower(lasts=lasts):
                await self._lose_power(server, lasts)
            case faults.DrainServer(lasts=lasts):
                await self._drain(server, lasts)

    async def _strike_process(self, fault: _ProcessFault) -> None:
        name = fault.process
        if name in self._busy:
            return
        self._busy.add(name)
        match fault:
            case faults.Kill(lasts=lasts):
                await self._kill((name,), lasts)
            case faults.Pause(lasts=lasts):
                self._site.freeze(name)
                await asyncio.sleep(lasts)
                self._site.thaw(name)
            case faults.Stop():
                await self._stop(name)
            case faults.ThawBesideRestart():
                await self._thaw_beside_restart(fault)
            case faults.LoseDisk() | faults.FillDisk():
                await self._strike_disk(fault)
        self._busy.discard(name)

    async def _kill(self, names: tuple[str, ...], lasts: float) -> None:
        await self._site.kill(*names)
        await asyncio.sleep(lasts)
        for name in names:
            await self._restart(name)

    async def _stop(self, name: str) -> None:
        is_up = time.monotonic() > self._up_by.get(name, 0)
        code = await self._site.terminate(name, STOP_SECONDS)
        if is_up:
            self.exit_codes.append((name, code))
        await self._restart(name)

    async def _restart(self, name: str) -> None:
        self._up_by[name] = time.monotonic() + START_SECONDS
        await self._site.restart(name)

    async def _kill_all(self, lasts: float) -> None:
        names = set(self._site.fleet.process_by_name) - self._busy
        self._busy |= names
        await self._kill(tuple(sorted(names)), lasts)
        self._busy -= names

    async def _lose_power(self, server: PacketServer, lasts: float) -> None:
        name = self._site.agent_name(server)
        if name in self._busy:
            return
        self._busy.add(name)
        with _lasting(name, self.spans.disturbed):
            await self._kill((name,), lasts)
            await _begin_anew(server)
        self._busy.discard(name)

    async def _thaw_beside_restart(
        self, fault: faults.ThawBesideRestart
    ) -> None:
        self._site.freeze(fault.process)
        await asyncio.sleep(fault.lasts)
        if fault.agent not in self._busy:
            self._busy.add(fault.agent)
            await self._kill((fault.agent,), AGENT_DOWN_SECONDS)
            await asyncio.sleep(AGENT_START_SECONDS)
            self._busy.discard(fault.agent)
        self._site.thaw(fault.process)

    async def _strike_disk(
        self, fault: faults.LoseDisk | faults.FillDisk
    ) -> None:
        match fault:
            case faults.LoseDisk(process=name, lasts=lasts):
                await self._lose_disk(name, lasts)
            case faults.FillDisk(process=name, lasts=lasts):
                process = self._site.fleet.process_by_name[name]
                await _fill_disk(process.pid, lasts)

    async def _lose_disk(self, name: str, lasts: float) -> None:
        machine = next(
            control
            for control in self._site.controls
            if name == f'{control.name}-control'
        )
        await self._site.kill(name)
        shutil.rmtree(self._site.disk(machine), ignore_errors=True)
        await asyncio.sleep(lasts)
        await self._restart(name)

    async def _drain(self, server: PacketServer, lasts: float) -> None:
        name = server.name
        server.state = 'draining'
        if await server.report():
            with _lasting(name, self.spans.draining):
                await asyncio.sleep(lasts)
        if server.name == name:
            # It leaves; another run of it comes at its address.
            server.is_silent = True
            await server.leave()
            await asyncio.sleep(LEAVING_SECONDS)
            server.is_silent = False
        if server.name == name:
            await _begin_anew(server)

    async def _take_out(self, name: str, lasts: float) -> None:
        if name in self._busy:
            return
        self._busy.add(name)
        answer = await self._site.operator.zone_out(name)
        if answer.status == 200:
            with _lasting(name, self.spans.zones_out):
                await asyncio.sleep(lasts + ZONE_OUT_SECONDS)
        await self._site.operator.zone_in(name, STOP_SECONDS * 2)
        self._busy.discard(name)


@contextlib.contextmanager
def _lasting(name: str, spans: list[Span]) -> Iterator[None]:
    span = Span(name, time.monotonic())
    spans.append(span)
    yield
    span.ended_at = time.monotonic()


async def _disturb(proxies: tuple[Proxy, ...], how: str, lasts: float) -> None:
    for proxy in proxies:
        proxy.how = how
    await asyncio.sleep(lasts)
    for undisturbed in proxies:
        undisturbed.how = ''


async def _fill_disk(pid: int, lasts: float) -> None:
    # A limit on the size of files, which a process may be given from outside,
    # fails its writes as a full disk does.
    _limit_files(pid, 0)
    await asyncio.sleep(lasts)
    _limit_files(pid, resource.RLIM_INFINITY)


def _limit_files(pid: int, size: int) -> None:
    _, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, hard))


async def _begin_anew(server: PacketServer) -> None:
    server.restart()
    await server.report()


async def _report_late(server: PacketServer, lasts: float) -> None:
    """Begin anew with the first report after some seconds."""
    server.is_silent = True
    server.restart()
    name = server.name
    await asyncio.sleep(lasts)
    if server.name == name:
        server.is_silent = False
        await server.report()
