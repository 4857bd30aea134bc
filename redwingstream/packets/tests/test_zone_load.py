"""One availability zone is asked for more than its servers run.

Callers' hours differ from zone to zone, and servers leave a zone: for seconds
the servers of one zone are all busy while those of another are idle.  Each zone
has more servers than agents decide on a flow.
"""

import random

import pytest

from redwingstream.packets.next_agent import MAX_AGENTS_TRIED
from redwingstream.packets.tests.network import SERVICE, Caller, Network

SERVERS_IN_ZONE = 2 * MAX_AGENTS_TRIED
RUN = 0.035
TIMEOUT = 3.0
TARGET = 0.45
DURATION = 4.0
CALM_SHARE = 0.3
PRESSED_SHARE = 1.5
NEAR, FAR = 'north', 'south'


class _Zones:
    """Two zones with as many servers each, and callers in one of them."""

    def __init__(self, seed: int) -> None:
        self.network = Network()
        for number, zone in enumerate((NEAR, FAR), start=1):
            for place in range(SERVERS_IN_ZONE):
                self._add_agent(f'10.{number}.0.{place + 1}', zone)
        self.network.publish_agents()
        self.balancer = self.network.add_balancer('10.1.0.100', NEAR)
        self.callers: list[Caller] = []
        self._rng = random.Random(seed)

    def run(self, share: float) -> None:
        """Open flows at a share of what the servers of the zone run."""
        end = self.network.now + DURATION
        rate = share * SERVERS_IN_ZONE / RUN
        while self.network.now < end:
            caller = Caller(self.network, '100.64.0.1', self._next_port())
            self.callers.append(caller.open(self.balancer))
            self.network.run(self._rng.expovariate(rate))
        self.network.run(2)

    def opened_in(self, zone: str) -> int:
        """Return how many flows the servers of a zone were given."""
        return sum(
            len(agent.server.opened_at)
            for agent in self.network.agents
            if agent.zone == zone
        )

    def _add_agent(self, host: str, zone: str) -> None:
        agent = self.network.add_agent(host, zone)
        agent.server.slots = 1
        agent.server.run_seconds = RUN
        agent.context.timeout_by_service = {SERVICE: TIMEOUT}
        agent.report()

    def _next_port(self) -> int:
        return 1000 + len(self.callers)


@pytest.fixture(params=range(4))
def zones(request) -> _Zones:
    return _Zones(request.param)


class TestPressedZone:
    """Flows that would queue in their own zone are opened in another one."""

    def test_nobody_is_refused_while_others_are_idle(self, zones) -> None:
        """Guards against flows that only agents of a busy zone decide on."""
        zones.run(PRESSED_SHARE)
        assert not any(caller.resets for caller in zones.callers)

    def test_everybody_is_accepted_in_time(self, zones) -> None:
        zones.run(PRESSED_SHARE)
        assert max(caller.waited for caller in zones.callers) <= TARGET

    def test_the_zone_keeps_its_own_servers_busy(self, zones) -> None:
        """Guards against giving away flows that the own zone can run."""
        zones.run(PRESSED_SHARE)
        opened = zones.opened_in(NEAR)
        assert opened >= 0.9 * SERVERS_IN_ZONE / RUN * DURATION


class TestCalmZone:
    """Flows stay in their zone while its servers have time."""

    def test_no_flow_leaves(self, zones) -> None:
        """Guards against traffic between zones that serves nobody sooner."""
        zones.run(CALM_SHARE)
        assert zones.opened_in(FAR) <= 0.01 * len(zones.callers)
