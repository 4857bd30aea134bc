"""A small site of the platform on loopback: machines and their processes."""

import asyncio
import contextlib
import signal
import socket
import sys
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import attrs

from demo.processes import Fleet
from standins.networks import reserved_network
from standins.packets.callers import CallerSite, Router
from standins.packets.operators import PacketOperator
from standins.packets.servers import PacketServer, Run
from standins.packets.settings import PACKET_PORT, Machine, write_settings

START = Path(__file__).parents[2] / 'platform' / 'start.py'
SETTINGS_VARIABLE = 'REDWINGSTREAM_SETTINGS'
# The demonstration and the other process tests use 127.8 to 127.249.
NETWORKS = range(1, 8)
FRONT_MACHINES = 10
SERVER_MACHINES = 40
CALLERS = 100


@attrs.frozen
class Plan:
    """How large a site is.

    Parameters
    ----------
    zones : tuple of str
        Its zones.
    balancers : int
        Front machines in each zone.
    disks : int
        How many of them have a disk, from the first one on.
    controls : int
        How many of them run a control instance, from the first one on.
    tolerated_losses : int
        How many machines with a disk may be lost at once.
    servers_by_service : dict
        Servers of each service, zone by zone in turn.
    link_mbps_by_zone : dict
        Rate in Mbit/s of the links of front machines, by zone; links of other
        zones have no stated rate.
    """

    zones: tuple[str, ...] = ('north', 'south', 'west')
    balancers: int = 1
    disks: int = 1
    controls: int = 1
    tolerated_losses: int = 1
    servers_by_service: dict[str, int] = attrs.field(
        factory=lambda: {'feed': 3}
    )
    link_mbps_by_zone: dict[str, float] = attrs.field(factory=dict)


class PacketSite:
    """Machines, their processes, servers, callers and an operator.

    Parameters
    ----------
    folder : Path
        For settings, disks and logs.
    network : int
        Second number of all addresses, ``127.N.zone.machine``.
    plan : Plan
        How large the site is.
    """

    def __init__(self, folder: Path, network: int, plan: Plan) -> None:
        self.plan = plan
        self.folder = folder
        self.network = network
        self.fleet = Fleet(folder)
        self.runs: list[Run] = []
        self.fronts = list(self._fronts())
        self.servers = [
            PacketServer(machine, self.runs) for machine in self._sides()
        ]
        self.controls = list(self._controls())
        self.router_by_zone = {
            zone: Router(
                front.host for front in self.fronts if front.zone == zone
            )
            for zone in plan.zones
        }
        for zone, router in self.router_by_zone.items():
            # All zones are equally far from each other.
            router.nearest = [
                other
                for name, other in self.router_by_zone.items()
                if name != zone
            ]
        self.operator = PacketOperator(
            control.host for control in self.controls
        )
        self.callers: list[CallerSite] = []

    @property
    def seeds(self) -> list[str]:
        """Addresses that the settings name."""
        return [control.host for control in self.controls[:3]]

    def agent_name(self, server: PacketServer) -> str:
        """Name of the process of the agent beside a server."""
        return f'{server.machine.name}-agent'

    async def start(self, role: str, machine: Machine) -> None:
        """Start a process of a machine."""
        name = f'{machine.name}-{role}'
        path = self.folder / f'{name}.conf'
        write_settings(path, machine, role, self.seeds)
        command = (sys.executable, str(START), role)
        await self.fleet.start(name, command, {SETTINGS_VARIABLE: str(path)})

    async def start_all(self) -> None:
        """Start every process, as the platform does for the first time."""
        for front in self.fronts:
            await self.start('balancer', front)
            if front in self.controls:
                await self.start('control', front)
        for server in self.servers:
            await self.start('agent', server.machine)

    async def restart(self, name: str) -> None:
        """Start a process again that has ended."""
        machine_name, _, role = name.rpartition('-')
        machine = next(
            machine
            for machine in (*self.fronts, *self._sides())
            if machine.name == machine_name
        )
        again = attrs.evolve(machine, is_first_start=False)
        await self.start(role, again)

    async def kill(self, *names: str) -> None:
        """Kill processes with SIGKILL and wait until they are gone."""
        gone = [self.fleet.process_by_name.pop(name) for name in names]
        for process in gone:
            process.kill()
        for process in gone:
            await process.wait()

    async def terminate(self, name: str, seconds: float = 6) -> int:
        """Ask a process to stop; return its exit code."""
        process = self.fleet.process_by_name.pop(name)
        process.terminate()
        async with asyncio.timeout(seconds):
            return await process.wait()

    def freeze(self, name: str) -> None:
        """Stop a process with SIGSTOP."""
        self.fleet.process_by_name[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on with SIGCONT."""
        self.fleet.process_by_name[name].send_signal(signal.SIGCONT)

    def log(self, name: str) -> str:
        """Return what a process has logged."""
        return self.fleet.log_of(name).read_text()

    def disk(self, machine: Machine) -> Path:
        """Return the disk of a machine."""
        assert machine.folder is not None
        return machine.folder

    def _controls(self) -> Iterator[Machine]:
        for zone in self.plan.zones:
            of_zone = [front for front in self.fronts if front.zone == zone]
            yield from of_zone[: self.plan.controls]

    def _fronts(self) -> Iterator[Machine]:
        losses = self.plan.tolerated_losses
        for number, zone in enumerate(self.plan.zones, start=1):
            for place in range(self.plan.balancers):
                host = f'127.{self.network}.{number}.{FRONT_MACHINES + place}'
                name = f'front-{zone}-{place + 1}'
                has_disk = place < self.plan.disks
                disk = self.folder / f'{name}-disk' if has_disk else None
                yield Machine(
                    name,
                    host,
                    zone,
                    folder=disk,
                    tolerated_losses=losses,
                    link_mbps=self.plan.link_mbps_by_zone.get(zone, 0),
                )

    def _sides(self) -> Iterator[Machine]:
        place = SERVER_MACHINES
        for service, count in self.plan.servers_by_service.items():
            for number in range(count):
                place += 1
                zone = number % len(self.plan.zones)
                host = f'127.{self.network}.{zone + 1}.{place}'
                name = f'side-{service}-{number + 1}'
                yield Machine(name, host, self.plan.zones[zone], service)


@contextlib.asynccontextmanager
async def running_site(
    folder: Path, plan: Plan | None = None
) -> AsyncIterator[PacketSite]:
    """Run a site for as long as the block lasts.

    Every process is killed by its id at the end.
    """
    async with contextlib.AsyncExitStack() as stack:
        network = stack.enter_context(reserved_network(NETWORKS, _is_free))
        site = PacketSite(folder, network, plan or Plan())
        stack.push_async_callback(_kill_all, site)
        await site.start_all()
        for server in site.servers:
            await stack.enter_async_context(server.serving())
        for router in site.router_by_zone.values():
            await stack.enter_async_context(router.probing())
        for caller in _caller_sites(site):
            site.callers.append(await stack.enter_async_context(caller.open()))
        yield site


def _caller_sites(site: PacketSite) -> Iterator[CallerSite]:
    for number, router in enumerate(site.router_by_zone.values(), start=1):
        yield CallerSite(f'127.{site.network}.{number}.{CALLERS}', router)


async def _kill_all(site: PacketSite) -> None:
    names = list(site.fleet.process_by_name)
    for name in names:
        site.fleet.process_by_name[name].send_signal(signal.SIGCONT)
    await site.kill(*names)


def _is_free(network: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        try:
            sock.bind((f'127.{network}.1.{FRONT_MACHINES}', PACKET_PORT))
        except OSError:
            return False
    return True
