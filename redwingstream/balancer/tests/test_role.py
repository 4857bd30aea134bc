"""Tests of the balancer process: fabric, agents and graceful stop."""

import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator

import attrs
import pytest

from redwingstream.balancer.role import BalancerRole
from redwingstream.balancer.tests.test_forwarder import (
    KEY,
    MEMBERS,
    SERVICE,
    tables_of,
)
from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.forwarding.messages import Answer, Packet
from redwingstream.membership.messages import ProbeAck
from redwingstream.node.tests.test_member import (
    TEST_TIMEOUT,
    UNREACHABLE,
    UPDATE,
    free_endpoint,
    member_at,
    wait_until,
)
from redwingstream.settings.roles import BalancerSettings
from redwingstream.wire import coap, fabric
from redwingstream.wire.datagrams import DatagramSocket, open_datagrams
from redwingstream.wire.frames import FrameCodec

ADDRESSES = fabric.AddressPair(
    Endpoint('10.0.0.1', 4000), parse_endpoint(SERVICE)
)
ANY = Endpoint('127.0.0.1', 0)


@attrs.define
class QueuedSocket:
    """A socket whose received datagrams wait in a queue."""

    sock: DatagramSocket
    inbox: asyncio.Queue[bytes]

    async def receive(self) -> bytes:
        """Return the next datagram."""
        async with asyncio.timeout(TEST_TIMEOUT):
            return await self.inbox.get()


@contextlib.contextmanager
def open_queued_socket() -> AsyncIterator[QueuedSocket]:
    """Open a socket that queues received datagrams."""
    inbox: asyncio.Queue[bytes] = asyncio.Queue()
    with open_datagrams(ANY, lambda data, _: inbox.put_nowait(data)) as sock:
        yield QueuedSocket(sock, inbox)


@pytest.fixture
def role() -> BalancerRole:
    """Return a balancer that is not open yet."""
    settings = BalancerSettings(
        host='b1',
        endpoint=free_endpoint(),
        zone='carse',
        key_file=pathlib.Path('unused'),
        control=(UNREACHABLE,),
        fabric_endpoint=free_endpoint(),
    )
    return BalancerRole(settings, KEY)


def request_packet() -> bytes:
    """Return a confirmable request."""
    request = coap.Message(code=coap.GET, uri_path=('feed',))
    request.mtype = coap.CON
    request.mid = 7
    request.token = b'ab'
    return coap.encode(request)


class TestBalancerRole:
    """A balancer between a fabric and an agent that the test simulates."""

    async def test_forwards_packets_and_returns_answers(
        self, role: BalancerRole
    ) -> None:
        codec = FrameCodec(KEY)
        with open_queued_socket() as agent, open_queued_socket() as fabric_side:
            member = attrs.evolve(MEMBERS[0], endpoint=str(agent.sock.endpoint))
            role.apply_tables(tables_of(members=(member,)))
            async with role.opened():
                entry = role.settings.fabric_endpoint.as_pair()
                request = fabric.wrap_request(ADDRESSES, request_packet())
                fabric_side.sock.send(request, entry)
                packet = codec.open(await agent.receive()).payload
                assert isinstance(packet, Packet)
                answer = Answer(3, packet.caller, packet.service, b'answer')
                frame = codec.seal(answer)
                agent.sock.send(frame, role.settings.endpoint.as_pair())
                datagram = await fabric_side.receive()
        assert packet.payload == request_packet()
        assert fabric.unwrap_answer(datagram) == (ADDRESSES, b'answer')

    async def test_rejects_packets_without_a_route(
        self, role: BalancerRole
    ) -> None:
        role.apply_tables(tables_of(has_route=False))
        with open_queued_socket() as fabric_side:
            async with role.opened():
                entry = role.settings.fabric_endpoint.as_pair()
                request = fabric.wrap_request(ADDRESSES, request_packet())
                fabric_side.sock.send(request, entry)
                datagram = await fabric_side.receive()
        _, payload = fabric.unwrap_answer(datagram)
        answer = coap.decode(payload)
        assert answer.code == coap.SERVICE_UNAVAILABLE
        assert answer.payload == b'no_route'
        assert answer.opt.max_age > 0

    async def test_drops_malformed_datagrams(self, role: BalancerRole) -> None:
        role.apply_tables(tables_of(has_route=False))
        with open_queued_socket() as fabric_side:
            async with role.opened():
                entry = role.settings.fabric_endpoint.as_pair()
                fabric_side.sock.send(b'no header', entry)
                nothing = fabric.wrap_request(ADDRESSES, b'\xff')
                fabric_side.sock.send(nothing, entry)
                request = fabric.wrap_request(ADDRESSES, request_packet())
                fabric_side.sock.send(request, entry)
                await fabric_side.receive()
        counted = role.metrics.total_by_name
        assert counted['fabric_malformed'] == 1
        assert counted['caller_malformed'] == 1

    async def test_tells_an_agent_with_old_tables_of_newer_ones(
        self, role: BalancerRole
    ) -> None:
        """A feed must not continue from a zone that was taken out.

        The agent cannot reach control or its pool.  Balancers send nothing to
        its zone but still forward its answers, so they must reply that newer
        tables exist.
        """
        informed = member_at(free_endpoint())
        informed.follower.history.apply_update(UPDATE)
        target = role.settings.endpoint
        newest = Answer(UPDATE.revision, str(ADDRESSES.caller), SERVICE, b'new')
        old = attrs.evolve(newest, revision=UPDATE.revision - 1)
        codec = FrameCodec(KEY)
        async with informed.opened(), role.opened():
            informed.send(target, newest)
            await wait_until(
                lambda: role.metrics.total_by_name['tables_fetched']
            )
            with open_queued_socket() as agent:
                agent.sock.send(codec.seal(old), target.as_pair())
                told = codec.open(await agent.receive()).payload
        assert told == ProbeAck(UPDATE.revision)

    async def test_forwards_until_the_fabric_is_idle(
        self, role: BalancerRole
    ) -> None:
        """A planned restart of a balancer must not lose packets.

        After SIGTERM the fabric needs a moment to notice and still sends
        packets, which a closed balancer would not receive.
        """
        role.apply_tables(tables_of(has_route=False))
        with open_queued_socket() as fabric_side:
            async with role.opened():
                draining = asyncio.create_task(role.drain())
                entry = role.settings.fabric_endpoint.as_pair()
                for _ in range(3):
                    await asyncio.sleep(0.1)
                    request = fabric.wrap_request(ADDRESSES, request_packet())
                    fabric_side.sock.send(request, entry)
                    await fabric_side.receive()
                async with asyncio.timeout(TEST_TIMEOUT):
                    await draining
