"""Callers, and the routers that spread their packets over balancers."""

import asyncio
import contextlib
import random
import socket
import time
from collections.abc import AsyncIterator, Callable, Iterable

import attrs

from standins.packets.calls import call
from standins.packets.header import (
    ACK,
    FIN,
    FULL_PACKET,
    RST,
    SYN,
    End,
    Packet,
    read_packet,
)
from standins.packets.settings import PACKET_PORT, READY_PORT

PROBE_SECONDS = 0.5
MISSES = 2
COPIES_AFTER = (0.2, 0.6)
PATIENCE = 1.4
FIRST_REPEAT = 0.2
MAX_REPEAT = 1.6
MAX_DATAGRAM = 2048
POLL = 0.02
WINDOW_PACKETS = 16
FIRST_SEQ = 2
SEQUENCES = 2**32
RESET_WINDOW = 76_800
"""Distance from a caller's last acknowledgement within which it accepts a reset
on an open flow, as the users' pages name it."""


class FlowEndedError(Exception):
    """A flow that did not open, was reset, or gave no answer in time.

    Parameters
    ----------
    reason : str
        ``not opened``, ``refused``, ``reset`` or ``deadline``.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Router:
    """Spreads the packets of a zone over the balancers that are in rotation.

    Parameters
    ----------
    balancers : iterable of str
        IP addresses of the zone's balancers.

    Attributes
    ----------
    nearest : list of Router
        Routers of the nearest zones.
    """

    def __init__(self, balancers: Iterable[str]) -> None:
        self.balancers = list(balancers)
        self.nearest: list[Router] = []
        self._misses_by_host: dict[str, int] = {}

    @property
    def ready(self) -> list[str]:
        """The zone's balancers that are in rotation."""
        return [
            host
            for host in self.balancers
            if self._misses_by_host.get(host, MISSES) < MISSES
        ]

    @property
    def rotation(self) -> list[str]:
        """The balancers that packets go to.

        All of the zone if fewer than half of them are in rotation; those of the
        nearest zones if none is.
        """
        ready = self.ready
        if not ready:
            elsewhere = [host for near in self.nearest for host in near.ready]
            return elsewhere or self.balancers
        few = 2 * len(ready) < len(self.balancers)
        return self.balancers if few else ready

    def choose(self, flow: tuple[End, End]) -> str:
        """Return the balancer of a flow."""
        rotation = self.rotation
        return rotation[hash(flow) % len(rotation)]

    def record_probe(self, host: str, *, is_ok: bool) -> None:
        """Record the answer of a balancer that was asked."""
        misses = self._misses_by_host.get(host, MISSES)
        self._misses_by_host[host] = 0 if is_ok else misses + 1

    async def probe(self) -> None:
        """Ask all balancers whether they are ready."""
        await asyncio.gather(*map(self._probe_one, self.balancers))

    @contextlib.asynccontextmanager
    async def probing(self) -> AsyncIterator[None]:
        """Ask them again and again until the end of the block."""
        task = asyncio.create_task(self._keep_probing())
        try:
            yield
        finally:
            task.cancel()

    async def _keep_probing(self) -> None:
        while True:
            await self.probe()
            await asyncio.sleep(PROBE_SECONDS)

    async def _probe_one(self, host: str) -> None:
        address = f'{host}:{READY_PORT}'
        answer = await call('GET', address, '/api/ready', seconds=PROBE_SECONDS)
        self.record_probe(host, is_ok=answer.is_ok)


@attrs.define
class CallerCounters:
    """What callers saw that must not be."""

    forged: int = 0
    resets_on_open: int = 0
    resets_ignored: int = 0

    @property
    def all_resets(self) -> int:
        """Resets that came while a flow was open, accepted or not."""
        return self.resets_on_open + self.resets_ignored


