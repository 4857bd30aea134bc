"""Agents, backend servers and a fabric for the measure of whole requests."""

import asyncio
import contextlib
import cProfile
import functools
import io
import pathlib
import pstats
import socket
import time
from collections import Counter
from multiprocessing.connection import Connection

import attrs

from asv_bench.packet_processes import (
    FABRIC,
    FABRIC_SIDE,
    KEY,
    NOBODY,
    POOL,
    PROFILE_LINES,
    Load,
    agent_endpoint,
    requests_of,
    resident_kb,
    tables_update,
)
from redwingstream.agent.role import AgentRole
from redwingstream.endpoints import Endpoint
from redwingstream.settings.roles import AgentSettings
from redwingstream.wire import datagrams

SLOTS = 64
PAUSE = 0.002
LINGER = 3.0
HEADER_SIZE = 28
TYPE_MASK = 0xF
ACK_TYPE = 0x60
CONTENT = b'\x45'
BODY = b'\xffok'


@attrs.frozen
class AgentCount:
    """What an agent did while it was watched.

    Parameters
    ----------
    total_by_name : Counter
        Its metrics.
    cpu_seconds : float
        Processor time.
    rss_kb : int
        Resident memory, KB.
    profile : str
        Lines with the most own time; empty without a profile.
    """

    total_by_name: Counter[str]
    cpu_seconds: float
    rss_kb: int
    profile: str


@attrs.define
class FabricCount:
    """Packets handed in, and answers by their CoAP code."""

    sent: int = 0
    answers_by_code: Counter[int] = attrs.field(factory=Counter)


@attrs.frozen
class AgentRun:
    """Which agent is run, and how."""

    number: int
    agents: int
    seconds: float
    profile: bool = False


def run_agent(run: AgentRun, pipe: Connection) -> None:
    """Be an agent; send its count through the pipe."""
    pipe.send(asyncio.run(_watch_agent(run, pipe)))


def server_endpoint(number: int) -> Endpoint:
    """Return where a backend server is."""
    return Endpoint(f'127.70.4.{number + 1}', 5683)


def run_server(number: int, seconds: float) -> None:
    """Be a backend server that answers every request at once."""
    asyncio.run(_serve(number, seconds))


def run_fabric(load: Load, pipe: Connection) -> None:
    """Hand in callers' packets and count the codes of the answers.

    A balancer answers to where the last packet came from, so one socket does
    both.
    """
    packets = requests_of(load, 0)
    count = FabricCount()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, datagrams.RECEIVE_BUFFER
        )
        sock.bind(FABRIC.as_pair())
        sock.setblocking(False)
        started = time.perf_counter()
        while time.perf_counter() < started + load.seconds:
            due = int((time.perf_counter() - started) * load.pace)
            while count.sent < due:
                sock.sendto(packets[count.sent], FABRIC_SIDE.as_pair())
                count.sent += 1
            _drain(sock, count)
            time.sleep(PAUSE)
        time.sleep(1)
        _drain(sock, count)
    pipe.send(count)


def _drain(sock: socket.socket, count: FabricCount) -> None:
    receive = functools.partial(sock.recv, datagrams.MAX_DATAGRAM)
    with contextlib.suppress(BlockingIOError):
        for answer in iter(receive, b''):
            count.answers_by_code[answer[HEADER_SIZE + 1]] += 1


async def _watch_agent(run: AgentRun, pipe: Connection) -> AgentCount:
    settings = AgentSettings(
        host=f'host-{run.number}',
        endpoint=agent_endpoint(run.number),
        zone=f'z{run.number % 2}',
        key_file=pathlib.Path(),
        control=(NOBODY,),
        server=server_endpoint(run.number),
        pool=POOL,
        slots=SLOTS,
    )
    role = AgentRole(settings, KEY)
    role._node.follower.history.apply_update(tables_update(run.agents))
    role._node.announcer.incarnation = 1
    async with role.opened():
        pipe.send('ready')
        await asyncio.sleep(2)
        before = Counter(role.metrics.total_by_name)
        profile = cProfile.Profile()
        cpu = time.process_time()
        if run.profile:
            profile.enable()
        await asyncio.sleep(run.seconds)
        if run.profile:
            profile.disable()
        count = AgentCount(
            total_by_name=role.metrics.total_by_name - before,
            cpu_seconds=time.process_time() - cpu,
            rss_kb=resident_kb('self'),
            profile=_top(profile) if run.profile else '',
        )
        # Whatever is under way still gets its answer.
        await asyncio.sleep(LINGER)
        return count


async def _serve(number: int, seconds: float) -> None:
    opened: list[datagrams.DatagramSocket] = []

    def answer(request: bytes, source: tuple[str, int]) -> None:
        size = request[0] & TYPE_MASK
        head = bytes((ACK_TYPE | size,))
        reply = b''.join((head, CONTENT, request[2 : 4 + size], BODY))
        opened[0].send(reply, source)

    with datagrams.open_datagrams(server_endpoint(number), answer) as sock:
        opened.append(sock)
        await asyncio.sleep(seconds)


def _top(profile: cProfile.Profile) -> str:
    text = io.StringIO()
    stats = pstats.Stats(profile, stream=text)
    stats.sort_stats('tottime').print_stats(PROFILE_LINES)
    return text.getvalue()
