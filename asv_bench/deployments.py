"""The two deployments of the brief, as processes with stand-ins on loopback.

Hosts, slots and zones are those of the brief.  The fabric delays each packet by
up to the clients' distance; zones are not apart from each other here.
"""

import pathlib
import sys

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.tables.edits import (
    Edits,
    SetPool,
    SetRoute,
)
from redwingstream.tables.rows import Pool, Route

PEER_PORT = 7000
FABRIC_PORT = 7001
COAP_PORT = 5683
CONTROLS = 3
COLD_SECONDS = 3.0
BALANCERS = 3


@attrs.frozen
class PoolSize:
    """A pool as the brief sizes it.

    Parameters
    ----------
    name : str
        Of the pool.
    hosts : int
        Backend servers.
    """

    name: str
    hosts: int


@attrs.frozen
class Host:
    """A backend server with its agent."""

    name: str
    pool: str
    zone: str
    number: int


@attrs.frozen
class Deployment:
    """One user's deployment.

    Parameters
    ----------
    name : str
        Whose.
    zones : tuple of str
        Availability zones.
    pools : tuple of PoolSize
        The first one carries the feeds.
    slots : int
        Of each host.
    delay : float
        Clients' distance in seconds.
    feed : str
        Path of the feed.
    network : int
        Second number of every loopback address.
    """

    name: str
    zones: tuple[str, ...]
    pools: tuple[PoolSize, ...]
    slots: int
    delay: float
    feed: str
    network: int

    def hosts(self) -> list[Host]:
        """Return all hosts; those of a pool take turns in the zones."""
        made = []
        for pool in self.pools:
            for place in range(pool.hosts):
                zone = self.zones[place % len(self.zones)]
                name = f'{pool.name}-{place + 1}'
                made.append(Host(name, pool.name, zone, len(made) + 1))
        return made

    def at(self, kind: int, number: int, port: int) -> Endpoint:
        """Return the endpoint of a process."""
        return Endpoint(f'127.{self.network}.{kind}.{number}', port)

    def server_at(self, host: Host) -> Endpoint:
        """Return where a backend server is."""
        return self.at(4, host.number, COAP_PORT)

    def service_at(self, pool: str) -> Endpoint:
        """Return the service address of a pool."""
        names = [each.name for each in self.pools]
        return self.at(8, names.index(pool) + 1, COAP_PORT)

    def controls(self) -> list[Endpoint]:
        """Return the control instances."""
        numbers = range(1, CONTROLS + 1)
        return [self.at(1, number, PEER_PORT) for number in numbers]

    def edits(self) -> Edits:
        """Return the change that fills the tables."""
        names = [pool.name for pool in self.pools]
        return Edits(
            set_pools=tuple(
                SetPool(Pool(name, (f'{name}-*',))) for name in names
            ),
            set_routes=tuple(
                SetRoute(Route(str(self.service_at(name)), name))
                for name in names
            ),
        )


TAYSIDE = Deployment(
    name='Tayside',
    zones=('carse', 'strathmore', 'angus-glens', 'fife-north'),
    pools=(PoolSize('sward-live', 7), PoolSize('cover-reports', 4)),
    slots=2,
    delay=0.003,
    feed='feed',
    network=80,
)
CUYO = Deployment(
    name='Cuyo',
    zones=('godoy-cruz', 'lujan', 'maipu'),
    pools=(PoolSize('lot-desk', 7), PoolSize('map-press', 3)),
    slots=3,
    delay=0.001,
    feed='board',
    network=81,
)


