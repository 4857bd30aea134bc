"""Open flows whose carrier no balancer knows."""

from redwingstream.packets.tests.network import (
    IDLE_TIMEOUT,
    KNOWN_AFTER,
    AgentNode,
    BalancerNode,
    Caller,
    Network,
)

JOINED = 46
PORT = 1004
"""Caller port with which more than 16 of the joined agents rank before the
carrier."""


def _carrier(network: Network) -> AgentNode:
    return next(agent for agent in network.agents if agent.server.open_flows)


def _far_flow() -> tuple[Network, BalancerNode, Caller]:
    """Return a flow carried in another zone, where many agents joined later."""
    network = Network()
    near = network.add_agent('10.1.0.1', 'north')
    near.server.refuses = True
    network.add_agent('10.2.0.1', 'south')
    balancer = network.add_balancer('10.1.0.100', 'north')
    caller = Caller(network, '100.64.0.1', PORT).open(balancer)
    network.run(1)
    for number in range(JOINED):
        network.add_agent(f'10.2.1.{number + 1}', 'south')
    return network, balancer, caller


class TestNewHome:
    """The home of a flow has joined after the flow was opened."""

    def test_former_home_still_knows_the_carrier(self) -> None:
        """Guards against a feed that stalls after instances were added.

        The feed is carried in another zone; by a balancer's hint its packets do
        not pass its home.  After more than the idle time-out, agents join that
        rank first, and the feed's packets reach another balancer.  The former
        home must still know the carrier.
        """
        network, balancer, caller = _far_flow()
        carrier = _carrier(network)
        for _ in range(3):
            network.run(IDLE_TIMEOUT - 5)
            caller.ask(balancer)
        added = [
            network.add_agent(f'10.1.1.{number + 1}', 'north')
            for number in range(8)
        ]
        other = network.add_balancer('10.1.0.101', 'north')
        network.run(1)
        answers = caller.answers
        caller.ask(other)
        network.run(1)
        assert caller.answers == answers + 1
        assert carrier.server.open_flows
        assert not any(agent.server.taken for agent in added)

    def test_is_not_delivered_to_a_server_that_cannot_hold_it(self) -> None:
        """Guards against delivering packets to servers without the flow.

        No balancer or home knows the carrier.  The agent of the home has seen
        all packets of its server, so it knows that the server does not hold the
        flow.
        """
        network = Network()
        carrier = network.add_agent('10.1.0.1')
        balancer = network.add_balancer('10.1.0.100')
        caller = Caller(network, '100.64.0.1', 1000).open(balancer)
        network.run(1)
        added = [
            network.add_agent(f'10.1.1.{number + 1}') for number in range(8)
        ]
        added_counters = [agent.context.counters for agent in added]
        other = network.add_balancer('10.1.0.101')
        answers = caller.answers
        caller.ask(other)
        network.run(1)
        assert caller.answers == answers + 1
        assert carrier.server.open_flows
        assert not any(counters.handed_back for counters in added_counters)

    def test_one_packet_shows_that_a_server_does_not_hold_it(self) -> None:
        """Guards against delivering each packet of a lost flow to a server.

        The agent was restarted and does not know the flows of its server.  The
        server returns the first packet, and the caller sends more of them.
        """
        network = Network()
        carrier = network.add_agent('10.1.0.1')
        balancer = network.add_balancer('10.1.0.100')
        caller = Caller(network, '100.64.0.1', 1000).open(balancer)
        network.run(1)
        carrier.server.restart()
        carrier.start()
        carrier.report()
        balancer.start()
        network.publish_agents()
        for _ in range(5):
            network.run(1.1)
            caller.ask(balancer)
        network.run(1)
        assert carrier.context.counters.handed_back == 1


class TestForgottenFlow:
    """Neither a balancer nor the home knows the carrier of a flow."""

    def test_is_found_in_a_large_pool(self) -> None:
        """Guards against a feed that stalls after restarts.

        The home and all balancers were restarted; the feed is carried by one of
        47 other agents.
        """
        network, balancer, caller = _far_flow()
        home = network.agents[0]
        home.start(started_at=-KNOWN_AFTER)
        home.report()
        balancer.start()
        network.publish_agents()
        answers = caller.answers
        caller.ask(balancer)
        network.run(1)
        assert caller.answers == answers + 1
