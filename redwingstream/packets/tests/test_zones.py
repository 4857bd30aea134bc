"""Pattern: zones with unequal load, and bytes between them that cost."""

import pytest

from redwingstream.openings.wait_estimate import BUSY_WAIT_FRACTION
from redwingstream.packets.admitting import ZONE_WAIT
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
    agent.server.run = RUN
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
    """A short wait is taken in the own zone; a long one is not."""

    def test_behind_one_request(self, network, balancer, near, far) -> None:
        """Guards against answers that cross zones to save a moment."""
        _open(network, balancer, 2)
        assert len(near.server.opened_at) == 2
        assert not far.server.opened_at

    def test_not_behind_several(self, network, balancer, near, far) -> None:
        """Guards against a line in one zone beside servers with room."""
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

    def test_the_wait_is_short_beside_the_longest(self) -> None:
        assert ZONE_WAIT <= TIMEOUT * BUSY_WAIT_FRACTION / 2
