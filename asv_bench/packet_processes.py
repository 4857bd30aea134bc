"""The processes round a balancer whose packet path is measured.

A balancer that is given its tables directly, so that no control instance is
needed, and senders that hand it callers' packets or agents' answers.
"""

import asyncio
import cProfile
import io
import pathlib
import pstats
import socket
import struct
import time
from multiprocessing.connection import Connection

import attrs

from redwingstream.balancer.role import BalancerRole
from redwingstream.endpoints import Endpoint
from redwingstream.forwarding.messages import Answer
from redwingstream.settings.roles import BalancerSettings
from redwingstream.tables.messages import TablesUpdate
from redwingstream.tables.rows import (
    Member,
    Pool,
    PoolView,
    Role,
    Route,
    ViewMember,
)
from redwingstream.wire import datagrams, fabric
from redwingstream.wire.frames import FrameCodec

KEY = b'k' * 32
BALANCER = Endpoint('127.70.2.1', 7000)
FABRIC_SIDE = Endpoint('127.70.2.1', 7001)
FABRIC = Endpoint('127.70.9.1', 7001)
SERVICE = Endpoint('127.70.8.1', 5683)
NOBODY = Endpoint('127.70.1.1', 7000)
AGENTS = 4
POOL = 'sward-live'
CALLER_OFFSET = 16
PORT_OFFSET = 24
CHUNK = 32
PROFILE_LINES = 18


@attrs.frozen
class Load:
    """What is sent to the balancer.

    Parameters
    ----------
    callers : int
        Different callers' addresses of one sender.
    payload : bytes
        The packet of each.
    seconds : float
        For how long.
    answers : bool
        True sends agents' answers in place of callers' packets.
    pace : float
        Datagrams a second of one sender; 0 sends as fast as it goes.
    """

    callers: int
    payload: bytes
    seconds: float
    answers: bool = False
    pace: float = 0


@attrs.frozen
class BalancerRun:
    """How the balancer is run.

    Parameters
    ----------
    seconds : float
        How long it is watched.
    batch : int
        Datagrams that it reads at a wake-up.
    profile : bool
        True runs it under ``cProfile``.
    agents : int
        How many agents its view has.
    """

    seconds: float
    batch: int = datagrams.BATCH
    profile: bool = False
    agents: int = AGENTS


@attrs.frozen
class BalancerCount:
    """What a balancer did while it was watched.

    Parameters
    ----------
    passed : int
        Packets forwarded and answers handed out.
    seconds : float
        Wall time.
    cpu_seconds : float
        Processor time.
    rss_kb : int
        Resident memory at the end, KB.
    profile : str
        The lines with the most own time; empty without a profile.
    """

    passed: int
    seconds: float
    cpu_seconds: float
    rss_kb: int
    profile: str

    @property
    def rate(self) -> float:
        """Packets a second."""
        return self.passed / self.seconds

    @property
    def cpu_us(self) -> float:
        """Microseconds of processor time for each packet."""
        return self.cpu_seconds / max(self.passed, 1) * 1e6


def agent_endpoint(number: int) -> Endpoint:
    """Return where an agent would be."""
    return Endpoint(f'127.70.3.{number + 1}', 7000)


def tables_update(agents: int = AGENTS) -> TablesUpdate:
    """Return tables with one pool of a few agents."""
    members = tuple(
        ViewMember(
            f'host-{number}',
            1,
            str(agent_endpoint(number)),
            f'z{number % 2}',
        )
        for number in range(agents)
    )
    return TablesUpdate(
        since=0,
        revision=1,
        routes=(Route(str(SERVICE), POOL),),
        pools=(Pool(POOL, ('host-*',)),),
        members=tuple(
            Member(
                member.host,
                Role.AGENT,
                member.incarnation,
                1,
                member.endpoint,
                member.zone,
                POOL,
            )
            for member in members
        ),
        views=(PoolView(POOL, 1, members),),
    )


def run_balancer(run: BalancerRun, pipe: Connection) -> None:
    """Be a balancer; send its count through the pipe."""
    datagrams.BATCH = run.batch
    pipe.send(asyncio.run(_watch_balancer(run, pipe)))


