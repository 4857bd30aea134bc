"""Random faults, several at once."""

import pytest

from redwingstream.agent.tests.soak import Soak


class TestSoak:
    """The promises hold under faults that overlap."""

    @pytest.mark.parametrize('seed', range(8))
    def test_one_agent_at_a_time(self, seed: int) -> None:
        soak = Soak(seed, faults_at_once=1)
        soak.run()
        assert not soak.broken()
        assert not soak.silent_feeds()

    @pytest.mark.parametrize('seed', [32, 33, 43, *range(8)])
    def test_several_agents(self, seed: int) -> None:
        """All bookings stop at an agent whose heir is silent.

        A slot given back there let in a request that had waited, while the
        agent walked over those that wait: RuntimeError at each tick (seeds 32,
        33 and 43).
        """
        soak = Soak(seed, faults_at_once=3)
        soak.run()
        assert not soak.broken()
