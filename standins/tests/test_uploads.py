"""Uploads between the stand-ins of callers and servers, and their settings."""

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable, Iterator

import pytest
import pytest_asyncio

from standins.networks import reserved_network
from standins.packets.callers import (
    CallerFlow,
    CallerSite,
    FlowEndedError,
    Router,
    upload,
)
from standins.packets.header import FULL_PACKET, End
from standins.packets.servers import PacketServer, Run, answer_start
from standins.packets.settings import (
    APP_PORT,
    OUTBOUND_PORT,
    PACKET_PORT,
    Machine,
    write_settings,
)
from standins.packets.site import NETWORKS

SERVICE = End('198.18.0.3', 443)
CONTENT = os.urandom(20 * FULL_PACKET)


@contextlib.contextmanager
def _relay(
    host: str, port: int, target: tuple[str, int], drops: Callable[[], bool]
) -> Iterator[None]:
    """Pass datagrams on to a target, except those that are dropped."""
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((host, port))

        def pass_on() -> None:
            datagram = sock.recv(2 * FULL_PACKET)
            if not drops():
                sock.sendto(datagram, target)

        loop.add_reader(sock, pass_on)
        yield
        loop.remove_reader(sock)


class _EverySeventh:
    def __init__(self) -> None:
        self.count = 0

    def __call__(self) -> bool:
        self.count += 1
        return self.count % 7 == 0


@pytest_asyncio.fixture
async def runs() -> list[Run]:
    """What the server has run."""
    return []


@pytest_asyncio.fixture
async def flow(runs):
    """An open flow to a server; every seventh packet is lost."""
    drops = _EverySeventh()
    with contextlib.ExitStack() as stack:
        network = stack.enter_context(
            reserved_network(NETWORKS, lambda _: True)
        )
        front, side, caller_host = (
            f'127.{network}.9.{number}' for number in (1, 2, 3)
        )
        server = PacketServer(Machine('side', side, 'a', 'uploads'), runs)
        caller = CallerSite(caller_host, Router([front]))
        inward = (side, APP_PORT)
        stack.enter_context(_relay(front, PACKET_PORT, inward, drops))
        outward = (caller_host, PACKET_PORT)
        stack.enter_context(_relay(side, OUTBOUND_PORT, outward, drops))
        async with server.serving(), caller.open():
            opened = caller.flow(SERVICE)
            await opened.open()
            yield opened


class TestUpload:
    """Uploads of several full packets."""

    async def test_runs_once_with_its_whole_content(
        self, flow: CallerFlow, runs
    ):
        """Lost packets leave gaps, or their retransmissions run twice."""
        answer = await upload(flow, 'uploads-1', CONTENT, 10)
        assert answer.startswith(f'{answer_start("uploads-1", CONTENT)} by ')
        assert [run.request for run in runs] == ['uploads-1']

    async def test_ends_at_its_deadline(self, flow: CallerFlow, runs):
        """An upload of which too little arrives in time runs all the same."""
        with pytest.raises(FlowEndedError, match='deadline'):
            await upload(flow, 'uploads-1', CONTENT, 0.1)
        assert not runs


class TestAnswerStart:
    """What an answer says of a content."""

    def test_differs_with_the_order_of_packets(self):
        """Two packets that changed places are not noticed."""
        packets = [CONTENT[:FULL_PACKET], CONTENT[FULL_PACKET:]]
        straight = answer_start('uploads-1', b''.join(packets))
        packets.reverse()
        assert straight != answer_start('uploads-1', b''.join(packets))


class TestLinkRate:
    """The rate of a machine's link in its settings."""

    @pytest.mark.parametrize(
        ('rate', 'lines'), [(0, []), (1.5, ['limits.link_mbps=1.5'])]
    )
    def test_is_stated_only_where_it_is_known(self, rate, lines, tmp_path):
        """Balancers of other zones refuse uploads as well."""
        path = tmp_path / 'settings'
        machine = Machine('front', '127.1.1.10', 'north', link_mbps=rate)
        write_settings(path, machine, 'balancer', [])
        stated = path.read_text().splitlines()
        assert [one for one in stated if 'link' in one] == lines