class CallerSite:
    """The socket of one caller's IP address, and its flows.

    Parameters
    ----------
    host : str
        The IP address.
    router : Router
        Takes the packets.
    """

    def __init__(self, host: str, router: Router) -> None:
        self.host = host
        self.router = router
        self.counters = CallerCounters()
        self.flow_by_port: dict[int, CallerFlow] = {}
        self._next_port = random.randrange(1024, 30000)
        self._sock: socket.socket | None = None

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator['CallerSite']:
        """Take packets until the end of the block."""
        loop = asyncio.get_running_loop()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            sock.bind((self.host, PACKET_PORT))
            self._sock = sock
            loop.add_reader(sock, self._read)
            try:
                yield self
            finally:
                loop.remove_reader(sock)
                self._sock = None

    def flow(self, service: End) -> 'CallerFlow':
        """Return a new flow to a service."""
        self._next_port += 1
        flow = CallerFlow(self, End(self.host, self._next_port), service)
        self.flow_by_port[self._next_port] = flow
        return flow

    def send(self, packet: Packet) -> None:
        """Hand a packet to the router."""
        target = (self.router.choose(packet.flow), PACKET_PORT)
        with contextlib.suppress(OSError):
            if self._sock is not None:
                self._sock.sendto(packet.pack(), target)

    def _read(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while self._sock is not None:
                self._take(self._sock.recv(MAX_DATAGRAM))

    def _take(self, datagram: bytes) -> None:
        received = read_packet(datagram)
        packet = received.packet
        is_reset = packet.flags & RST and not packet.data
        if not received.is_genuine and not is_reset:
            self.counters.forged += 1
            return
        flow = self.flow_by_port.get(packet.target.port)
        if flow is not None and flow.service == packet.source:
            flow.take(packet)


class CallerFlow:
    """One flow of a caller."""

    def __init__(self, site: CallerSite, end: End, service: End) -> None:
        self.service = service
        self.reset_at = float('inf')
        self._site = site
        self._end = end
        self._accepted: asyncio.Future[int] = _future()
        self._received = 0
        self._seq = 1
        self._answer_by_seq: dict[int, asyncio.Future[bytes]] = {}

    @property
    def name(self) -> str:
        """The flow as logs name it."""
        caller = f'{self._end.host}:{self._end.port}'
        return f'{caller}>{self.service.host}:{self.service.port}'

    @property
    def is_reset(self) -> bool:
        """Whether a reset has come; ``reset_at`` is the time of the first."""
        return self.reset_at < float('inf')

    @property
    def is_open(self) -> bool:
        """Whether a server has accepted it."""
        return self._accepted.done() and not self.is_reset

    async def open(self) -> None:
        """Open the flow; raise ``FlowEndedError`` when it does not open."""
        started = time.monotonic()
        for copy, after in enumerate((0, *COPIES_AFTER)):
            await self._wait_accepted(started + after)
            if self._accepted.done():
                break
            self._send_opening(copy)
        await self._wait_accepted(started + PATIENCE)
        if self.is_reset:
            raise FlowEndedError('refused')
        if not self._accepted.done():
            raise FlowEndedError('not opened')
        self._send(0, ACK)

    async def ask(self, request: str, seconds: float = 3) -> str:
        """Send a request and return its answer."""
        async with _deadline(seconds):
            self._seq += 1
            return await self.exchange(self._seq, request.encode())

    async def exchange(self, seq: int, data: bytes) -> str:
        """Send a packet until it is answered; return the answer."""
        answer: asyncio.Future[bytes] = _future()
        self._answer_by_seq[seq] = answer
        self._seq = max(self._seq, seq)
        async with _repeating(lambda: self._send(seq, ACK, data)):
            return (await self._answer_or_reset(answer)).decode()

    def close(self) -> None:
        """End the flow."""
        if self.is_open:
            self._send(self._seq + 1, ACK | FIN)
        self._site.flow_by_port.pop(self._end.port, None)

    def take(self, packet: Packet) -> None:
        """Take a packet."""
        if packet.flags & RST:
            self._take_reset(packet)
        elif packet.flags & (SYN | ACK) == SYN | ACK:
            self._take_accepting(packet)
        else:
            self._take_answer(packet)

    def _take_accepting(self, packet: Packet) -> None:
        if not self._accepted.done() and not self.is_reset:
            self._accepted.set_result(packet.seq)

    def _take_answer(self, packet: Packet) -> None:
        if packet.data and self._accepted.done():
            end = packet.seq + len(packet.data) - self._accepted.result()
            self._received = max(self._received, end % SEQUENCES)
        answer = self._answer_by_seq.get(packet.ack)
        if answer is not None and not answer.done():
            answer.set_result(packet.data)

    def _take_reset(self, packet: Packet) -> None:
        counters = self._site.counters
        if self._accepted.done():
            ack = self._accepted.result() + self._received
            if not _is_near(packet.seq, ack):
                counters.resets_ignored += 1
                return
            counters.resets_on_open += 1
        self.reset_at = min(self.reset_at, time.monotonic())

    async def _answer_or_reset(self, answer: 'asyncio.Future[bytes]') -> bytes:
        while not answer.done():
            if self.is_reset:
                raise FlowEndedError('reset')
            await asyncio.wait((answer,), timeout=POLL)
        return answer.result()

    async def _wait_accepted(self, until: float) -> None:
        while time.monotonic() < until and not self.is_reset:
            left = until - time.monotonic()
            await asyncio.wait((self._accepted,), timeout=min(left, POLL))
            if self._accepted.done():
                return

    def _send_opening(self, copy: int) -> None:
        self._site.send(Packet(self._end, self.service, 1, copy, SYN))

    def _send(self, seq: int, flags: int, data: bytes = b'') -> None:
        ack = (self._accepted.result() + self._received) % SEQUENCES
        self._site.send(Packet(self._end, self.service, seq, ack, flags, data))


def _is_near(seq: int, ack: int) -> bool:
    """Whether an open flow accepts a reset with a sequence number."""
    distance = (seq - ack) % SEQUENCES
    return min(distance, SEQUENCES - distance) <= RESET_WINDOW


async def upload(
    flow: CallerFlow, request: str, content: bytes, seconds: float = 3
) -> str:
    """Send full packets and then a request on a new flow; return its answer."""
    window = asyncio.Semaphore(WINDOW_PACKETS)
    offsets = range(0, len(content), FULL_PACKET)
    async with _deadline(seconds):
        await asyncio.gather(
            *(_send_part(flow, content, at, window) for at in offsets)
        )
        return await flow.exchange(FIRST_SEQ + len(content), request.encode())


async def _send_part(
    flow: CallerFlow, content: bytes, at: int, window: asyncio.Semaphore
) -> None:
    async with window:
        await flow.exchange(FIRST_SEQ + at, content[at : at + FULL_PACKET])


@contextlib.asynccontextmanager
async def _repeating(send: Callable[[], None]) -> AsyncIterator[None]:
    task = asyncio.create_task(_repeat(send))
    try:
        yield
    finally:
        task.cancel()


async def _repeat(send: Callable[[], None]) -> None:
    pause = FIRST_REPEAT
    while True:
        send()
        await asyncio.sleep(pause)
        pause = min(2 * pause, MAX_REPEAT)


@contextlib.asynccontextmanager
async def _deadline(seconds: float) -> AsyncIterator[None]:
    try:
        async with asyncio.timeout(seconds):
            yield
    except TimeoutError as error:
        raise FlowEndedError('deadline') from error


def _future() -> 'asyncio.Future[object]':
    return asyncio.get_running_loop().create_future()
