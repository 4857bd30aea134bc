"""Runs of a backend server's stand-in."""

import asyncio

import pytest

from standins.packets.header import ACK, SYN, End, Packet, read_packet
from standins.packets.servers import PacketServer
from standins.packets.settings import Machine

CALLER = End('127.1.1.100', 1000)
SERVICE = End('198.18.0.1', 443)


class _Sent:
    """A socket that keeps what is sent."""

    def __init__(self) -> None:
        self.packets: list[Packet] = []

    def sendto(self, datagram: bytes, target: tuple[str, int]) -> None:
        self.packets.append(read_packet(datagram).packet)


@pytest.fixture
async def server():
    made = PacketServer(
        Machine('side-1', '127.1.1.41', 'north', 'feed'), [], work=0.01
    )
    made._sock = _Sent()
    made._take(Packet(CALLER, SERVICE, 1, 0, SYN).pack())
    return made


def _ask(server: PacketServer, request: str, seq: int, ack: int) -> None:
    server._take(
        Packet(CALLER, SERVICE, seq, ack, ACK, request.encode()).pack()
    )


class TestRestart:
    """A server begins anew."""

    @pytest.mark.parametrize(('restarts', 'answers'), [(False, 1), (True, 0)])
    async def test_ends_its_requests(self, server, restarts, answers) -> None:
        """Guards against answers of an ended run in the next run's name."""
        accepted = server._sock.packets.pop()
        _ask(server, 'one', 2, accepted.seq)
        await asyncio.sleep(0)
        sock = server._sock
        server._sock = None  # No port is bound here.
        if restarts:
            server.restart()
        server._sock = sock
        await asyncio.sleep(0.05)
        assert len(sock.packets) == answers


class TestNumbers:
    """A server numbers the bytes that it sends."""

    async def test_continue_on_a_flow(self, server) -> None:
        accepted = server._sock.packets.pop()
        for number, request in enumerate(('one', 'two', 'two')):
            _ask(server, request, 2 + min(number, 1), accepted.seq)
            await asyncio.sleep(0.05)
        first, second, again = server._sock.packets
        assert first.seq == (accepted.seq + 1) % 2**32
        assert second.seq == (first.seq + len(first.data)) % 2**32
        assert again.seq == second.seq
