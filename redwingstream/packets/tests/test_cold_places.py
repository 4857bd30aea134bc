"""Pattern: all servers are cold, and callers ask for more than they bear."""

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
        agent.server.run = 0.024
        agent.context.timeout_by_service = {SERVICE: TIMEOUT}
        agent.report(cold_for=COLD_FOR)
    balancer = network.add_balancer('10.1.0.100')
    chance = random.Random(seed)
    callers = []
    while network.now < COLD_FOR:
        caller = Caller(network, '100.64.0.1', 1000 + len(callers))
        callers.append(caller.open(balancer))
        network.run(chance.expovariate(RATE))
    return network, callers


@pytest.mark.parametrize('seed', range(4))
class TestColdPool:
    """Its places are used, and by callers that still have time."""

    def test_who_is_let_in_has_just_come(self, seed) -> None:
        """Guards against places for callers whose answers are late already."""
        _, callers = _cold_pool(seed)
        waited = [one.waited for one in callers if one.accepted is not None]
        assert max(waited) <= TARGET

    def test_all_places_are_used(self, seed) -> None:
        """Guards against refusals while servers have places left."""
        network, _ = _cold_pool(seed)
        early = [
            moment
            for agent in network.agents
            for moment in agent.server.opened_at
            if moment < 1
        ]
        assert len(early) == SERVERS * ALLOWED

    def test_the_others_are_told_at_once(self, seed) -> None:
        network, callers = _cold_pool(seed)
        network.run(TARGET)
        assert not any(
            caller.accepted is None and not caller.resets for caller in callers
        )
