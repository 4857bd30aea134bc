"""A balancer as a process has it: fabric, agents and a graceful stop."""

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
    NOBODY,
    PATIENCE,
    UPDATE,
    free_endpoint,
    member_at,
    until,
)
from redwingstream.settings.roles import BalancerSettings
from redwingstream.wire import coap, fabric
from redwingstream.wire.datagrams import DatagramSocket, open_datagrams
from redwingstream.wire.frames import FrameCodec

WAY = fabric.AddressPair(Endpoint('10.0.0.1', 4000), parse_endpoint(SERVICE))
ANY = Endpoint('127.0.0.1', 0)


@attrs.define
class Side:
    """A socket whose datagrams wait in a queue."""

    sock: DatagramSocket
    inbox: asyncio.Queue[bytes]

    async def receive(self) -> bytes:
        """Return the next datagram."""
        async with asyncio.timeout(PATIENCE):
            return await self.inbox.get()


@contextlib.contextmanager
def open_side() -> AsyncIterator[Side]:
    """Open a socket that keeps what comes."""
    inbox: asyncio.Queue[bytes] = asyncio.Queue()
    with open_datagrams(ANY, lambda data, _: inbox.put_nowait(data)) as sock:
        yield Side(sock, inbox)


@pytest.fixture
def role() -> BalancerRole:
    """Return a balancer that is not open yet."""
    settings = BalancerSettings(
        host='b1',
        endpoint=free_endpoint(),
        zone='carse',
        key_file=pathlib.Path('unused'),
        control=(NOBODY,),
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
    """Between a fabric and an agent that the test plays."""

    async def test_forwards_and_brings_the_answer_back(
        self, role: BalancerRole
    ) -> None:
        codec = FrameCodec(KEY)
        with open_side() as agent, open_side() as outside:
            member = attrs.evolve(MEMBERS[0], endpoint=str(agent.sock.endpoint))
            role.adopt(tables_of(members=(member,)))
            async with role.opened():
                entry = role.settings.fabric_endpoint.as_pair()
                request = fabric.wrap_request(WAY, request_packet())
                outside.sock.send(request, entry)
                packet = codec.open(await agent.receive()).payload
                assert isinstance(packet, Packet)
                answer = Answer(3, packet.caller, packet.service, b'answer')
                frame = codec.seal(answer)
                agent.sock.send(frame, role.settings.endpoint.as_pair())
                datagram = await outside.receive()
        assert packet.payload == request_packet()
        assert fabric.unwrap_answer(datagram) == (WAY, b'answer')

    async def test_refuses_at_once_what_has_no_route(
        self, role: BalancerRole
    ) -> None:
        role.adopt(tables_of(has_route=False))
        with open_side() as outside:
            async with role.opened():
                entry = role.settings.fabric_endpoint.as_pair()
                request = fabric.wrap_request(WAY, request_packet())
                outside.sock.send(request, entry)
                datagram = await outside.receive()
        _, payload = fabric.unwrap_answer(datagram)
        answer = coap.decode(payload)
        assert answer.code == coap.SERVICE_UNAVAILABLE
        assert answer.payload == b'no_route'
        assert answer.opt.max_age > 0

    async def test_drops_what_is_no_packet(self, role: BalancerRole) -> None:
        role.adopt(tables_of(has_route=False))
        with open_side() as outside:
            async with role.opened():
                entry = role.settings.fabric_endpoint.as_pair()
                outside.sock.send(b'no header', entry)
                nothing = fabric.wrap_request(WAY, b'\xff')
                outside.sock.send(nothing, entry)
                request = fabric.wrap_request(WAY, request_packet())
                outside.sock.send(request, entry)
                await outside.receive()
        counted = role.metrics.total_by_name
        assert counted['fabric_malformed'] == 1
        assert counted['caller_malformed'] == 1

    async def test_tells_an_agent_that_its_tables_are_old(
        self, role: BalancerRole
    ) -> None:
        """A lot board goes on from a zone that was taken out an hour ago.

        Its agent is cut off from control and from its pool.  The balancers
        send nothing to that zone any more and go on passing on what comes
        from it, without a word that the agent could learn from.
        """
        informed = member_at(free_endpoint())
        informed.follower.history.apply_update(UPDATE)
        target = role.settings.endpoint
        newest = Answer(UPDATE.revision, str(WAY.caller), SERVICE, b'new')
        old = attrs.evolve(newest, revision=UPDATE.revision - 1)
        codec = FrameCodec(KEY)
        async with informed.opened(), role.opened():
            informed.send(target, newest)
            await until(lambda: role.metrics.total_by_name['tables_fetched'])
            with open_side() as agent:
                agent.sock.send(codec.seal(old), target.as_pair())
                told = codec.open(await agent.receive()).payload
        assert told == ProbeAck(UPDATE.revision)

    async def test_forwards_until_the_fabric_is_quiet(
        self, role: BalancerRole
    ) -> None:
        """A planned restart of a balancer loses the packets on their way.

        The balancer gets SIGTERM; the fabric needs a moment to notice and
        goes on to hand in packets, which nobody would take any more.
        """
        role.adopt(tables_of(has_route=False))
        with open_side() as outside:
            async with role.opened():
                draining = asyncio.create_task(role.drain())
                entry = role.settings.fabric_endpoint.as_pair()
                for _ in range(3):
                    await asyncio.sleep(0.1)
                    request = fabric.wrap_request(WAY, request_packet())
                    outside.sock.send(request, entry)
                    await outside.receive()
                async with asyncio.timeout(PATIENCE):
                    await draining