async def _watch_balancer(run: BalancerRun, pipe: Connection) -> BalancerCount:
    settings = BalancerSettings(
        host='b1',
        endpoint=BALANCER,
        zone='z0',
        key_file=pathlib.Path(),
        control=(NOBODY,),
        fabric_endpoint=FABRIC_SIDE,
        fabric=FABRIC,
    )
    role = BalancerRole(settings, KEY)
    role._node.follower.history.apply_update(tables_update(run.agents))
    role._node.follower.on_tables()
    async with role.opened():
        pipe.send('ready')
        # Caches fill and senders start before the watch begins.
        await asyncio.sleep(1)
        profile = cProfile.Profile()
        before = _passed(role)
        started, cpu = time.perf_counter(), time.process_time()
        if run.profile:
            profile.enable()
        await asyncio.sleep(run.seconds)
        if run.profile:
            profile.disable()
        return BalancerCount(
            passed=_passed(role) - before,
            seconds=time.perf_counter() - started,
            cpu_seconds=time.process_time() - cpu,
            rss_kb=resident_kb('self'),
            profile=_top(profile) if run.profile else '',
        )


def resident_kb(pid: int | str) -> int:
    """Return the resident memory of a process in KB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(each for each in status.splitlines() if 'VmRSS' in each)
    return int(line.split()[1])


def send_load(load: Load, sender: int) -> None:
    """Send for a while."""
    if load.answers:
        _send_answers(load, sender)
    else:
        _send_packets(load, sender)


def requests_of(load: Load, sender: int) -> list[bytes]:
    """Return the datagram of each caller.

    The header of one is made by the library and the caller's address is then
    written over, since packing costs more than the balancer takes to read it.
    """
    way = fabric.AddressPair(Endpoint('127.71.0.0', 4000), SERVICE)
    template = bytearray(fabric.wrap_request(way, load.payload))
    made = []
    for number in range(load.callers):
        address = (127, 71 + sender, number & 0xFFFF)
        struct.pack_into('>BBH', template, CALLER_OFFSET, *address)
        port = 4000 + (number >> 16)
        struct.pack_into('>H', template, PORT_OFFSET, port)
        made.append(bytes(template))
    return made


def _send_packets(load: Load, sender: int) -> None:
    packets = requests_of(load, sender)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((f'127.70.10.{sender + 1}', 0))
        target = FABRIC_SIDE.as_pair()

        def send(number: int) -> None:
            _send(sock, packets[number % len(packets)], target)

        _flood(load, send)


def _send_answers(load: Load, sender: int) -> None:
    codec = FrameCodec(KEY)
    callers = [
        f'127.{71 + sender}.{number >> 8 & 255}.{number & 255}:'
        f'{4000 + (number >> 16)}'
        for number in range(load.callers)
    ]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(agent_endpoint(sender).as_pair())

        def send(number: int) -> None:
            caller = callers[number % len(callers)]
            answer = Answer(1, caller, str(SERVICE), load.payload)
            _send(sock, codec.seal(answer), BALANCER.as_pair())

        _flood(load, send)


def _flood(load: Load, send: object) -> None:
    end = time.perf_counter() + load.seconds
    number = 0
    started = time.perf_counter()
    while time.perf_counter() < end:
        for _ in range(CHUNK):
            send(number)
            number += 1
        if load.pace:
            due = started + number / load.pace
            time.sleep(max(0, due - time.perf_counter()))


def _send(sock: socket.socket, payload: bytes, target: tuple[str, int]) -> None:
    try:
        sock.sendto(payload, target)
    except OSError:
        # A refused or full socket: one more loss.
        return


def _passed(role: BalancerRole) -> int:
    total = role.metrics.total_by_name
    return total['forwarded'] + total['answered']


def _top(profile: cProfile.Profile) -> str:
    text = io.StringIO()
    stats = pstats.Stats(profile, stream=text)
    stats.sort_stats('tottime').print_stats(PROFILE_LINES)
    return text.getvalue()
