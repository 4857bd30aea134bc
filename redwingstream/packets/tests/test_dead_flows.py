"""Flows that no server holds any more: when callers are told, and when not."""

import attrs
import pytest

from redwingstream.directory.view import Agent
from redwingstream.packets import searching
from redwingstream.packets.dead_flows import PROOF_SECONDS
from redwingstream.packets.events import FlowDeclaredDead, FlowOpened
from redwingstream.packets.routebook import CONFIRMED_WITHIN
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
from redwingstream.tables.rows import MAX_EARLIER, FlowRules

OTHER_POOL = 'feed-2'
REPEATS = (0, 0.2, 0.6, 1.4, 3.0)
"""Seconds after which a caller sends a packet of an open flow again."""

TOLD_WITHIN = 0.7
"""Seconds: the next answer of a control instance, and two looks at it."""


@attrs.frozen
class _Lost:
    """A flow whose server was restarted, and its agent and balancer as well."""

    network: Network
    balancer: BalancerNode
    caller: Caller
    carrier: AgentNode

    def repeat(self) -> None:
        """Let the caller send a request on it, and send it again."""
        for after in REPEATS:
            self.network.later(after, self._ask)
        self.network.run(REPEATS[-1] + 1)

    def _ask(self) -> None:
        if not self.caller.resets:
            self.caller.ask(self.balancer)


def _opened(agents: int = 4) -> _Lost:
    network = Network()
    for number in range(agents):
        network.add_agent(f'10.1.0.{number + 1}')
    balancer = network.add_balancer('10.1.0.100')
    balancer.hears_control = True
    caller = Caller(network, '100.64.0.1', 1000).open(balancer)
    network.run(2)
    assert caller.answers == 1
    carrier = next(agent for agent in network.agents if agent.server.open_flows)
    return _Lost(network, balancer, caller, carrier)


def _lost(agents: int = 4) -> _Lost:
    lost = _opened(agents)
    lost.carrier.server.restart()
    lost.carrier.start()
    lost.carrier.report()
    lost.balancer.start()
    lost.network.make_known()
    lost.network.run(1)
    return lost


def _moved(network: Network, *earlier: str) -> None:
    """Let another pool serve the route from now on."""
    route = attrs.evolve(
        ROUTE, pool=OTHER_POOL, flows=FlowRules(earlier=earlier)
    )
    network.tables = attrs.evolve(
        network.tables,
        revision=network.tables.revision + 1,
        route_by_key={route.key: route},
    )
    for balancer in network.balancers:
        balancer.go_by(network.tables)


class TestDeadFlow:
    """No server holds the flow, and everybody could be asked."""

    def test_is_reset_soon(self) -> None:
        """A feed's next reading never comes after a loss of power.

        All servers, agents and balancers were started again.  The caller sends
        its request on the flow that it had, and again, until the request has
        timed out, though everybody could have told it that the flow is gone.
        """
        lost = _lost()
        began_at = lost.network.now
        lost.repeat()
        assert lost.caller.resets == 1
        assert lost.caller.reset_at is not None
        assert lost.caller.reset_at - began_at <= TOLD_WITHIN
        declared = [
            event
            for event in lost.network.events
            if isinstance(event, FlowDeclaredDead)
        ]
        assert len(declared) == 1

    def test_is_reset_although_its_route_has_another_pool(self) -> None:
        lost = _lost()
        lost.network.add_agent('10.1.1.1', pool=OTHER_POOL)
        _moved(lost.network, POOL)
        lost.repeat()
        assert lost.caller.resets == 1

    def test_is_not_searched_for_with_every_packet(self) -> None:
        """Agents are kept busy by packets of flows that are gone."""
        lost = _lost()
        lost.balancer.hears_control = False
        lost.network.run(CONFIRMED_WITHIN)
        for _ in range(50):
            lost.caller.ask(lost.balancer)
            lost.network.run(0.01)
        searches = sum(
            agent.context.counters.not_found for agent in lost.network.agents
        )
        assert searches == 1


