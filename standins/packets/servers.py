"""A backend server beside an agent."""

import asyncio
import contextlib
import json
import random
import socket
import time
import zlib
from collections.abc import AsyncIterator

import attrs

from standins.packets.calls import call
from standins.packets.header import (
    ACK,
    BOUNCED,
    FIN,
    FULL_PACKET,
    SYN,
    End,
    Packet,
    read_packet,
)
from standins.packets.settings import (
    APP_PORT,
    CONTROL_PORT,
    OUTBOUND_PORT,
    Machine,
)

BEAT_SECONDS = 1.2
RETRY_SECONDS = 0.2
COLD_SECONDS = 2.0
MAX_DATAGRAM = 2048
SEQUENCES = 2**32


@attrs.define
class _Flow:
    """A flow at this server.

    Parameters
    ----------
    seq : int
        With which it was accepted.
    answer_by_request : dict
        What was answered, by the caller's number of the request.
    part_by_seq : dict
        Full packets of an upload, by the caller's position.
    sent : int
        Numbers that the server has used since ``seq``; the acceptance takes one
        and each byte of an answer another.
    place_by_request : dict
        Where each answer begins, counted like ``sent``.
    """

    seq: int
    is_open: bool = False
    sent: int = 1
    place_by_request: dict[int, int] = attrs.field(factory=dict)
    answer_by_request: dict[int, bytes] = attrs.field(factory=dict)
    part_by_seq: dict[int, bytes] = attrs.field(factory=dict)

    @property
    def content(self) -> bytes:
        """The full packets of an upload in the order of the caller."""
        return b''.join(part for _, part in sorted(self.part_by_seq.items()))

    def place_of(self, request: int, answer: bytes) -> int:
        """Return where an answer begins; a repeated one stays in its place."""
        if not answer:
            return self.sent
        if request not in self.place_by_request:
            self.place_by_request[request] = self.sent
            self.sent += len(answer)
        return self.place_by_request[request]


