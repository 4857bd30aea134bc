"""Flows that no server holds: when callers receive a reset, and when not."""

import attrs
import pytest

from redwingstream.directory.view import Agent
from redwingstream.packets import open_flows
from redwingstream.packets.dead_flows import SEARCH_VALID_SECONDS
from redwingstream.packets.events import FlowDeclaredDead, FlowOpened
from redwingstream.packets.route_table import MAX_CONFIRMED_AGE
from redwingstream.packets.tests.codec import OPENING, Packet
from redwingstream.packets.tests.network import (
    CODEC,
    CONTROL_INTERVAL,
    IDLE_TIMEOUT,
    POOL,
    ROUTE,
    SERVICE,
    AgentNode,
    BalancerNode,
    Caller,
    Network,
)
from redwingstream.tables.rows import MAX_EARLIER_POOLS, FlowRules

OTHER_POOL = 'feed-2'
RETRANSMISSIONS = (0, 0.2, 0.6, 1.4, 3.0)
"""Seconds after which a caller retransmits a packet of an open flow."""

RESET_WITHIN = 0.7
"""Maximum seconds until the reset: the next answer of a control instance, and
two checks of it."""


@attrs.frozen
class _Scenario:
    """A network with one flow, whose processes may have been restarted."""

    network: Network
    balancer: BalancerNode
    caller: Caller
    carrier: AgentNode

    def repeat(self) -> None:
        """Send a request and retransmit it until a reset arrives."""
        for after in RETRANSMISSIONS:
            self.network.call_later(after, self._ask)
        self.network.run(RETRANSMISSIONS[-1] + 1)

    def _ask(self) -> None:
        if not self.caller.resets:
            self.caller.ask(self.balancer)


def _open_flow(agents: int = 4) -> _Scenario:
    network = Network()
    for number in range(agents):
        network.add_agent(f'10.1.0.{number + 1}')
    balancer = network.add_balancer('10.1.0.100')
    balancer.polls_control = True
    caller = Caller(network, '100.64.0.1', 1000).open(balancer)
    network.run(2)
    assert caller.answers == 1
    carrier = next(agent for agent in network.agents if agent.server.open_flows)
    return _Scenario(network, balancer, caller, carrier)


def _restarted(agents: int = 4) -> _Scenario:
    scenario = _open_flow(agents)
    scenario.carrier.server.restart()
    scenario.carrier.start()
    scenario.carrier.report()
    scenario.balancer.start()
    scenario.network.publish_agents()
    scenario.network.run(1)
    return scenario


def _assign_pool(network: Network, *earlier: str) -> None:
    """Assign the route to another pool."""
    route = attrs.evolve(
        ROUTE, pool=OTHER_POOL, flows=FlowRules(earlier=earlier)
    )
    network.tables = attrs.evolve(
        network.tables,
        revision=network.tables.revision + 1,
        route_by_key={route.key: route},
    )
    for balancer in network.balancers:
        balancer.apply_tables(network.tables)


class TestDeadFlow:
    """No server holds the flow, and all agents can be queried."""

    def test_is_reset_soon(self) -> None:
        """Guards against requests that time out on a flow that is lost.

        The server of the flow, its agent and the balancer were restarted after
        a power loss.  Without a reset the caller retransmits its request on the
        lost flow until it times out.
        """
        scenario = _restarted()
        began_at = scenario.network.now
        scenario.repeat()
        assert scenario.caller.resets == 1
        assert scenario.caller.reset_at is not None
        assert scenario.caller.reset_at - began_at <= RESET_WITHIN
        declared = [
            event
            for event in scenario.network.events
            if isinstance(event, FlowDeclaredDead)
        ]
        assert len(declared) == 1

    def test_is_reset_although_its_route_has_another_pool(self) -> None:
        scenario = _restarted()
        scenario.network.add_agent('10.1.1.1', pool=OTHER_POOL)
        _assign_pool(scenario.network, POOL)
        scenario.repeat()
        assert scenario.caller.resets == 1

    def test_is_not_searched_for_with_every_packet(self) -> None:
        """Guards against one lookup per packet of a dead flow."""
        scenario = _restarted()
        scenario.balancer.polls_control = False
        scenario.network.run(MAX_CONFIRMED_AGE)
        for _ in range(50):
            scenario.caller.ask(scenario.balancer)
            scenario.network.run(0.01)
        searches = sum(
            agent.context.counters.not_found
            for agent in scenario.network.agents
        )
        assert searches == 1