class TestFlowThatMayLive:
    """Somebody who may hold the flow has not been asked."""

    def test_is_left_alone_while_an_agent_is_silent(self) -> None:
        """A feed is reset though its server still holds it.

        The agent beside that server is cut off from all others.  The others do
        not carry the flow.
        """
        opened = _opened()
        cut_off = opened.carrier.address
        opened.network.lost = lambda source, target: cut_off in (source, target)
        _call_silent(opened)
        opened.balancer.start()
        opened.repeat()
        assert not opened.caller.resets

    @pytest.mark.parametrize('is_silent', [False, True])
    def test_is_left_alone_while_its_server_is_about_to_end(
        self, is_silent: bool
    ) -> None:
        """A download is reset a moment before its last bytes.

        Its server has said that it ends, so nobody asks its agent any more,
        and it still sends what it owes.  Once the agent is silent, both are
        gone.
        """
        opened = _opened()
        opened.carrier.gate.state.mark_leaving('i-1')
        opened.network.make_known()
        if is_silent:
            _call_silent(opened)
        opened.balancer.start()
        opened.repeat()
        assert opened.caller.resets == is_silent

    def test_is_left_alone_while_its_agent_is_not_known_here(self) -> None:
        """A feed is reset right after instances were added.

        It was opened at a new agent, by a balancer that knew of it.  The next
        packet reaches another balancer, which hears of the agent with the
        control instances' next answer.
        """
        opened = _opened()
        network = opened.network
        other = network.add_balancer('10.1.0.101')
        other.hears_control = True
        hidden = opened.carrier.address
        known = other.view.agent_by_address
        without = [one for one in known.values() if one.address != hidden]
        for node in (other, *network.agents):
            node.view.replace_all(without)
        network.later(CONTROL_INTERVAL / 2, network.make_known)
        lost = attrs.evolve(opened, balancer=other)
        lost.repeat()
        assert not lost.caller.resets
        assert lost.caller.answers > 1

    def test_is_left_alone_without_control(self) -> None:
        lost = _lost()
        lost.balancer.hears_control = False
        lost.network.run(CONFIRMED_WITHIN + CONTROL_INTERVAL)
        lost.repeat()
        assert not lost.caller.resets

    def test_is_not_asked_about_for_ever(self) -> None:
        """Balancers ask control instances that are gone ten times a second."""
        lost = _lost()
        lost.balancer.hears_control = False
        lost.repeat()
        dead_flows = lost.balancer.forwarder.dead_flows
        assert dead_flows.has_unproved
        lost.network.run(PROOF_SECONDS + 1)
        assert not dead_flows.has_unproved

    def test_is_left_alone_while_control_has_no_leader(self) -> None:
        lost = _lost()
        lost.balancer.control_has_leader = False
        lost.network.run(CONFIRMED_WITHIN + CONTROL_INTERVAL)
        lost.repeat()
        assert not lost.caller.resets

    def test_is_left_alone_until_all_agents_have_been_heard(self) -> None:
        lost = _lost()
        lost.balancer.control_is_warm = False
        lost.network.run(CONTROL_INTERVAL)
        lost.repeat()
        assert not lost.caller.resets

    def test_is_left_alone_once_its_port_is_used_again(self) -> None:
        """A flow is reset as it opens.

        The caller has given up a flow that is dead and opens another one from
        the same port, before anybody could tell it.
        """
        lost = _lost()
        lost.balancer.hears_control = False
        lost.caller.ask(lost.balancer)
        lost.network.run(0.1)
        again = Caller(lost.network, '100.64.0.1', 1000).open(lost.balancer)
        lost.balancer.hears_control = True
        lost.network.run(1)
        assert again.answers == 1
        assert not again.resets

    def test_is_left_alone_after_too_many_changes_of_its_route(self) -> None:
        lost = _lost()
        lost.network.add_agent('10.1.1.1', pool=OTHER_POOL)
        names = [f'earlier-{number}' for number in range(MAX_EARLIER)]
        _moved(lost.network, *names)
        lost.repeat()
        assert not lost.caller.resets

    def test_is_found_at_the_pool_that_served_its_route_before(self) -> None:
        """A feed stalls after its route was given another pool.

        Balancers were started again and do not remember where it is carried.
        They ask the route's pool, and then that pool again and again.
        """
        opened = _opened()
        opened.network.add_agent('10.1.1.1', pool=OTHER_POOL)
        _moved(opened.network, POOL)
        opened.balancer.start()
        opened.network.run(1)
        opened.repeat()
        assert not opened.caller.resets
        assert opened.caller.answers > 1

    def test_is_left_alone_in_a_pool_larger_than_a_search(
        self, monkeypatch
    ) -> None:
        """Guards against declaring a flow dead after a partial search."""
        monkeypatch.setattr(searching, 'MAX_VISITED', 64)
        lost = _lost(agents=80)
        lost.repeat()
        assert not lost.caller.resets


