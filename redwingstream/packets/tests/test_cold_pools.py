"""Cold pool: all servers are cold, and more flows arrive than they may get."""

import random

import pytest

from redwingstream.packets.tests.network import SERVICE, Caller, Network

SERVERS = 7
ALLOWED = 5
TIMEOUT = 0.5
TARGET = 0.1
RATE = 200
COLD_FOR = 2.0


def _cold_pool(seed: int) -> tuple[Network, list[Caller]]:
    """Return a pool, cold for two seconds, and the callers of that time."""
    network = Network()
    for number in range(SERVERS):
        agent = network.add_agent(f'10.1.0.{number + 1}')
        agent.server.slots = 1
        agent.server.run_seconds = 0.024
        agent.context.timeout_by_service = {SERVICE: TIMEOUT}
        agent.report(cold_for=COLD_FOR)
    balancer = network.add_balancer('10.1.0.100')
    rng = random.Random(seed)
    callers = []
    while network.now < COLD_FOR:
        caller = Caller(network, '100.64.0.1', 1000 + len(callers))
        callers.append(caller.open(balancer))
        network.run(rng.expovariate(RATE))
    return network, callers


@pytest.mark.parametrize('seed', range(4))
class TestColdPool:
    """All permitted flows are opened, for callers that still have time."""

    def test_accepted_flows_have_not_waited_long(self, seed) -> None:
        """Guards against opening flows whose answers would be too late."""
        _, callers = _cold_pool(seed)
        waited = [one.waited for one in callers if one.accepted is not None]
        assert max(waited) <= TARGET

    def test_all_permitted_flows_are_opened(self, seed) -> None:
        """Guards against refusals while servers may get more flows."""
        network, _ = _cold_pool(seed)
        early = [
            moment
            for agent in network.agents
            for moment in agent.server.opened_at
            if moment < 1
        ]
        assert len(early) == SERVERS * ALLOWED

    def test_other_flows_are_refused_at_once(self, seed) -> None:
        network, callers = _cold_pool(seed)
        network.run(TARGET)
        assert not any(
            caller.accepted is None and not caller.resets for caller in callers
        )
