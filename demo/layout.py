"""Addresses and command lines of Tayside in small.

Every process has a loopback address of its own, ``127.NET.KIND.NUMBER``.  The
first network is taken in which every port is free, so that two demonstrations
can run beside each other.
"""

import contextlib
import pathlib
import socket
import sys
from collections.abc import Iterator

import attrs

from redwingstream.endpoints import Endpoint

NETWORKS = range(20, 60)  # noqa: WPS432
PEER_PORT = 7000
FABRIC_PORT = 7001
ADMIN_PORT = 7002
COAP_PORT = 5683
CALLER_PORT = 40000
CALLERS = 24

CONTROL_KIND = 1
BALANCER_KIND = 2
AGENT_KIND = 3
SERVER_KIND = 4
SERVICE_KIND = 8
FABRIC_KIND = 9
CALLER_KIND = 10

SWARD = 'sward-live'
COVER = 'cover-reports'
CONTROLS = ('c1', 'c2', 'c3')
BALANCERS = ('b1', 'b2', 'b3')
ZONES = ('carse', 'strathmore')

TABLES = """\
[[pools]]
name = "sward-live"
admits = ["sward-*"]

[[pools]]
name = "cover-reports"
admits = ["cover-*"]

[[routes]]
service = "{sward}"
pool = "sward-live"

[[routes]]
service = "{cover}"
pool = "cover-reports"
"""


@attrs.frozen
class Server:
    """A backend server with the agent beside it."""

    host: str
    pool: str
    zone: str
    number: int


SERVERS = (
    Server('sward-1', SWARD, 'carse', 1),
    Server('sward-2', SWARD, 'strathmore', 2),
    Server('cover-1', COVER, 'carse', 3),
    Server('cover-2', COVER, 'strathmore', 4),
)