class TestRestedFlow:
    """A flow has rested for longer than its agent runs."""

    @pytest.mark.parametrize('rest', [IDLE_TIMEOUT + 1, 3 * IDLE_TIMEOUT - 5])
    def test_is_delivered_within_the_idle_timeout_in_force(
        self, rest: float
    ) -> None:
        """A feed that rests is told that it is gone.

        Operators let flows rest for longer than agents assume by themselves.
        The agent was restarted, and takes what it has not seen since for gone.
        """
        opened = _opened()
        opened.carrier.start(listens_since=opened.network.now)
        opened.carrier.report()
        for agent in opened.network.agents:
            agent.context.flows.extend_idle_timeout(3 * IDLE_TIMEOUT)
        opened.balancer.start()
        opened.network.run(rest)
        opened.repeat()
        assert not opened.caller.resets
        assert opened.caller.answers > 1


class TestLateOpening:
    """A balancer that stood still hands on an old opening packet."""

    @pytest.mark.parametrize('is_busy', [False, True])
    def test_leaves_the_open_flow_alone(self, is_busy: bool) -> None:
        """A feed is reset, or stalls, although its server holds it.

        The first packet that opened it went to a balancer that stood still; a
        copy by another one opened the feed.  Six seconds later the first
        balancer goes on and hands its agents the old packet.  The agent takes
        it for a new flow from the same port and forgets the feed.
        """
        opened = _opened()
        late = opened.network.add_balancer('10.1.0.101')
        opened.network.run(6)
        if is_busy:
            load = opened.carrier.context.flows
            load.waiting = 100
        late.take_packet(
            Packet(opened.caller.address, SERVICE, 1, flags=OPENING)
        )
        opened.network.run(1)
        opened.carrier.context.flows.waiting = 0
        before = opened.caller.answers
        opened.balancer.start()
        opened.repeat()
        assert not opened.caller.resets
        assert opened.caller.answers > before
        servers = [agent.server for agent in opened.network.agents]
        assert sum(len(server.opened_at) for server in servers) == 1

    def test_of_another_flow_from_the_same_port_opens_it(self) -> None:
        opened = _opened()
        late = opened.network.add_balancer('10.1.0.101')
        late.take_packet(
            Packet(opened.caller.address, SERVICE, 77, flags=OPENING)
        )
        opened.network.run(1)
        servers = [agent.server for agent in opened.network.agents]
        assert any(server.sequence_by_flow for server in servers)
        events = [type(one) for one in opened.network.events]
        assert events.count(FlowOpened) == 2

    def test_is_not_sent_to_and_fro(self) -> None:
        """Two agents each believe that the other one carries a flow."""
        network = Network()
        first, second = (
            network.add_agent(f'10.1.0.{number + 1}') for number in range(2)
        )
        balancer = network.add_balancer('10.1.0.100')
        caller = Caller(network, '100.64.0.1', 1000)
        packet = Packet(caller.address, SERVICE, 1, flags=OPENING)
        flow = CODEC.read(packet.pack()).inbound
        first.context.flows.note_elsewhere(flow, second.address, network.now)
        second.context.flows.note_elsewhere(flow, first.address, network.now)
        caller.open(balancer)
        network.run(1)
        assert caller.answers == 1


class TestShorterTimeout:
    """Operators shorten the time for which flows may rest."""

    def test_does_not_end_flows_that_were_open_before(self) -> None:
        opened = _opened()
        for agent in opened.network.agents:
            agent.context.flows.extend_idle_timeout(2)
        opened.network.run(IDLE_TIMEOUT - 5)
        opened.balancer.start()
        opened.repeat()
        assert not opened.caller.resets
        assert opened.caller.answers > 1


def _call_silent(opened: _Lost) -> None:
    """Let the control instances call the carrier silent."""
    for node in (opened.balancer, *opened.network.agents):
        agents: list[Agent] = [
            attrs.evolve(one, is_silent=one.address == opened.carrier.address)
            for one in node.view.agent_by_address.values()
        ]
        node.view.replace_all(agents)
