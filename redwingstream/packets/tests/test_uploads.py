"""Uploads over low-bandwidth links: most of their time is transfer."""

import pytest

from redwingstream.packets.request_load import FULL_PACKET_SIZE
from redwingstream.packets.tests.codec import RESET, Packet
from redwingstream.packets.tests.network import SERVICE, Caller, Network
from redwingstream.tables.rows import FlowKind, FlowRules

LAST_SIZE = 100


@pytest.fixture
def network() -> Network:
    network = Network()
    agent = network.add_agent('10.1.0.1')
    agent.server.slots = 1
    rules = FlowRules(kind=FlowKind.UPLOAD)
    agent.context.apply_flow_rules({SERVICE: rules})
    agent.report()
    network.add_balancer('10.1.0.100')
    return network


def _upload(network: Network, *sizes: int, port: int = 1000) -> Caller:
    """Open a flow and send packets of a request, 20 ms apart."""
    caller = Caller(network, '100.64.0.1', port).open(network.balancers[0])
    caller.request_balancer = None
    network.run(0.01)
    for size in sizes:
        caller.ask(network.balancers[0], size)
        network.run(0.02)
    return caller


class TestLoadOfAnUpload:
    """An upload is load of its server once the server has all of it."""

    def test_not_while_in_transfer(self, network) -> None:
        """Guards against an idle server that looks busy."""
        network.agents[0].server.run_seconds = 1
        _upload(network, FULL_PACKET_SIZE, FULL_PACKET_SIZE)
        assert network.agents[0].context.load().waiting == 0

    def test_from_its_last_packet(self, network) -> None:
        """Guards against a busy server that looks idle."""
        network.agents[0].server.run_seconds = 1
        _upload(network, FULL_PACKET_SIZE, LAST_SIZE, FULL_PACKET_SIZE)
        assert network.agents[0].context.load().waiting == 1

    def test_of_other_routes_from_the_first_packet(self, network) -> None:
        """Guards against a change for routes that are not uploads."""
        agent = network.agents[0]
        agent.context.apply_flow_rules({SERVICE: FlowRules()})
        agent.server.run_seconds = 1
        _upload(network, FULL_PACKET_SIZE)
        assert agent.context.load().waiting == 1

    def test_a_reset_in_transfer_is_a_failure(self, network) -> None:
        """Guards against a failing server that is no longer detected."""
        agent = network.agents[0]
        for port in range(4):
            caller = _upload(network, FULL_PACKET_SIZE, port=port)
            reset = Packet(SERVICE, caller.address, flags=RESET)
            agent.handle_server_packet(reset)
        assert agent.gate.failures.is_in_doubt
