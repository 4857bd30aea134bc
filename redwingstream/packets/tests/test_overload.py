"""Overload: requests exceed the capacity of a pool by a tenth.

Most requests arrive on open flows, which cannot be refused; agents can only
decide which new flows wait, and for how long.
"""

import random

import pytest

from redwingstream.packets.tests.network import SERVICE, Caller, Network

SERVERS = 3
RUN = 0.016
TIMEOUT = 0.5
TARGET = 0.12
OFFERED = 1.1
OPEN_FLOWS = 40
SHARE_OF_OPEN_FLOWS = 0.75
DURATION = 6.0


def _overloaded(seed: int) -> list[Caller]:
    """Return the callers of new flows while a pool is overloaded."""
    network = Network()
    for number in range(SERVERS):
        agent = network.add_agent(f'10.1.0.{number + 1}')
        agent.server.slots = 1
        agent.server.run_seconds = RUN
        agent.context.timeout_by_service = {SERVICE: TIMEOUT}
        agent.report()
    balancer = network.add_balancer('10.1.0.100')
    feeds = []
    for port in range(OPEN_FLOWS):
        feeds.append(Caller(network, '100.64.0.2', 1000 + port).open(balancer))
        network.run(0.1)
    callers: list[Caller] = []
    rng = random.Random(seed)
    end = network.now + DURATION
    while network.now < end:
        if rng.random() < SHARE_OF_OPEN_FLOWS:
            rng.choice(feeds).ask(balancer)
        else:
            caller = Caller(network, '100.64.0.1', 1000 + len(callers))
            callers.append(caller.open(balancer))
        network.run(rng.expovariate(OFFERED * SERVERS / RUN))
    network.run(2)
    return callers


@pytest.mark.parametrize('seed', range(4))
class TestOverloadedPool:
    """New flows are accepted soon or refused at once."""

    def test_no_flow_is_accepted_after_the_target(self, seed) -> None:
        """Guards against queues in which all flows wait for too long."""
        accepted = [
            caller.waited
            for caller in _overloaded(seed)
            if caller.accepted is not None
        ]
        assert max(accepted) <= TARGET

    def test_every_flow_is_answered(self, seed) -> None:
        """Guards against callers without any answer until they give up."""
        assert not any(
            caller.accepted is None and not caller.resets
            for caller in _overloaded(seed)
        )
