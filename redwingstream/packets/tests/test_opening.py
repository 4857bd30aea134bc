"""New flows: which server receives them, and which are refused."""

import pytest

from redwingstream.directory.messages import Readiness
from redwingstream.packets.flow import address_of
from redwingstream.packets.tests.codec import OPENING, Packet
from redwingstream.packets.tests.network import (
    COPIES_AFTER,
    HOP,
    SERVICE,
    AgentNode,
    BalancerNode,
    Caller,
    Network,
)


def _fleet(agents: int) -> tuple[Network, BalancerNode]:
    network = Network()
    for number in range(agents):
        network.add_agent(f'10.1.0.{number + 1}')
    return network, network.add_balancer('10.1.0.100')


def _open_all(
    network: Network, balancer: BalancerNode, count: int
) -> list[Caller]:
    callers = [
        Caller(network, '100.64.0.1', 1000 + number).open(balancer)
        for number in range(count)
    ]
    network.run(2)
    return callers


def _flows_at(agents: list[AgentNode]) -> list[int]:
    return [len(agent.server.opened_at) for agent in agents]


class TestOpening:
    """A new flow is opened at a server."""

    def test_is_accepted_in_two_hops(self) -> None:
        network, balancer = _fleet(agents=1)
        caller = Caller(network, '100.64.0.1', 1000).open(balancer)
        network.run(0.1)
        assert caller.accepted is not None
        assert caller.waited < 3 * HOP

    def test_spreads_over_servers(self) -> None:
        network, balancer = _fleet(agents=4)
        for number in range(200):
            caller = Caller(network, '100.64.0.1', 1000 + number)
            caller.open(balancer)
            network.run(0.02)
        network.run(1)
        counts = _flows_at(network.agents)
        assert sum(counts) == 200
        assert max(counts) <= 2 * min(counts)

    def test_a_busy_server_passes_it_on(self) -> None:
        network, balancer = _fleet(agents=2)
        callers = _open_all(network, balancer, 4)
        assert all(caller.accepted is not None for caller in callers)
        assert _flows_at(network.agents) == [2, 2]

    def test_stays_in_the_zone_while_it_has_room(self) -> None:
        network = Network()
        near = network.add_agent('10.1.0.1', 'north')
        far = network.add_agent('10.2.0.1', 'south')
        balancer = network.add_balancer('10.1.0.100', 'north')
        _open_all(network, balancer, 2)
        assert _flows_at([near, far]) == [2, 0]

    def test_goes_to_another_zone_when_it_has_none(self) -> None:
        network = Network()
        near = network.add_agent('10.1.0.1', 'north')
        far = network.add_agent('10.2.0.1', 'south')
        balancer = network.add_balancer('10.1.0.100', 'north')
        _open_all(network, balancer, 5)
        assert _flows_at([near, far]) == [4, 1]

    def test_a_copy_reaches_the_same_server(self) -> None:
        """Guards against opening one flow at two servers.

        The server's answer to the first packet is lost.  The copy after 200 ms
        must reach the same server, or two servers hold the flow.
        """
        network, balancer = _fleet(agents=4)
        caller = Caller(network, '100.64.0.1', 1000)
        network.caller_by_address[caller.address] = Caller(
            network, '100.64.0.1', 1000
        )
        caller.began_at = network.now
        for number in range(2):
            packet = Packet(caller.address, SERVICE, 1, number, flags=OPENING)
            balancer.handle_packet(packet)
            network.run(0.2)
        assert sorted(_flows_at(network.agents)) == [0, 0, 0, 1]


class TestSilentAgent:
    """An agent that does not answer delays a caller by one copy."""

    def test_the_copy_goes_to_another_agent(self) -> None:
        """Guards against copies sent to an agent that does not answer.

        The instance of the agent has lost power, and no other process has
        noticed.  The first opening packet is lost; the copy after 200 ms must
        go to another agent.
        """
        network, balancer = _fleet(agents=2)
        lost = network.agents[0]
        lost.alive = False
        callers = _open_all(network, balancer, 8)
        assert all(caller.accepted is not None for caller in callers)
        first_copy = COPIES_AFTER[0]
        assert max(caller.waited for caller in callers) < 1.5 * first_copy

    def test_later_flows_do_not_meet_it(self) -> None:
        network, balancer = _fleet(agents=2)
        network.agents[0].alive = False
        _open_all(network, balancer, 8)
        late = Caller(network, '100.64.0.2', 1)
        late.open(balancer)
        network.run(0.1)
        assert late.accepted is not None

    def test_it_is_trusted_again_once_it_answers(self) -> None:
        network, balancer = _fleet(agents=2)
        lost = network.agents[0]
        lost.alive = False
        _open_all(network, balancer, 8)
        lost.alive = True
        network.run(3)
        assert not balancer.forwarder.trust.is_doubted(
            lost.address, network.now
        )


class TestLeaving:
    """A server that is not ready receives no new flow."""

    @pytest.mark.parametrize(
        'readiness', [Readiness.DRAINING, Readiness.UNKNOWN]
    )
    def test_new_flows_go_elsewhere(self, readiness: Readiness) -> None:
        network, balancer = _fleet(agents=3)
        leaving = network.agents[0]
        if readiness is Readiness.UNKNOWN:
            leaving.start()
            leaving.is_not_reporting = True
        else:
            leaving.report(readiness)
        callers = _open_all(network, balancer, 6)
        assert all(caller.accepted is not None for caller in callers)
        assert not leaving.server.opened_at

    def test_even_if_only_its_agent_knows(self) -> None:
        """Guards against new flows at a draining server.

        The agent knows that its server is draining; balancers and other agents
        still believe it to be ready, since they are cut off from control.
        """
        network, balancer = _fleet(agents=2)
        leaving = network.agents[0]
        leaving.report(Readiness.DRAINING)
        _open_all(network, balancer, 10)
        assert not leaving.server.opened_at

    def test_open_flows_go_on(self) -> None:
        network, balancer = _fleet(agents=1)
        caller = _open_all(network, balancer, 1)[0]
        network.agents[0].report(Readiness.DRAINING)
        caller.ask(balancer)
        network.run(0.2)
        assert caller.answers == 2


