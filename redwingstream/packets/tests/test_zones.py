"""Zones with unequal load, where traffic between zones is costly."""

import pytest

from redwingstream.openings.wait_limits import BUSY_WAIT_FRACTION
from redwingstream.packets.next_agent import MAX_ZONE_WAIT
from redwingstream.packets.tests.network import (
    HOP,
    SERVICE,
    AgentNode,
    BalancerNode,
    Caller,
    Network,
)

TIMEOUT = 0.5
RUN = 0.1


@pytest.fixture
def network() -> Network:
    return Network()


def _add_agent(network: Network, host: str, zone: str) -> AgentNode:
    agent = network.add_agent(host, zone)
    agent.server.slots = 1
    agent.server.run_seconds = RUN
    agent.context.timeout_by_service = {SERVICE: TIMEOUT}
    agent.report()
    return agent


@pytest.fixture
def near(network) -> AgentNode:
    return _add_agent(network, '10.1.0.1', 'north')


@pytest.fixture
def far(network) -> AgentNode:
    return _add_agent(network, '10.2.0.1', 'south')


@pytest.fixture
def balancer(network, near, far) -> BalancerNode:
    return network.add_balancer('10.1.0.100', 'north')


def _open(network: Network, balancer: BalancerNode, count: int) -> list[Caller]:
    callers = []
    for port in range(count):
        callers.append(
            Caller(network, '100.64.0.1', 1000 + port).open(balancer)
        )
        network.run(5 * HOP)
    network.run(1)
    return callers


class TestOwnZoneFirst:
    """A flow waits briefly in its own zone rather than leave it."""

    def test_behind_one_request(self, network, balancer, near, far) -> None:
        """Guards against traffic between zones that saves only a short wait."""
        _open(network, balancer, 2)
        assert len(near.server.opened_at) == 2
        assert not far.server.opened_at

    def test_not_behind_several(self, network, balancer, near, far) -> None:
        """Guards against queues in one zone while others have idle servers."""
        _open(network, balancer, 4)
        assert far.server.opened_at

    def test_everybody_is_served_in_time(
        self, network, balancer, near, far
    ) -> None:
        callers = _open(network, balancer, 4)
        assert (
            max(caller.waited for caller in callers)
            <= TIMEOUT * BUSY_WAIT_FRACTION
        )

    def test_not_at_one_that_is_out(self, network, balancer, near, far) -> None:
        network.mark_zone('north', out=True)
        _open(network, balancer, 2)
        assert len(far.server.opened_at) == 2

    def test_zone_wait_is_short_compared_to_the_longest(self) -> None:
        assert MAX_ZONE_WAIT <= TIMEOUT * BUSY_WAIT_FRACTION / 2
