"""Records that an agent sends when its server ends or it stops."""

import asyncio
import socket

import attrs
import pytest

from redwingstream.directory.messages import Inquiry, Readiness
from redwingstream.endpoints import Endpoint
from redwingstream.fleet.agent import Agent
from redwingstream.fleet.deployment import (
    DEFAULT_IDLE_TIMEOUT,
    ListenEndpoints,
    LocalServer,
)
from redwingstream.fleet.tests.fakes import (
    DEPLOYMENT,
    KEY,
    FakeProcess,
    FakeSocket,
)
from redwingstream.openings.reports import ServerReport
from redwingstream.openings.server_silence import UNRESPONSIVE_AFTER
from redwingstream.packets.effects import ToServer
from redwingstream.packets.envelopes import Envelope, Kind
from redwingstream.packets.flow import address_of
from redwingstream.packets.tests.codec import Packet, PlainCodec
from redwingstream.packets.tests.network import SERVICE
from redwingstream.wire.frames import FrameCodec

HOST = '127.0.0.1'
REPORT = ServerReport(
    's-1',
    born=1,
    sequence=9,
    pool='feed',
    readiness=Readiness.DRAINING,
    cold_for=0,
    slots=1,
)


@pytest.fixture
def server():
    with socket.create_server((HOST, 0)) as listening:
        yield listening


def _make_agent(port: int) -> tuple[Agent, FakeSocket]:
    """Return an agent beside a server at a port, and what it sends."""
    loop = asyncio.get_running_loop()
    deployment = attrs.evolve(
        DEPLOYMENT,
        listening=ListenEndpoints(packets=Endpoint(HOST, 8172)),
        local_server=LocalServer(Endpoint(HOST, port), 'feed'),
    )
    agent = Agent(FakeProcess(deployment, loop.time), PlainCodec())
    sent = FakeSocket()
    agent.control_client.attach(sent)
    return agent, sent


def _readiness_in(sent: FakeSocket) -> list[Readiness]:
    """Return the server readiness in each record that an agent has sent."""
    codec = FrameCodec(KEY)
    opened = [codec.open(frame).payload for frame in sent.sent]
    assert all(isinstance(payload, Inquiry) for payload in opened)
    return [payload.record.readiness for payload in opened]


async def _readiness_on_stop(port: int) -> list[Readiness]:
    """Return the server readiness in each record of a stopping agent."""
    agent, sent = _make_agent(port)
    await agent.prepare_stop()
    return _readiness_in(sent)


async def _readiness_on_silence(
    port: int, *, is_draining: bool = False, is_leaving: bool = False
) -> list[Readiness]:
    """Return the same of an agent whose server leaves a packet unanswered."""
    agent, sent = _make_agent(port)
    if is_draining or is_leaving:
        agent.server_reports.handle_report(REPORT)
    if is_leaving:
        agent.server_reports.handle_leave(REPORT.server)
    sent.sent.clear()
    attached = FakeSocket()
    agent.packet_sender.attach(callers=attached, peers=attached)
    packet = Packet(address_of('100.64.0.1', 1), SERVICE, 1, 2, size=4)
    now = agent.process.clock()
    agent.forwarder.handle_envelope(
        Envelope(Kind.ONGOING, packet.pack()), address_of(HOST, 1), now
    )
    agent.run_housekeeping(now + UNRESPONSIVE_AFTER / 2)
    agent.run_housekeeping(now + UNRESPONSIVE_AFTER * 2)
    await asyncio.sleep(0.1)
    return _readiness_in(sent)


class TestStop:
    """An agent is asked to stop."""

    async def test_reports_that_server_has_ended(self, server) -> None:
        """Guards against flows that cannot be declared dead for 90 s."""
        port = server.getsockname()[1]
        server.close()
        assert await _readiness_on_stop(port) == [
            Readiness.ENDED,
            Readiness.ENDED,
        ]

    async def test_running_server_is_not_reported_ended(self, server) -> None:
        """Guards against resetting flows that a restarted agent serves."""
        port = server.getsockname()[1]
        assert await _readiness_on_stop(port) == [
            Readiness.UNKNOWN,
            Readiness.UNKNOWN,
        ]


class TestSilentServer:
    """A server sends nothing although it was given a packet."""

    async def test_reports_that_server_has_ended(self, server) -> None:
        """Guards against lookups that wait until the agent is stopped."""
        port = server.getsockname()[1]
        server.close()
        assert await _readiness_on_silence(port) == [Readiness.ENDED]

    async def test_running_server_is_not_reported_ended(self, server) -> None:
        """Guards against resetting flows of a server that hangs."""
        port = server.getsockname()[1]
        assert not await _readiness_on_silence(port)

    async def test_leaving_server_is_not_reported_ended(self, server) -> None:
        """Guards against resetting flows of a server that still serves them.

        It has closed its listener, and is silent between two packets.
        """
        port = server.getsockname()[1]
        server.close()
        assert not await _readiness_on_silence(port, is_leaving=True)

    async def test_draining_server_is_not_reported_ended(self, server) -> None:
        """Guards against the same where the announcement was lost."""
        port = server.getsockname()[1]
        server.close()
        assert not await _readiness_on_silence(port, is_draining=True)


class TestWithoutTables:
    """An agent has not received tables since its start."""

    async def test_does_not_know_when_flows_end(self, server) -> None:
        """Guards against denying idle flows by the default time-out.

        The time-out in force may be longer.
        """
        agent, _ = _make_agent(server.getsockname()[1])
        packet = Packet(address_of('100.64.0.1', 1), SERVICE, 1, 2, size=4)
        lookup = Envelope(Kind.LOOKUP, packet.pack(), hops=1)
        later = agent.process.clock() + 10 * DEFAULT_IDLE_TIMEOUT
        outgoing = agent.forwarder.handle_envelope(
            lookup, address_of(HOST, 1), later
        )
        assert any(isinstance(one, ToServer) for one in outgoing)