class TestZoneOut:
    """An availability zone that is out receives no new flow."""

    def test_new_flows_go_to_other_zones(self) -> None:
        network = Network()
        out = network.add_agent('10.1.0.1', 'north')
        rest = network.add_agent('10.2.0.1', 'south')
        balancer = network.add_balancer('10.1.0.100', 'north')
        network.mark_zone('north', out=True)
        callers = _open_all(network, balancer, 2)
        assert all(caller.accepted is not None for caller in callers)
        assert _flows_at([out, rest]) == [0, 2]

    def test_uses_up_no_tries(self) -> None:
        """Guards against refusing new flows while a server is idle.

        The server of the balancer's zone is busy, one zone is out, and one
        server of a third zone is idle.  Only four agents are tried for a new
        flow; if agents of the zone that is out were among them, the idle server
        would rarely be reached.
        """
        network = Network()
        network.add_agent('10.1.0.1', 'north')
        for number in range(12):
            network.add_agent(f'10.2.0.{number + 1}', 'south')
        idle = network.add_agent('10.3.0.1', 'east')
        balancer = network.add_balancer('10.1.0.100', 'north')
        network.mark_zone('south', out=True)
        callers = _open_all(network, balancer, 6)
        assert all(caller.accepted is not None for caller in callers)
        assert _flows_at([idle]) == [2]

    def test_a_returned_zone_counts_as_cold(self) -> None:
        """Guards against overloading servers of a zone that comes back.

        They may have become cold while the zone was out, and their next report
        arrives up to 1.2 s later.  Until then an agent gives its server no more
        flows than a cold server may get.
        """
        network = Network()
        agent = network.add_agent('10.1.0.1')
        balancer = network.add_balancer('10.1.0.100')
        network.mark_zone('north', out=True)
        network.run(1)
        network.mark_zone('north', out=False)
        agent.gate.assume_cold(network.now)
        agent.is_not_reporting = True
        for number in range(20):
            Caller(network, '100.64.0.1', 1000 + number).open(balancer)
        network.run(0.9)
        assert len(agent.server.opened_at) == 5


class TestRefusal:
    """A flow that no server can accept is refused at once."""

    def test_at_once(self) -> None:
        network, balancer = _fleet(agents=2)
        for agent in network.agents:
            agent.report(Readiness.DRAINING)
        caller = Caller(network, '100.64.0.1', 1000).open(balancer)
        network.run(0.1)
        assert caller.resets == 1

    def test_without_any_agent(self) -> None:
        network, balancer = _fleet(agents=0)
        balancer.view.is_complete = True
        caller = Caller(network, '100.64.0.1', 1000).open(balancer)
        network.run(0.1)
        assert caller.resets == 1

    def test_a_copy_is_never_answered_with_a_reset(self) -> None:
        """Guards against a late refusal that breaks an open flow.

        The first packet opens the flow; its copy, sent before the answer
        arrived, reaches an agent that cannot open it.  A reset in answer to the
        copy would reach the caller after the flow has opened.
        """
        network, balancer = _fleet(agents=1)
        caller = Caller(network, '100.64.0.1', 1000)
        network.caller_by_address[caller.address] = caller
        network.agents[0].report(Readiness.DRAINING)
        packet = Packet(caller.address, SERVICE, 1, 1, flags=OPENING)
        balancer.handle_packet(packet)
        network.run(0.1)
        assert caller.resets == 0

    def test_an_unknown_route_is_refused(self) -> None:
        network, balancer = _fleet(agents=1)
        caller = Caller(network, '100.64.0.1', 1000)
        network.caller_by_address[caller.address] = caller
        nowhere = address_of('198.18.0.9', 1)
        packet = Packet(caller.address, nowhere, 1, flags=OPENING)
        balancer.handle_packet(packet)
        network.run(0.1)
        assert caller.resets == 1

    def test_not_when_the_tables_may_be_old(self) -> None:
        """Guards against refusing flows of a route that was just added.

        The route is added while the balancer is cut off from control.  After a
        reset the caller would give up; without an answer it sends a copy, which
        may reach a balancer with newer tables.
        """
        network, balancer = _fleet(agents=1)
        network.run(2)
        caller = Caller(network, '100.64.0.1', 1000)
        network.caller_by_address[caller.address] = caller
        nowhere = address_of('198.18.0.9', 1)
        packet = Packet(caller.address, nowhere, 1, flags=OPENING)
        balancer.handle_packet(packet)
        network.run(0.1)
        assert caller.resets == 0

    def test_another_pool_refuses(self) -> None:
        """Guards against new flows at a server of another pool.

        A server is gone and its address now belongs to a server of another
        pool.  Balancers that do not know this yet send it new flows of the
        former pool.
        """
        network, balancer = _fleet(agents=1)
        reused = network.agents[0]
        reused.pool = 'other'
        reused.start()
        reused.report()
        caller = Caller(network, '100.64.0.1', 1000).open(balancer)
        network.run(0.1)
        assert not reused.server.opened_at
        assert caller.resets == 1


class TestFullServer:
    """A new flow that a server returns is passed on."""

    def test_another_one_takes_it(self) -> None:
        network, balancer = _fleet(agents=3)
        network.agents[0].server.refuses = True
        callers = _open_all(network, balancer, 6)
        assert all(caller.accepted is not None for caller in callers)
