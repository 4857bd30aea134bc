"""Servers that report to be ready but fail their requests.

One server of ten resets all or half of its requests for eight seconds, while
its reports and health checks are good.  Callers open 50 flows a second, five
per server, where users expect 3 to 5.  A request that must not run twice is not
retried by its caller, so each request given to such a server is lost.
"""

import random
from collections.abc import Callable

import pytest

from redwingstream.packets.events import ServerDoubted, ServerTrusted
from redwingstream.packets.tests.network import (
    AgentNode,
    BalancerNode,
    Caller,
    Network,
)

SERVERS = 10
RATE = 50
FAILS_FOR = 8
FIRST_PORT = 1000


class _Load:
    """A pool, and callers that open flows at a fixed rate."""

    def __init__(self) -> None:
        self.network = Network()
        for number in range(SERVERS):
            self.network.add_agent(f'10.1.0.{number + 1}')
        self.balancer: BalancerNode = self.network.add_balancer('10.1.0.100')
        self.callers: list[Caller] = []

    @property
    def failing_agent(self) -> AgentNode:
        return self.network.agents[0]

    @property
    def failed(self) -> int:
        return sum(caller.resets > 0 for caller in self.callers)

    @property
    def unanswered(self) -> int:
        return sum(not caller.answers for caller in self.callers)

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * RATE)):
            port = FIRST_PORT + len(self.callers)
            caller = Caller(self.network, '100.64.0.1', port)
            self.callers.append(caller.open(self.balancer))
            self.network.run(1 / RATE)
        self.network.run(1)

    def opened_since(self, agent: AgentNode, since: float) -> int:
        return sum(at >= since for at in agent.server.opened_at)


@pytest.fixture
def load() -> _Load:
    """Ten working servers."""
    made = _Load()
    made.run(1)
    return made


def _half() -> Callable[[], bool]:
    rng = random.Random(3)
    return lambda: bool(rng.getrandbits(1))


class TestOneFails:
    """One server of the pool fails its requests."""

    def test_loses_few_requests_when_it_fails_all(self, load) -> None:
        """Guards against losing a tenth of all requests."""
        load.failing_agent.server.fails = lambda: True
        load.run(FAILS_FOR)
        assert load.failed <= 4 + FAILS_FOR + 2
        doubted = [
            one for one in load.network.events if isinstance(one, ServerDoubted)
        ]
        assert len(doubted) == 1

    def test_loses_few_requests_when_it_fails_half(self, load) -> None:
        load.failing_agent.server.fails = _half()
        load.run(FAILS_FOR)
        assert load.failed <= 4 + FAILS_FOR + 2

    def test_gets_its_share_again_once_it_works(self, load) -> None:
        load.failing_agent.server.fails = lambda: True
        load.run(FAILS_FOR)
        load.failing_agent.server.fails = bool
        load.run(4)
        since = load.network.now
        load.run(4)
        assert (
            load.opened_since(load.failing_agent, since)
            >= RATE * 4 / SERVERS / 2
        )
        assert any(
            isinstance(one, ServerTrusted) for one in load.network.events
        )


class TestAllFail:
    """Every server fails, so that the fault is not that of one server."""

    def test_the_pool_is_not_given_up(self, load) -> None:
        """Guards against refusing all flows when servers serve half."""
        for agent in load.network.agents:
            agent.server.fails = _half()
        before = len(load.callers)
        load.run(FAILS_FOR)
        opened = load.callers[before:]
        assert all(caller.accepted is not None for caller in opened)
        served = sum(caller.answers > 0 for caller in opened)
        assert served >= 0.4 * len(opened)

    def test_a_pool_of_one_server_goes_on(self) -> None:
        network = Network()
        network.add_agent('10.1.0.1').server.fails = _half()
        balancer = network.add_balancer('10.1.0.100')
        callers = []
        for number in range(100):
            caller = Caller(network, '100.64.0.1', FIRST_PORT + number)
            callers.append(caller.open(balancer))
            network.run(1 / RATE)
        network.run(1)
        assert all(caller.accepted is not None for caller in callers)
