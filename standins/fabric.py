"""Stand-in for the fabric: sprays callers' packets over the balancers.

Callers send to the service addresses.  Each packet goes to a balancer drawn at
random, behind a PROXY protocol v2 header, so the packets of one flow reach any
of them.  What the balancers send back leaves from the service's own socket.

The admin endpoint speaks CoAP: ``/balancers`` (GET, PUT; one ``IP:PORT`` a
line), ``/faults`` (GET, PUT; JSON of :class:`Faults`), ``/counters`` (GET).
"""

import argparse
import asyncio
import contextlib
import functools
import json
import random
from collections.abc import Callable, Iterator, Sequence

import aiocoap
import attrs
from absl import logging
from aiocoap.message import Message

from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import RedwingstreamError, WireError
from redwingstream.wire import coap, fabric
from redwingstream.wire.datagrams import DatagramSocket, open_datagrams
from standins import processes

MAX_DELAYED = 10000


@attrs.frozen
class Faults:
    """What the fabric does to packets, either way.

    Parameters
    ----------
    drop, duplicate : float
        Probability of each, 0 to 1.
    delay : float
        Longest delay in seconds; each packet waits a random part of it, so
        packets overtake each other.
    """

    drop: float = 0
    duplicate: float = 0
    delay: float = 0


@attrs.define
class Counters:
    """What passed the fabric since it started."""

    inbound: int = 0
    outbound: int = 0
    dropped: int = 0
    duplicated: int = 0
    malformed: int = 0
    unrouted: int = 0


class Fabric:
    """Sprays packets over balancers and takes answers to callers.

    Parameters
    ----------
    balancers : sequence of Endpoint
        Fabric sockets of the balancers.
    seed : int
        Of every random choice.
    """

    def __init__(self, balancers: Sequence[Endpoint], seed: int) -> None:
        self.balancers = tuple(balancers)
        self.faults = Faults()
        self.counters = Counters()
        self._random = random.Random(seed)
        self._delayed = 0
        self._inside: DatagramSocket | None = None
        self._socket_by_service: dict[Endpoint, DatagramSocket] = {}

    @contextlib.contextmanager
    def open(
        self, inside: Endpoint, services: Sequence[Endpoint]
    ) -> Iterator[tuple[Endpoint, ...]]:
        """Open the socket towards balancers and those of the services.

        Yields
        ------
        tuple of Endpoint
            Where the services really are; port 0 takes a free one.
        """
        with contextlib.ExitStack() as stack:
            self._inside = stack.enter_context(
                open_datagrams(inside, self.take_answer)
            )
            for service in services:
                stack.enter_context(self._open_service(service))
            yield tuple(self._socket_by_service)

    def take_request(
        self, service: Endpoint, payload: bytes, source: tuple[str, int]
    ) -> None:
        """Spray a caller's packet."""
        self.counters.inbound += 1
        way = fabric.AddressPair(Endpoint(*source), service)
        datagram = fabric.wrap_request(way, payload)
        self._with_faults(functools.partial(self._spray, datagram))

    def take_answer(self, datagram: bytes, source: tuple[str, int]) -> None:
        """Take a balancer's datagram to the caller."""
        try:
            way, payload = fabric.unwrap_answer(datagram)
        except WireError:
            self.counters.malformed += 1
            return
        outside = self._socket_by_service.get(way.service)
        if outside is None:
            self.counters.unrouted += 1
            return
        self.counters.outbound += 1
        target = way.caller.as_pair()
        self._with_faults(functools.partial(outside.send, payload, target))

    @contextlib.contextmanager
    def _open_service(self, service: Endpoint) -> Iterator[None]:
        bound: list[Endpoint] = []

        def receive(payload: bytes, source: tuple[str, int]) -> None:
            self.take_request(bound[0], payload, source)

        with open_datagrams(service, receive) as opened:
            bound.append(opened.endpoint)
            self._socket_by_service[opened.endpoint] = opened
            yield

    def _spray(self, datagram: bytes) -> None:
        if not self.balancers or self._inside is None:
            self.counters.unrouted += 1
            return
        balancer = self._random.choice(self.balancers)
        self._inside.send(datagram, balancer.as_pair())

    def _with_faults(self, send: Callable[[], None]) -> None:
        if self._happens(self.faults.drop):
            self.counters.dropped += 1
            return
        if self._happens(self.faults.duplicate):
            self.counters.duplicated += 1
            self._send_later(send)
        self._send_later(send)

    def _happens(self, probability: float) -> bool:
        return probability > 0 and self._random.random() < probability

    def _send_later(self, send: Callable[[], None]) -> None:
        if self.faults.delay <= 0 or self._delayed >= MAX_DELAYED:
            send()
            return
        self._delayed += 1
        wait = self._random.uniform(0, self.faults.delay)
        loop = asyncio.get_running_loop()
        loop.call_later(wait, self._send_delayed, send)

    def _send_delayed(self, send: Callable[[], None]) -> None:
        self._delayed -= 1
        send()


