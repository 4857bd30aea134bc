"""A balancer whose own link is full."""

import attrs
import pytest

from redwingstream.links.events import LinkFull, LinkHasCapacity
from redwingstream.links.fullness import RELIEF_SECONDS
from redwingstream.links.upload_link import UploadLink
from redwingstream.packets.tests.network import (
    ROUTE,
    SERVICE,
    BalancerNode,
    Caller,
    Network,
)
from redwingstream.tables.rows import FlowKind, FlowRules

RATE = 256_250  # bytes per second of a link of 2.05 Mbit/s
UPLOADS = attrs.evolve(ROUTE, flows=FlowRules(kind=FlowKind.UPLOAD, timeout=5))


@pytest.fixture
def network() -> Network:
    network = Network()
    network.tables.route_by_key[UPLOADS.key] = UPLOADS
    network.add_agent('10.1.0.1')
    return network


@pytest.fixture
def balancer(network: Network) -> BalancerNode:
    balancer = network.add_balancer('10.1.0.100')
    balancer.link = UploadLink(RATE, network.events.append)
    balancer.start()
    return balancer


class TestDoubt:
    """An agent does not answer while the link is full, or is not."""

    @pytest.mark.parametrize('is_full', [True, False])
    def test_depends_on_the_link(
        self, network: Network, balancer: BalancerNode, is_full: bool
    ) -> None:
        """Guards against doubting agents for packets lost on the own link."""

        def fill() -> None:
            balancer.link.scheduler.record_urgent(RATE // 10, network.now)

        agent = network.agents[0]
        agent.alive = False
        for step in range(30 if is_full else 0):
            network.call_later(step / 20, fill)
        Caller(network, '100.64.0.1', 1000).open(balancer)
        network.run(1.3)
        trust = balancer.forwarder.trust
        assert trust.is_doubted(agent.address, network.now) != is_full

    def test_begins_after_the_link_has_capacity_again(
        self, network: Network, balancer: BalancerNode
    ) -> None:
        """Guards against evidence from the time when the link was full."""
        agent, trust = network.agents[0], balancer.forwarder.trust
        agent.alive = False
        trust.record_sent(agent.address, 0)
        balancer.link.scheduler.record_urgent(RATE, 0.3)
        network.run(0.8)
        assert not trust.is_doubted(agent.address, network.now)
        network.run(0.7)
        assert trust.is_doubted(agent.address, network.now)


class TestRefusal:
    """More uploads than the link carries begin at one balancer."""

    def test_is_a_reset_for_one_attempt_of_a_caller(
        self, network: Network, balancer: BalancerNode
    ) -> None:
        """Guards against uploads that all of their attempts fail here."""
        callers = [
            Caller(network, f'100.64.0.{host}', port).open(balancer)
            for host, port in ((1, 1), (2, 1), (3, 1), (3, 2))
        ]
        network.run(0.1)
        assert [caller.resets for caller in callers] == [0, 0, 1, 0]
        assert callers[3].accepted is not None

    def test_does_not_concern_other_routes(
        self, network: Network, balancer: BalancerNode
    ) -> None:
        """Guards against refusing requests that are small."""
        balancer.forwarder.apply_tables(network.tables, {SERVICE: ROUTE})
        callers = [
            Caller(network, f'100.64.0.{host}', 1).open(balancer)
            for host in range(5)
        ]
        network.run(0.1)
        assert not any(caller.resets for caller in callers)
        assert balancer.forwarder.link is None


class TestLog:
    """The last upload route is removed while the link is full."""

    def test_says_that_the_link_has_capacity_again(
        self, network: Network, balancer: BalancerNode
    ) -> None:
        """Guards against a log that shows a full link for ever."""
        balancer.link.scheduler.record_urgent(RATE, network.now)
        balancer.forwarder.apply_tables(network.tables, {SERVICE: ROUTE})
        network.run(RELIEF_SECONDS + 0.1)
        logged = [type(one) for one in network.events]
        assert logged.count(LinkFull) == 1
        assert logged.count(LinkHasCapacity) == 1