@attrs.frozen
class Start:
    """A run of the server.

    Parameters
    ----------
    name : str
        Its name.
    born : int
        Milliseconds of the time of day.
    at : float
        The same by the steady clock, in seconds.
    """

    name: str
    born: int = attrs.field(factory=lambda: time.time_ns() // 1_000_000)
    at: float = attrs.field(factory=time.monotonic)


@attrs.define
class Run:
    """A request that a server has run."""

    request: str
    server: str
    service: str
    at: float


class PacketServer:
    """A backend server: takes flows, answers requests, reports itself.

    Parameters
    ----------
    machine : Machine
        Where it is; its agent is beside it.
    work : float
        Seconds that it works on a request.
    slots : int
        Requests that it runs at once.
    runs : list of Run
        Where it notes what it has run.
    """

    def __init__(
        self,
        machine: Machine,
        runs: list[Run],
        work: float = 0.02,
        slots: int = 3,
    ) -> None:
        self.machine = machine
        self.runs = runs
        self.work = work
        self.state = 'ready'
        self.forged = 0
        self.opened: list[tuple[float, End]] = []
        self.drain_acknowledged_at: float | None = None
        self.is_silent = False
        self.starts: list[Start] = []
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._flow_by_caller: dict[tuple[End, End], _Flow] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._sock: socket.socket | None = None
        self._listener = contextlib.ExitStack()
        self.restart()

    def restart(self) -> None:
        """Begin anew under a new name, knowing nothing."""
        for task in self._tasks:
            task.cancel()
        self.starts.append(Start(f'i-{random.getrandbits(40):010x}'))
        self.cold_until = time.monotonic() + COLD_SECONDS
        self.sequence = 0
        self.state = 'ready'
        self.drain_acknowledged_at = None
        self._flow_by_caller.clear()
        if self._sock is not None:
            _listen(self._listener, self.machine)

    @property
    def name(self) -> str:
        """Name of its present run."""
        return self.starts[-1].name

    @contextlib.asynccontextmanager
    async def serving(self, is_cold: bool = False) -> AsyncIterator[None]:
        """Run until the end of the block."""
        if not is_cold:
            self.cold_until = 0
        loop = asyncio.get_running_loop()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            sock.bind((self.machine.host, APP_PORT))
            self._sock = sock
            _listen(self._listener, self.machine)
            loop.add_reader(sock, self._read)
            beating = asyncio.create_task(self._beat())
            try:
                yield
            finally:
                loop.remove_reader(sock)
                self._end(beating)

    async def report(self) -> bool:
        """Report itself once; return whether that was acknowledged."""
        self.sequence += 1
        cold = max(0, self.cold_until - time.monotonic())
        beat = {
            'service': self.machine.service,
            'address': f'{self.machine.host}:{APP_PORT}',
            'zone': self.machine.zone,
            'version': 'v1',
            'slots': self._slot_count,
            'state': self.state,
            'cold_remaining_ms': round(cold * 1000),
            'sequence': self.sequence,
            'born': self.starts[-1].born,
        }
        path = f'/api/Instances.Heartbeat/{self.name}'
        answer = await call(
            'POST', _agent_of(self.machine), path, json.dumps(beat).encode()
        )
        if answer.is_ok and self.state == 'draining':
            self.drain_acknowledged_at = (
                self.drain_acknowledged_at or time.monotonic()
            )
        return answer.is_ok

    async def leave(self) -> bool:
        """Say that it ends, and refuse connections from now on."""
        path = f'/api/Instances.Leave/{self.name}'
        answer = await call('POST', _agent_of(self.machine), path)
        self._listener.close()
        return answer.is_ok

    def _end(self, beating: 'asyncio.Task[None]') -> None:
        for task in (beating, *self._tasks):
            task.cancel()
        self._listener.close()
        self._sock = None

    async def _beat(self) -> None:
        while True:
            if not self.is_silent:
                await self.report()
            await asyncio.sleep(BEAT_SECONDS)

    def _read(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while self._sock is not None:
                self._take(self._sock.recv(MAX_DATAGRAM))

    def _take(self, datagram: bytes) -> None:
        received = read_packet(datagram)
        packet = received.packet
        if not received.is_genuine or packet.flags & BOUNCED:
            self.forged += 1
            return
        flow = self._flow_by_caller.get(packet.flow)
        if packet.flags & (SYN | ACK) == SYN:
            self._take_opening(packet, flow)
        elif flow is None or (not flow.is_open and packet.ack != flow.seq):
            self._bounce(packet)
        else:
            flow.is_open = True
            self._take_data(packet, flow)

    def _take_opening(self, packet: Packet, flow: _Flow | None) -> None:
        if flow is None:
            flow = _Flow(random.getrandbits(32))
            self._flow_by_caller[packet.flow] = flow
            self.opened.append((time.monotonic(), packet.source))
        self._send(
            Packet(
                packet.target, packet.source, flow.seq, packet.seq, SYN | ACK
            ),
        )

    def _take_data(self, packet: Packet, flow: _Flow) -> None:
        if packet.flags & FIN:
            self._flow_by_caller.pop(packet.flow, None)
            self._send(Packet(packet.target, packet.source, 0, packet.seq, ACK))
        elif len(packet.data) == FULL_PACKET:
            flow.part_by_seq[packet.seq] = packet.data
            self._send(_reply(packet, flow, b''))
        elif packet.data:
            task = asyncio.create_task(self._answer(packet, flow))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(self, packet: Packet, flow: _Flow) -> None:
        known = flow.answer_by_request.get(packet.seq)
        if known == b'':
            return
        if known is None:
            flow.answer_by_request[packet.seq] = b''
            known = await self._run(packet.data.decode(), flow.content)
            flow.answer_by_request[packet.seq] = known
        self._send(_reply(packet, flow, known))

    async def _run(self, name: str, content: bytes) -> bytes:
        async with self._slots:
            self.runs.append(
                Run(name, self.name, self.machine.service, time.monotonic())
            )
            await asyncio.sleep(self.work)
            return f'{answer_start(name, content)} by {self.name}'.encode()

    def _bounce(self, packet: Packet) -> None:
        returned = attrs.evolve(packet, flags=packet.flags | BOUNCED, pad=0)
        self._send(returned)

    def _send(self, packet: Packet) -> None:
        if self._sock is None:
            return
        target = (self.machine.host, OUTBOUND_PORT)
        with contextlib.suppress(OSError):
            self._sock.sendto(packet.pack(), target)


def answer_start(request: str, content: bytes = b'') -> str:
    """Return what an answer says before the name of its server."""
    if not content:
        return request
    return f'{request} with {len(content)} bytes, {zlib.crc32(content):08x}'


def _reply(packet: Packet, flow: _Flow, answer: bytes) -> Packet:
    place = flow.place_of(packet.seq, answer)
    seq = (flow.seq + place) % SEQUENCES
    return Packet(packet.target, packet.source, seq, packet.seq, ACK, answer)


def _listen(listener: contextlib.ExitStack, machine: Machine) -> None:
    # Agents take a refused connection for the proof that the server has ended.
    # The backlog of the system accepts the few connections that they try.
    listener.close()
    listener.enter_context(socket.create_server((machine.host, APP_PORT)))


def _agent_of(machine: Machine) -> str:
    """Return the address that takes a server's reports."""
    return f'{machine.host}:{CONTROL_PORT}'