class Admin:
    """Answers the CoAP requests that change a running fabric.

    Parameters
    ----------
    controlled : Fabric
        The fabric that it changes.
    """

    def __init__(self, controlled: Fabric) -> None:
        self._fabric = controlled
        self.socket: DatagramSocket | None = None

    def take(self, payload: bytes, source: tuple[str, int]) -> None:
        """Answer one datagram."""
        try:
            request = coap.decode(payload)
        except WireError:
            return
        if self.socket is not None and coap.is_request(request):
            self.socket.send(coap.encode(self.answer(request)), source)

    def answer(self, request: Message) -> Message:
        """Carry out one request and return its response."""
        if request.code == aiocoap.PUT:
            try:
                self._put(request.opt.uri_path, request.payload)
            except (RedwingstreamError, ValueError, TypeError) as error:
                text = str(error).encode()
                return coap.reply_to(request, aiocoap.BAD_REQUEST, text)
            return coap.reply_to(request, coap.CHANGED)
        return coap.reply_to(
            request, coap.CONTENT, self._get(request.opt.uri_path)
        )

    def _put(self, path: tuple[str, ...], payload: bytes) -> None:
        match path:
            case ('balancers',):
                lines = payload.decode().split()
                self._fabric.balancers = tuple(map(parse_endpoint, lines))
            case ('faults',):
                self._fabric.faults = Faults(**json.loads(payload))
            case _:
                raise ValueError('PUT takes /balancers or /faults')
        logging.info('fabric: %s changed', path[0])

    def _get(self, path: tuple[str, ...]) -> bytes:
        match path:
            case ('balancers',):
                return '\n'.join(map(str, self._fabric.balancers)).encode()
            case ('faults',):
                return json.dumps(attrs.asdict(self._fabric.faults)).encode()
            case _:
                counters = attrs.asdict(self._fabric.counters)
                return json.dumps(counters).encode()


def read_flags(arguments: Sequence[str] | None = None) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog='standins.fabric')
    endpoint = {'type': parse_endpoint, 'metavar': 'IP:PORT'}
    parser.add_argument('--service', action='append', required=True, **endpoint)
    parser.add_argument('--balancer', action='append', default=[], **endpoint)
    parser.add_argument('--inside', required=True, **endpoint)
    parser.add_argument('--admin', **endpoint)
    parser.add_argument('--seed', type=int, default=0)
    for fault in attrs.fields(Faults):
        parser.add_argument(f'--{fault.name}', type=float, default=0)
    return parser.parse_args(arguments)


async def run(flags: argparse.Namespace) -> None:
    """Run the fabric until the process is asked to end."""
    sprayer = Fabric(flags.balancer, flags.seed)
    sprayer.faults = Faults(flags.drop, flags.duplicate, flags.delay)
    with contextlib.ExitStack() as stack:
        stack.enter_context(sprayer.open(flags.inside, flags.service))
        if flags.admin is not None:
            admin = Admin(sprayer)
            admin.socket = stack.enter_context(
                open_datagrams(flags.admin, admin.take)
            )
        logging.info('fabric: ready')
        await processes.wait_for_end()
    logging.info('fabric: %s', sprayer.counters)


if __name__ == '__main__':
    processes.set_up_logs()
    asyncio.run(run(read_flags()))
