"""Open flows whose agent no balancer remembers."""

from redwingstream.packets.tests.network import (
    IDLE_TIMEOUT,
    AgentNode,
    BalancerNode,
    Caller,
    Network,
)

JOINED = 46
PORT = 1004
"""With this one more than 16 of those that joined come before the carrier."""


def _carrier(network: Network) -> AgentNode:
    return next(agent for agent in network.agents if agent.server.open_flows)


def _far_flow() -> tuple[Network, BalancerNode, Caller]:
    """A flow near whose balancer nobody had room; many agents joined since."""
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
    """The first agent by rank has joined after the flow was opened."""

    def test_the_one_before_it_still_knows(self) -> None:
        """A feed stalls after instances were added.

        A feed is carried in another zone; its packets go by a balancer's hint,
        so its home sees none of them.  After a rest longer than the idle
        time-out of that memory, but not of the feed, an agent joins that comes
        first by rank, and the feed's packets reach another balancer.
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

    def test_packets_are_kept_from_a_server_that_cannot_hold_it(self) -> None:
        """A server is given packet after packet of another one's flow.

        Nobody remembers the flow any more.  The home's server has been heard
        from its first report on, so its agent would know a flow of it.
        """
        network = Network()
        carrier = network.add_agent('10.1.0.1')
        balancer = network.add_balancer('10.1.0.100')
        caller = Caller(network, '100.64.0.1', 1000).open(balancer)
        network.run(1)
        added = [
            network.add_agent(f'10.1.1.{number + 1}') for number in range(8)
        ]
        handed = [agent.context.counters for agent in added]
        other = network.add_balancer('10.1.0.101')
        answers = caller.answers
        caller.ask(other)
        network.run(1)
        assert caller.answers == answers + 1
        assert carrier.server.open_flows
        assert not any(counters.handed_back for counters in handed)

    def test_one_packet_shows_that_a_server_does_not_hold_it(self) -> None:
        """A server is given packet after packet of a flow that is gone.

        The home's agent was restarted and does not know what its server holds.
        The first packet is handed back, and the caller sends more of them.
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
        network.make_known()
        for _ in range(5):
            network.run(1.1)
            caller.ask(balancer)
        network.run(1)
        assert carrier.context.counters.handed_back == 1


class TestForgottenFlow:
    """Neither a balancer nor the home knows where a flow is."""

    def test_is_found_in_a_large_pool(self) -> None:
        """A feed is silent for good after a restart beside its home.

        The home's agent and all balancers were started again; the feed is
        carried by any of 47 others.
        """
        network, balancer, caller = _far_flow()
        home = network.agents[0]
        home.start(listens_since=-IDLE_TIMEOUT)
        home.report()
        balancer.start()
        network.make_known()
        answers = caller.answers
        caller.ask(balancer)
        network.run(1)
        assert caller.answers == answers + 1
