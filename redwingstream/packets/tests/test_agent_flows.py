"""The table of flows of an agent."""

import pytest

from redwingstream.packets.agent_flows import (
    AgentFlows,
    CarriedFlow,
    FlowState,
)
from redwingstream.packets.envelopes import Envelope, Kind
from redwingstream.packets.flow import FlowId
from redwingstream.packets.tests.network import IDLE_TIMEOUT, KNOWN_AFTER

FLOW = FlowId(1)


@pytest.fixture
def flows() -> AgentFlows:
    return AgentFlows(IDLE_TIMEOUT)


@pytest.fixture
def carried(flows) -> CarriedFlow:
    envelope = Envelope(Kind.OPENING, b'')
    made = CarriedFlow(FLOW, envelope, FlowState.ESTABLISHED, 0)
    flows.add(made, 0)
    return made


class TestEndedFlow:
    """The server has sent its last packet on a flow."""

    def test_takes_no_place_at_the_server(self, flows, carried) -> None:
        """Guards against an empty server that is given no flows.

        Many short flows end within the idle time-out.
        """
        assert flows.count == 1
        flows.end(carried, 1)
        assert not flows.count

    def test_is_known_for_late_packets(self, flows, carried) -> None:
        """Guards against a search for a flow that has ended."""
        flows.end(carried, 1)
        assert flows.find_carried(FLOW, 2) is carried
        assert flows.find_carried(FLOW, 3 + KNOWN_AFTER) is None

    def test_is_removed_as_a_whole(self, flows, carried) -> None:
        flows.end(carried, 1)
        flows.remove(carried)
        assert flows.find_carried(FLOW, 2) is None
