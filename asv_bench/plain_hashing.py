"""Baseline for the measures: hashing over a list of servers, nothing else.

One process, so that the packets of a flow meet at one place whatever the fabric
does.  It hashes caller and service over the servers of its list: no handoff,
no admission, no memory of flows.  The list is a JSON file, server endpoints by
service, read again when it changes.
"""

import argparse
import asyncio
import contextlib
import functools
import json
import pathlib

import xxhash

from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import WireError
from redwingstream.wire import fabric
from redwingstream.wire.datagrams import DatagramSocket, open_datagrams
from standins import processes

POLL = 0.1

LinkName = tuple[fabric.AddressPair, str]


class PlainHashing:
    """Forwards by hash.

    Parameters
    ----------
    servers : pathlib.Path
        The list of servers by service.
    host : str
        Address from which servers are spoken to.
    stack : contextlib.ExitStack
        Holds the sockets open.
    """

    def __init__(
        self, servers: pathlib.Path, host: str, stack: contextlib.ExitStack
    ) -> None:
        self._path = servers
        self._host = host
        self._stack = stack
        self._servers_by_service: dict[str, list[str]] = {}
        self._link_by_name: dict[LinkName, DatagramSocket] = {}
        self._fabric: tuple[str, int] | None = None
        self.inside: DatagramSocket | None = None

    def take(self, datagram: bytes, source: tuple[str, int]) -> None:
        """Send a caller's packet to the server that the hash gives."""
        try:
            way, payload = fabric.unwrap(datagram)
        except WireError:
            return
        self._fabric = source
        servers = self._servers_by_service.get(str(way.service), [])
        if servers:
            digest = xxhash.xxh3_64_intdigest(
                f'{way.caller}|{way.service}'.encode()
            )
            server = servers[digest % len(servers)]
            link = self._link(way, server)
            link.send(payload, parse_endpoint(server).as_pair())

    async def follow(self) -> None:
        """Read the list again and again."""
        while True:
            with contextlib.suppress(OSError, ValueError):
                self._servers_by_service = json.loads(self._path.read_text())
            await asyncio.sleep(POLL)

    def _link(self, way: fabric.AddressPair, server: str) -> DatagramSocket:
        name = (way, server)
        link = self._link_by_name.get(name)
        if link is None:
            answer = functools.partial(self._answer, way)
            opened = open_datagrams(Endpoint(self._host, 0), answer)
            link = self._stack.enter_context(opened)
            self._link_by_name[name] = link
        return link

    def _answer(
        self, way: fabric.AddressPair, payload: bytes, source: tuple[str, int]
    ) -> None:
        if self.inside is not None and self._fabric is not None:
            self.inside.send(fabric.wrap(way, payload), self._fabric)


async def run(flags: argparse.Namespace) -> None:
    """Forward until the process is asked to end."""
    with contextlib.ExitStack() as stack:
        plain = PlainHashing(flags.servers, flags.endpoint.host, stack)
        opened = open_datagrams(flags.endpoint, plain.take)
        plain.inside = stack.enter_context(opened)
        following = asyncio.create_task(plain.follow())
        await processes.wait_for_end()
        following.cancel()


def read_flags() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog='asv_bench.plain_hashing')
    parser.add_argument('--endpoint', type=parse_endpoint, required=True)
    parser.add_argument('--servers', type=pathlib.Path, required=True)
    return parser.parse_args()


if __name__ == '__main__':
    processes.set_up_logs()
    asyncio.run(run(read_flags()))