@attrs.frozen
class Commands:
    """Command lines of a deployment's processes.

    Parameters
    ----------
    deployment : Deployment
        Which.
    folder : pathlib.Path
        For keys, data and logs.
    cold_seconds : float
        How long a backend server is cold after its start.
    """

    deployment: Deployment
    folder: pathlib.Path
    cold_seconds: float = COLD_SECONDS

    @property
    def key_file(self) -> pathlib.Path:
        """The key of all processes."""
        return self.folder / 'key'

    def system(self) -> dict[str, list[str]]:
        """Return all processes of the system, with fabric and servers."""
        commands = {'fabric': self._fabric(BALANCERS)}
        for number in range(1, CONTROLS + 1):
            commands[f'c{number}'] = self._control(number)
        for number in range(1, BALANCERS + 1):
            commands[f'b{number}'] = self._balancer(number)
        for host in self.deployment.hosts():
            commands[f'{host.name}-server'] = self.server(host)
            commands[host.name] = self.agent(host)
        return commands

    def plain(self) -> dict[str, list[str]]:
        """Return the baseline: one hashing process in place of the system."""
        commands = {'fabric': self._fabric(1), 'plain': self._plain()}
        for host in self.deployment.hosts():
            commands[f'{host.name}-server'] = self.server(host)
        return commands

    def server(self, host: Host) -> list[str]:
        """Return the command of a backend server."""
        return [
            sys.executable,
            '-m',
            'standins.backend',
            f'--host={host.name}',
            f'--endpoint={self.deployment.server_at(host)}',
            f'--slots={self.deployment.slots}',
            '--feed-period=0.5',
            '--report-size=32',
            '--drain-seconds=0.5',
            f'--cold-seconds={self.cold_seconds}',
        ]

    def agent(self, host: Host) -> list[str]:
        """Return the command of an agent."""
        return [
            *self._daemon('agent', host.name, host.zone),
            f'--endpoint={self.deployment.at(3, host.number, PEER_PORT)}',
            f'--server={self.deployment.server_at(host)}',
            f'--pool={host.pool}',
            f'--slots={self.deployment.slots}',
            f'--control={self._control_list()}',
        ]

    def _control(self, number: int) -> list[str]:
        replicas = ','.join(
            f'c{place}={endpoint}'
            for place, endpoint in enumerate(self.deployment.controls(), 1)
        )
        zone = self.deployment.zones[number % len(self.deployment.zones)]
        return [
            *self._daemon('control', f'c{number}', zone),
            f'--endpoint={self.deployment.at(1, number, PEER_PORT)}',
            f'--data-folder={self.folder / f"c{number}"}',
            f'--replicas={replicas}',
        ]

    def _balancer(self, number: int) -> list[str]:
        zone = self.deployment.zones[number % len(self.deployment.zones)]
        return [
            *self._daemon('balancer', f'b{number}', zone),
            f'--endpoint={self.deployment.at(2, number, PEER_PORT)}',
            f'--fabric-endpoint={self.deployment.at(2, number, FABRIC_PORT)}',
            f'--control={self._control_list()}',
        ]

    def _plain(self) -> list[str]:
        return [
            sys.executable,
            '-m',
            'asv_bench.plain_hashing',
            f'--endpoint={self.deployment.at(2, 1, FABRIC_PORT)}',
            f'--servers={self.folder / "servers.json"}',
        ]

    def _fabric(self, balancers: int) -> list[str]:
        names = [pool.name for pool in self.deployment.pools]
        services = [self.deployment.service_at(name) for name in names]
        numbers = range(1, balancers + 1)
        return [
            sys.executable,
            '-m',
            'standins.fabric',
            *(f'--service={service}' for service in services),
            *(
                f'--balancer={self.deployment.at(2, number, FABRIC_PORT)}'
                for number in numbers
            ),
            f'--inside={self.deployment.at(9, 1, FABRIC_PORT)}',
            f'--delay={self.deployment.delay}',
        ]

    def _daemon(self, role: str, host: str, zone: str) -> list[str]:
        return [
            sys.executable,
            '-m',
            'redwingstream.daemon',
            role,
            f'--host={host}',
            f'--zone={zone}',
            f'--key-file={self.key_file}',
        ]

    def _control_list(self) -> str:
        return ','.join(map(str, self.deployment.controls()))
