"""Arbitrary datagrams neither stop a process nor exhaust its memory."""

import random
from collections.abc import Iterator

import pytest

from redwingstream.directory.messages import Inquiry
from redwingstream.errors import WireError
from redwingstream.packets.agent_flows import MAX_FLOWS
from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.envelopes import (
    Envelope,
    Kind,
    pack_envelope,
    unpack_envelope,
)
from redwingstream.packets.flow import address_of
from redwingstream.packets.ranking import pool_hash
from redwingstream.packets.tests.codec import Packet
from redwingstream.packets.tests.network import (
    POOL,
    SERVICE,
    AgentNode,
    BalancerNode,
    Network,
)
from redwingstream.wire.frames import FrameCodec

COUNT = 100_000
SOURCE = address_of('10.9.9.9', 9)


def _mutated(rng: random.Random, whole: bytes) -> bytes:
    changed = bytearray(whole)
    for _ in range(rng.randrange(4)):
        changed[rng.randrange(len(changed))] = rng.randrange(256)
    return bytes(changed[: rng.randrange(len(changed) + 1)])


def _packets(rng: random.Random) -> Iterator[bytes]:
    for number in range(COUNT):
        caller = address_of('100.64.0.1', number % 50000)
        flags = rng.choice((0, 1, 2, 4, 8, 16, 17, 255))
        packet = Packet(
            caller, SERVICE, 1, rng.randrange(3), number, flags=flags
        )
        if rng.getrandbits(1):
            yield packet.pack()
        else:
            yield _mutated(rng, packet.pack())


def _envelopes(rng: random.Random) -> Iterator[bytes]:
    for packet in _packets(rng):
        envelope = Envelope(
            rng.choice(list(Kind)),
            packet,
            SOURCE,
            SOURCE,
            pool_hash(POOL),
            visited=(SOURCE,) * rng.randrange(4),
        )
        packed = pack_envelope(envelope)
        yield packed if rng.getrandbits(1) else _mutated(rng, packed)


@pytest.fixture
def network() -> Network:
    """Two agents and a balancer."""
    made = Network()
    made.add_agent('10.1.0.1')
    made.add_agent('10.1.0.2')
    made.add_balancer('10.1.0.100')
    return made


def _feed_agent(agent: AgentNode, datagrams: Iterator[bytes]) -> int:
    refused = 0
    for number, datagram in enumerate(datagrams):
        try:
            agent.forwarder.handle_envelope(
                unpack_envelope(datagram), SOURCE, number / 1000
            )
        except WireError:
            refused += 1
    return refused


def _feed_balancer(balancer: BalancerNode, packets: Iterator[bytes]) -> int:
    refused = 0
    for number, packet in enumerate(packets):
        try:
            balancer.forwarder.handle_packet(packet, number / 1000)
        except WireError:
            refused += 1
    return refused


class TestAgent:
    """Envelopes of any kind, and packets of the server."""

    def test_stays_up_and_bounded(self, network) -> None:
        agent = network.agents[0]
        refused = _feed_agent(agent, _envelopes(random.Random(1)))
        assert 0 < refused < COUNT
        assert agent.context.flows.count <= MAX_FLOWS
        assert len(agent.context.waiting) <= 512

    def test_from_its_server(self, network) -> None:
        agent = network.agents[0]
        refused = 0
        for number, packet in enumerate(_packets(random.Random(2))):
            try:
                agent.forwarder.handle_server_packet(packet, number / 1000)
            except WireError:
                refused += 1
        assert 0 < refused < COUNT
        assert agent.context.flows.count <= MAX_FLOWS


class TestBalancer:
    """Packets of callers, and envelopes of any kind."""

    def test_stays_up_and_bounded(self, network) -> None:
        balancer = network.balancers[0]
        refused = _feed_balancer(balancer, _packets(random.Random(3)))
        assert 0 < refused < COUNT
        assert len(balancer.forwarder.hints) <= balancer.forwarder.hints.size

    def test_envelopes(self, network) -> None:
        forwarder = network.balancers[0].forwarder
        refused = 0
        for number, datagram in enumerate(_envelopes(random.Random(4))):
            try:
                forwarder.handle_envelope(
                    unpack_envelope(datagram), SOURCE, number / 1000
                )
            except WireError:
                refused += 1
        assert 0 < refused < COUNT


class TestFrames:
    """Encrypted frames between control instances, agents and balancers."""

    def test_only_whole_frames_are_opened(self) -> None:
        rng = random.Random(5)
        codec = FrameCodec(bytes(range(32)))
        frame = FrameCodec(bytes(32)).seal(Inquiry(1, 2, 3, 4))
        for _ in range(COUNT):
            with pytest.raises(WireError):
                codec.open(_mutated(rng, frame))


class TestBoundedTable:
    """Tables with a maximum size and an idle time limit."""

    @pytest.fixture
    def table(self) -> BoundedTable[int, str]:
        return BoundedTable(size=3, age=10)

    def test_evicts_least_recently_used_row(self, table) -> None:
        for key in range(3):
            table.put(key, str(key), now=0)
        table.get(0, now=1)
        table.put(3, '3', now=1)
        assert table.get(1, now=1) is None
        assert table.get(0, now=1) == '0'
        assert table.overflowed == 1

    def test_evicts_expired_rows(self, table) -> None:
        table.put(1, '1', now=0)
        assert table.get(1, now=10) == '1'
        assert table.get(1, now=21) is None

    def test_returns_evicted_rows(self, table) -> None:
        table.put(1, '1', now=0)
        table.put(2, '2', now=5)
        assert table.evict_expired(now=11) == ['1']
        assert len(table) == 1
