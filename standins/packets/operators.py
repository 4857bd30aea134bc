"""An operator of the configuration."""

import asyncio
import json
import time
from collections.abc import Iterable

import attrs

from standins.packets.calls import Answer, call
from standins.packets.settings import CONTROL_PORT

RETRY_SECONDS = 0.1


@attrs.frozen
class RouteText:
    """A route as an operator writes it."""

    host: str
    port: int
    service: str
    kind: str = 'idempotent'
    timeout_ms: int = 3000


def document(version: int, routes: Iterable[RouteText]) -> bytes:
    """Return a configuration."""
    listed = list(routes)
    services = sorted({route.service for route in listed})
    return json.dumps(
        {
            'version': version,
            'routes': [
                {
                    'name': f'r-{route.host}-{route.port}',
                    'host': route.host,
                    'path_prefix': f'/{route.port}/',
                    'type': route.kind,
                    'timeout_ms': route.timeout_ms,
                    'target_latency_ms': 200,
                    'priority': 1,
                    'service': route.service,
                    'max_attempts': 2,
                }
                for route in listed
            ],
            'services': [
                {
                    'name': service,
                    'health_path': '/health',
                    'max_connections': 2000,
                    'protocol': 'h1',
                    'tls': False,
                    'cold_start_s': 2.0,
                    'coldstart_per_s': 0.0,
                }
                for service in services
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 262144,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        },
    ).encode()


class PacketOperator:
    """An operator who knows some control instances.

    Parameters
    ----------
    hosts : iterable of str
        Their IP addresses.
    """

    def __init__(self, hosts: Iterable[str]) -> None:
        self.hosts = list(hosts)

    async def replace(self, body: bytes, seconds: float = 20) -> Answer:
        """Send a configuration until it has a clear answer."""
        return await self._until_clear(
            'POST', '/api/Config.Replace', body, seconds
        )

    async def read(self, seconds: float = 20) -> Answer:
        """Read the newest configuration."""
        return await self._until_clear('GET', '/api/Config.Read', b'', seconds)

    async def zone_out(self, zone: str, seconds: float = 20) -> Answer:
        """Take a zone out."""
        path = f'/api/Evacuations.Begin/{zone}'
        return await self._until_clear('POST', path, b'', seconds)

    async def zone_in(self, zone: str, seconds: float = 20) -> Answer:
        """Take it back in."""
        path = f'/api/Evacuations.Finish/{zone}'
        return await self._until_clear('POST', path, b'', seconds)

    async def _until_clear(
        self, method: str, path: str, body: bytes, seconds: float
    ) -> Answer:
        end = time.monotonic() + seconds
        answer = Answer(0)
        while time.monotonic() < end:
            for host in self.hosts:
                address = f'{host}:{CONTROL_PORT}'
                answer = await call(method, address, path, body)
                if answer.status and answer.status < 500:
                    return answer
            await asyncio.sleep(RETRY_SECONDS)
        return answer
