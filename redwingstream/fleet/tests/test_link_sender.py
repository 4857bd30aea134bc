"""A balancer process that sends by the scheduler of its link."""

import asyncio

import attrs
import pytest

from redwingstream.fleet.balancer import Balancer
from redwingstream.fleet.observed.balancer import balancer_samples
from redwingstream.fleet.tests import test_balancer
from redwingstream.fleet.tests.fakes import DEPLOYMENT, FakeProcess, FakeSocket
from redwingstream.packets.flow import address_of
from redwingstream.packets.tests.codec import Packet, PlainCodec
from redwingstream.tables.rows import FlowKind, FlowRules, Route
from redwingstream.telemetry.families import LINK

RATE = 256_250  # bytes per second of a link of 2.05 Mbit/s
WINDOW = 16
CALLER = address_of('100.64.0.1', 1000)


def _balancer(peers: FakeSocket, rate: float, kind: FlowKind) -> Balancer:
    deployment = attrs.evolve(DEPLOYMENT, link_rate=rate)
    loop = asyncio.get_running_loop()
    made = Balancer(FakeProcess(deployment, loop.time), PlainCodec())
    made.packet_sender.attach(callers=FakeSocket(), peers=peers)
    pool = test_balancer.POOL
    route = Route(test_balancer.SERVICE, pool, flows=FlowRules(kind=kind))
    report = test_balancer._report(
        test_balancer._tables(1, route, pool), {pool: test_balancer.AGENT}
    )
    made.control_client.receive(report, ('10.9.0.1', 1))
    return made


def _send_window(balancer: Balancer) -> None:
    service = address_of('198.18.0.1', 443)
    for number in range(WINDOW):
        packet = Packet(CALLER, service, number, 9, size=1200)
        balancer._handle_packet(packet.pack(), ('10.0.0.1', 1))


@pytest.mark.looptime
class TestLinkSender:
    """A window of an upload arrives at a balancer."""

    @pytest.fixture
    async def peers(self) -> FakeSocket:
        return FakeSocket()

    async def test_is_spread_over_time(self, peers: FakeSocket) -> None:
        """Guards against a window that overflows the link's queue."""
        balancer = _balancer(peers, RATE, FlowKind.UPLOAD)
        _send_window(balancer)
        assert 0 < len(peers.sent) < WINDOW // 2
        await asyncio.sleep(0.2)
        assert len(peers.sent) == WINDOW
        sample = {one.family: one for one in balancer_samples(balancer)}[LINK]
        assert sample.value_by_label['bulk_bytes'] > WINDOW * 1200

    async def test_causes_no_wake_up_once_it_is_sent(
        self, peers: FakeSocket
    ) -> None:
        """Guards against timers while nothing is queued, or several."""
        loop = asyncio.get_running_loop()
        balancer = _balancer(peers, RATE, FlowKind.UPLOAD)
        before = len(loop._scheduled)
        _send_window(balancer)
        assert len(loop._scheduled) == before + 1
        await asyncio.sleep(0.2)
        assert len(loop._scheduled) <= before

    @pytest.mark.parametrize(
        ('rate', 'kind'),
        [(float('inf'), FlowKind.UPLOAD), (RATE, FlowKind.UNKNOWN)],
    )
    async def test_is_sent_at_once_elsewhere(
        self, peers: FakeSocket, rate: float, kind: FlowKind
    ) -> None:
        """Guards against scheduling where nothing calls for it."""
        balancer = _balancer(peers, rate, kind)
        _send_window(balancer)
        assert len(peers.sent) == WINDOW
        assert balancer.forwarder.link is None

    async def test_is_lost_when_the_process_ends(
        self, peers: FakeSocket
    ) -> None:
        """Guards against a timer that sends on a closed socket."""
        balancer = _balancer(peers, RATE, FlowKind.UPLOAD)
        _send_window(balancer)
        sent = len(peers.sent)
        balancer.packet_sender.close()
        timers = asyncio.get_running_loop()._scheduled
        assert all(timer.cancelled() for timer in timers)
        assert not balancer.forwarder.link.scheduler.queue
        await asyncio.sleep(1)
        assert len(peers.sent) == sent
