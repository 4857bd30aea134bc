"""Records that an agent sends when it stops."""

import asyncio
import socket

import attrs
import pytest

from redwingstream.directory.messages import Inquiry, Readiness
from redwingstream.endpoints import Endpoint
from redwingstream.fleet.agent import Agent
from redwingstream.fleet.deployment import ListenEndpoints, LocalServer
from redwingstream.fleet.tests.fakes import (
    DEPLOYMENT,
    KEY,
    FakeProcess,
    FakeSocket,
)
from redwingstream.packets.tests.codec import PlainCodec
from redwingstream.wire.frames import FrameCodec

HOST = '127.0.0.1'


@pytest.fixture
def server():
    with socket.create_server((HOST, 0)) as listening:
        yield listening


async def _readiness_on_stop(port: int) -> list[Readiness]:
    """Return the server readiness in each record of a stopping agent."""
    loop = asyncio.get_running_loop()
    deployment = attrs.evolve(
        DEPLOYMENT,
        listening=ListenEndpoints(packets=Endpoint(HOST, 8172)),
        local_server=LocalServer(Endpoint(HOST, port), 'feed'),
    )
    agent = Agent(FakeProcess(deployment, loop.time), PlainCodec())
    sent = FakeSocket()
    agent.control_client.attach(sent)
    await agent.prepare_stop()
    codec = FrameCodec(KEY)
    opened = [codec.open(frame).payload for frame in sent.sent]
    assert all(isinstance(payload, Inquiry) for payload in opened)
    return [payload.record.readiness for payload in opened]


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
