"""Packets that arrive while all processes are starting."""

import pytest

from redwingstream.packets.early_packets import (
    MAX_KEPT,
    MAX_KEPT_SECONDS,
    EarlyPackets,
)
from redwingstream.packets.events import FlowDropped
from redwingstream.packets.tests.network import (
    HOP,
    BalancerNode,
    Caller,
    Network,
)
from redwingstream.tables.snapshot import Tables


@pytest.fixture
def network() -> Network:
    return Network()


@pytest.fixture
def balancer(network) -> BalancerNode:
    """A balancer that has just started and knows neither tables nor agents."""
    made = network.add_balancer('10.1.0.100')
    made.forwarder.apply_tables(Tables(), {})
    made.forwarder.routes.confirmed_at = float('-inf')
    return made


def _make_reachable(network: Network, balancer: BalancerNode) -> None:
    balancer.apply_tables(network.tables)
    outgoing = balancer.forwarder.retry_early(network.now)
    network.send_all(balancer.address, outgoing)


class TestBeforeTheTables:
    """Packets arrive before the tables."""

    def test_opens_as_soon_as_they_are_there(self, network, balancer) -> None:
        """Guards against waiting for the caller's next copy after a restart."""
        network.add_agent('10.1.0.1')
        caller = Caller(network, '100.64.0.1', 1000).open(balancer)
        network.run(0.1)
        _make_reachable(network, balancer)
        network.run(3 * HOP)
        assert caller.accepted is not None
        assert caller.waited < 0.1 + 3 * HOP

    def test_an_open_flow_goes_on(self, network, balancer) -> None:
        """Guards against waiting for the retransmission of a request."""
        agent = network.add_agent('10.1.0.1')
        other = network.add_balancer('10.1.0.101')
        caller = Caller(network, '100.64.0.1', 1000).open(other)
        network.run(0.1)
        caller.ask(balancer)
        network.run(0.05)
        taken = len(agent.server.taken)
        _make_reachable(network, balancer)
        network.run(3 * HOP)
        assert len(agent.server.taken) == taken + 1

    def test_is_not_sent_on_after_its_repeat(self, network, balancer) -> None:
        """Guards against late first packets that open unused flows."""
        network.add_agent('10.1.0.1')
        caller = Caller(network, '100.64.0.1', 1000)
        caller.open(balancer)
        balancer.alive = False
        network.run(MAX_KEPT_SECONDS + 0.05)
        assert not balancer.forwarder.retry_early(network.now)
        reasons = [
            event.reason
            for event in network.events
            if isinstance(event, FlowDropped)
        ]
        assert reasons == ['route or agents not known in time']


class TestBeforeTheAgents:
    """Tables are in force, and no agent is known yet."""

    def test_is_not_refused(self, network, balancer) -> None:
        """Guards against refusals before the agents are known."""
        balancer.apply_tables(network.tables)
        caller = Caller(network, '100.64.0.1', 1000).open(balancer)
        network.run(0.05)
        assert not caller.resets
        network.add_agent('10.1.0.1')
        _make_reachable(network, balancer)
        network.run(3 * HOP)
        assert caller.accepted is not None

    def test_is_refused_once_all_agents_are_known(
        self, network, balancer
    ) -> None:
        balancer.apply_tables(network.tables)
        balancer.view.is_complete = True
        caller = Caller(network, '100.64.0.1', 1000).open(balancer)
        network.run(0.05)
        assert caller.resets == 1


class TestEarlyPackets:
    """The number of kept packets is limited."""

    def test_oldest_packets_are_dropped(self) -> None:
        early = EarlyPackets()
        for number in range(MAX_KEPT + 5):
            early.add(number.to_bytes(2), 0)
        assert len(early) == MAX_KEPT
        assert early.overflowed == 5
        assert early.pop_all()[0].packet == (5).to_bytes(2)