@attrs.frozen
class Layout:
    """Where everything is.

    Parameters
    ----------
    network : int
        Second number of every address.
    folder : pathlib.Path
        For data, logs, the key and the counted runs.
    servers : tuple of Server
        The backend servers, each with its agent.
    """

    network: int
    folder: pathlib.Path
    servers: tuple[Server, ...] = SERVERS

    @property
    def key_file(self) -> pathlib.Path:
        """The key of all processes."""
        return self.folder / 'key'

    @property
    def control(self) -> str:
        """The control instances as the settings take them."""
        return ','.join(str(self.control_at(number)) for number in (1, 2, 3))

    @property
    def services(self) -> dict[str, Endpoint]:
        """Service address by pool."""
        return {
            SWARD: self._at(SERVICE_KIND, 1, COAP_PORT),
            COVER: self._at(SERVICE_KIND, 2, COAP_PORT),
        }

    def control_at(self, number: int) -> Endpoint:
        """Return where a control instance is."""
        return self._at(CONTROL_KIND, number, PEER_PORT)

    def server_at(self, server: Server) -> Endpoint:
        """Return where a backend server takes CoAP."""
        return self._at(SERVER_KIND, server.number, COAP_PORT)

    def caller_at(self, number: int) -> Endpoint:
        """Return the address of a caller."""
        return self._at(CALLER_KIND, number, CALLER_PORT)

    def runs_file(self, server: Server) -> pathlib.Path:
        """Return where a backend server notes what it has run."""
        return self.folder / f'{server.host}.runs'

    def commands(self) -> dict[str, list[str]]:
        """Return the command line of each process by its name."""
        command_by_name = {'fabric': self._fabric()}
        for number, host in enumerate(CONTROLS, start=1):
            command_by_name[host] = self._control(number, host)
        for number, host in enumerate(BALANCERS, start=1):
            command_by_name[host] = self._balancer(number, host)
        for server in self.servers:
            command_by_name[f'{server.host}-server'] = self._server(server)
            command_by_name[server.host] = self._agent(server)
        return command_by_name

    def endpoints(self) -> Iterator[Endpoint]:
        """Return every endpoint that a process binds."""
        yield from self._endpoints_of_servers()
        yield from self.services.values()
        yield self._at(FABRIC_KIND, 1, FABRIC_PORT)
        yield self._at(FABRIC_KIND, 1, ADMIN_PORT)
        for caller in range(1, CALLERS + 1):
            yield self.caller_at(caller)

    def _endpoints_of_servers(self) -> Iterator[Endpoint]:
        for number in (1, 2, 3):
            yield self.control_at(number)
            yield self._at(BALANCER_KIND, number, PEER_PORT)
            yield self._at(BALANCER_KIND, number, FABRIC_PORT)
        for server in self.servers:
            yield self._at(AGENT_KIND, server.number, PEER_PORT)
            yield self.server_at(server)

    def _at(self, kind: int, number: int, port: int) -> Endpoint:
        return Endpoint(f'127.{self.network}.{kind}.{number}', port)

    def _control(self, number: int, host: str) -> list[str]:
        replicas = ','.join(
            f'{name}={self.control_at(place)}'
            for place, name in enumerate(CONTROLS, start=1)
        )
        return [
            *_daemon('control', host, ZONES[number % len(ZONES)]),
            f'--endpoint={self.control_at(number)}',
            f'--data-folder={self.folder / host}',
            f'--replicas={replicas}',
            f'--key-file={self.key_file}',
        ]

    def _balancer(self, number: int, host: str) -> list[str]:
        return [
            *_daemon('balancer', host, ZONES[number % len(ZONES)]),
            f'--endpoint={self._at(BALANCER_KIND, number, PEER_PORT)}',
            f'--fabric-endpoint={self._at(BALANCER_KIND, number, FABRIC_PORT)}',
            f'--control={self.control}',
            f'--key-file={self.key_file}',
        ]

    def _agent(self, server: Server) -> list[str]:
        return [
            *_daemon('agent', server.host, server.zone),
            f'--endpoint={self._at(AGENT_KIND, server.number, PEER_PORT)}',
            f'--server={self.server_at(server)}',
            f'--pool={server.pool}',
            '--weight=100',
            f'--control={self.control}',
            f'--key-file={self.key_file}',
        ]

    def _server(self, server: Server) -> list[str]:
        return [
            sys.executable,
            '-m',
            'standins.backend',
            f'--host={server.host}',
            f'--endpoint={self.server_at(server)}',
            f'--runs-file={self.runs_file(server)}',
            '--feed-period=0.5',
            '--drain-seconds=0.5',
        ]

    def _fabric(self) -> list[str]:
        services = self.services.values()
        balancers = [
            self._at(BALANCER_KIND, number, FABRIC_PORT) for number in (1, 2, 3)
        ]
        return [
            sys.executable,
            '-m',
            'standins.fabric',
            *(f'--service={service}' for service in services),
            *(f'--balancer={balancer}' for balancer in balancers),
            f'--inside={self._at(FABRIC_KIND, 1, FABRIC_PORT)}',
            f'--admin={self._at(FABRIC_KIND, 1, ADMIN_PORT)}',
        ]


def tables_text(layout: Layout) -> str:
    """Return the file of tables for the operators' tool."""
    services = layout.services
    return TABLES.format(sward=services[SWARD], cover=services[COVER])


def find_layout(folder: pathlib.Path) -> Layout:
    """Return a layout whose ports are all free.

    Raises
    ------
    OSError
        When no network is free.
    """
    for network in NETWORKS:
        layout = Layout(network, folder)
        if is_free(layout):
            return layout
    raise OSError('no network from 127.20 to 127.59 has all ports free')


def is_free(layout: Layout) -> bool:
    """Return whether every endpoint of a layout can be bound."""
    return all(map(_can_be_bound, layout.endpoints()))


def _daemon(role: str, host: str, zone: str) -> list[str]:
    command = [sys.executable, '-m', 'redwingstream.daemon', role]
    return [*command, f'--host={host}', f'--zone={zone}']


def _can_be_bound(endpoint: Endpoint) -> bool:
    with contextlib.ExitStack() as stack:
        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
            probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
            try:
                probe.bind(endpoint.as_pair())
            except OSError:
                return False
    return True