class TestFlowThatMayLive:
    """Some agent that may carry the flow has not been queried."""

    def test_is_left_alone_while_an_agent_is_silent(self) -> None:
        """Guards against resetting a feed that its server still holds.

        The agent beside that server is cut off from all other processes, and no
        other agent carries the flow.
        """
        scenario = _open_flow()
        cut_off = scenario.carrier.address
        scenario.network.is_lost = lambda source, target: (
            cut_off in (source, target)
        )
        _mark_carrier_silent(scenario)
        scenario.balancer.start()
        scenario.repeat()
        assert not scenario.caller.resets

    @pytest.mark.parametrize('is_silent', [False, True])
    def test_is_left_alone_while_its_server_is_about_to_end(
        self, is_silent: bool
    ) -> None:
        """Guards against resetting a download before its last bytes.

        Its server has announced its end, so its agent is no longer queried, but
        it still sends the rest of the download.  Once the agent is silent, both
        are gone and the flow may be reset.
        """
        scenario = _open_flow()
        scenario.carrier.gate.state.mark_leaving('i-1')
        scenario.network.publish_agents()
        if is_silent:
            _mark_carrier_silent(scenario)
        scenario.balancer.start()
        scenario.repeat()
        assert scenario.caller.resets == is_silent

    def test_is_left_alone_while_its_agent_is_not_known_here(self) -> None:
        """Guards against resetting a feed right after instances were added.

        It was opened at a new agent by a balancer that knew this agent.  The
        next packet reaches another balancer, which learns of the agent from the
        next answer of the control instances.
        """
        scenario = _open_flow()
        network = scenario.network
        other = network.add_balancer('10.1.0.101')
        other.polls_control = True
        hidden = scenario.carrier.address
        known = other.view.agent_by_address
        without = [one for one in known.values() if one.address != hidden]
        for node in (other, *network.agents):
            node.view.replace_all(without)
        network.call_later(CONTROL_INTERVAL / 2, network.publish_agents)
        scenario = attrs.evolve(scenario, balancer=other)
        scenario.repeat()
        assert not scenario.caller.resets
        assert scenario.caller.answers > 1

    def test_is_left_alone_without_control(self) -> None:
        scenario = _restarted()
        scenario.balancer.polls_control = False
        scenario.network.run(MAX_CONFIRMED_AGE + CONTROL_INTERVAL)
        scenario.repeat()
        assert not scenario.caller.resets

    def test_unproved_searches_expire(self) -> None:
        """Guards against polling absent control ten times a second."""
        scenario = _restarted()
        scenario.balancer.polls_control = False
        scenario.repeat()
        dead_flows = scenario.balancer.forwarder.dead_flows
        assert dead_flows.has_unproved
        scenario.network.run(SEARCH_VALID_SECONDS + 1)
        assert not dead_flows.has_unproved

    def test_is_left_alone_while_control_has_no_leader(self) -> None:
        scenario = _restarted()
        scenario.balancer.control_has_leader = False
        scenario.network.run(MAX_CONFIRMED_AGE + CONTROL_INTERVAL)
        scenario.repeat()
        assert not scenario.caller.resets

    def test_is_left_alone_until_all_agents_have_been_heard(self) -> None:
        scenario = _restarted()
        scenario.balancer.control_has_heard_all = False
        scenario.network.run(CONTROL_INTERVAL)
        scenario.repeat()
        assert not scenario.caller.resets

    def test_is_left_alone_once_its_port_is_used_again(self) -> None:
        """Guards against resetting a new flow from a reused port.

        The caller has given up a dead flow and opens another one from the same
        port before the first one is declared dead.
        """
        scenario = _restarted()
        scenario.balancer.polls_control = False
        scenario.caller.ask(scenario.balancer)
        scenario.network.run(0.1)
        again = Caller(scenario.network, '100.64.0.1', 1000).open(
            scenario.balancer
        )
        scenario.balancer.polls_control = True
        scenario.network.run(1)
        assert again.answers == 1
        assert not again.resets

    def test_is_left_alone_after_too_many_changes_of_its_route(self) -> None:
        scenario = _restarted()
        scenario.network.add_agent('10.1.1.1', pool=OTHER_POOL)
        names = [f'earlier-{number}' for number in range(MAX_EARLIER_POOLS)]
        _assign_pool(scenario.network, *names)
        scenario.repeat()
        assert not scenario.caller.resets

    def test_is_found_at_the_pool_that_served_its_route_before(self) -> None:
        """Guards against a feed that stalls after its route changed its pool.

        The balancer was restarted and has no hint.  It must search the earlier
        pool of the route as well, not only the current one.
        """
        scenario = _open_flow()
        scenario.network.add_agent('10.1.1.1', pool=OTHER_POOL)
        _assign_pool(scenario.network, POOL)
        scenario.balancer.start()
        scenario.network.run(1)
        scenario.repeat()
        assert not scenario.caller.resets
        assert scenario.caller.answers > 1

    def test_is_left_alone_in_a_pool_larger_than_a_search(
        self, monkeypatch
    ) -> None:
        """Guards against declaring a flow dead after a partial search."""
        monkeypatch.setattr(open_flows, 'MAX_VISITED', 64)
        scenario = _restarted(agents=80)
        scenario.repeat()
        assert not scenario.caller.resets


