"""Random faults, one at a time and several at once."""

import pytest

from redwingstream.agent.tests.soak import Soak


class TestSoak:
    """The guarantees hold under random faults."""

    @pytest.mark.parametrize('seed', range(8))
    def test_one_agent_at_a_time(self, seed: int) -> None:
        soak = Soak(seed, faults_at_once=1)
        soak.run()
        assert not soak.violations()
        assert not soak.silent_feeds()

    @pytest.mark.parametrize('seed', [32, 33, 43, *range(8)])
    def test_several_agents(self, seed: int) -> None:
        """Requests are served by an agent whose heir is silent.

        A released slot admits a waiting request.  If that happens while the
        agent iterates over the waiting requests, each tick raises RuntimeError
        (seeds 32, 33 and 43).
        """
        soak = Soak(seed, faults_at_once=3)
        soak.run()
        assert not soak.violations()