class TestIdleFlow:
    """A flow has been idle for longer than its agent has been running."""

    @pytest.mark.parametrize('rest', [IDLE_TIMEOUT + 1, 3 * IDLE_TIMEOUT - 5])
    def test_is_delivered_within_the_idle_timeout_in_force(
        self, rest: float
    ) -> None:
        """Guards against resetting an idle feed after a restart of its agent.

        The idle time-out in force is longer than the default.  The agent must
        not conclude before its end that its server does not hold the flow.
        """
        scenario = _open_flow()
        scenario.carrier.start(started_at=scenario.network.now)
        scenario.carrier.report()
        for agent in scenario.network.agents:
            agent.context.flows.extend_idle_timeout(3 * IDLE_TIMEOUT)
        scenario.balancer.start()
        scenario.network.run(rest)
        scenario.repeat()
        assert not scenario.caller.resets
        assert scenario.caller.answers > 1


class TestLateOpening:
    """A balancer that was suspended forwards an old opening packet."""

    @pytest.mark.parametrize('is_busy', [False, True])
    def test_leaves_the_open_flow_alone(self, is_busy: bool) -> None:
        """Guards against breaking a feed that its server holds.

        The first opening packet went to a balancer that was suspended; a copy
        through another balancer opened the feed.  Six seconds later the first
        balancer resumes and forwards the old packet.  An agent that handles it
        as a new flow from the same port removes the feed.
        """
        scenario = _open_flow()
        late = scenario.network.add_balancer('10.1.0.101')
        scenario.network.run(6)
        if is_busy:
            load = scenario.carrier.context.flows
            load.waiting = 100
        late.handle_packet(
            Packet(scenario.caller.address, SERVICE, 1, flags=OPENING)
        )
        scenario.network.run(1)
        scenario.carrier.context.flows.waiting = 0
        before = scenario.caller.answers
        scenario.balancer.start()
        scenario.repeat()
        assert not scenario.caller.resets
        assert scenario.caller.answers > before
        servers = [agent.server for agent in scenario.network.agents]
        assert sum(len(server.opened_at) for server in servers) == 1

    def test_of_another_flow_from_the_same_port_opens_it(self) -> None:
        scenario = _open_flow()
        late = scenario.network.add_balancer('10.1.0.101')
        late.handle_packet(
            Packet(scenario.caller.address, SERVICE, 77, flags=OPENING)
        )
        scenario.network.run(1)
        servers = [agent.server for agent in scenario.network.agents]
        assert any(server.sequence_by_flow for server in servers)
        events = [type(one) for one in scenario.network.events]
        assert events.count(FlowOpened) == 2

    def test_is_not_sent_back_and_forth(self) -> None:
        """Guards against a loop of agents that name each other as carrier."""
        network = Network()
        first, second = (
            network.add_agent(f'10.1.0.{number + 1}') for number in range(2)
        )
        balancer = network.add_balancer('10.1.0.100')
        caller = Caller(network, '100.64.0.1', 1000)
        packet = Packet(caller.address, SERVICE, 1, flags=OPENING)
        flow = CODEC.read(packet.pack()).inbound
        first.context.flows.record_carrier(flow, second.address, network.now)
        second.context.flows.record_carrier(flow, first.address, network.now)
        caller.open(balancer)
        network.run(1)
        assert caller.answers == 1


class TestShorterTimeout:
    """Operators shorten the idle time-out."""

    def test_does_not_end_flows_that_were_open_before(self) -> None:
        scenario = _open_flow()
        for agent in scenario.network.agents:
            agent.context.flows.extend_idle_timeout(2)
        scenario.network.run(IDLE_TIMEOUT - 5)
        scenario.balancer.start()
        scenario.repeat()
        assert not scenario.caller.resets
        assert scenario.caller.answers > 1


def _mark_carrier_silent(scenario: _Scenario) -> None:
    """Mark the carrier as silent in all views."""
    for node in (scenario.balancer, *scenario.network.agents):
        agents: list[Agent] = [
            attrs.evolve(one, is_silent=one.address == scenario.carrier.address)
            for one in node.view.agent_by_address.values()
        ]
        node.view.replace_all(agents)
