"""The agents, merged from the answers of several control instances."""

import attrs
import pytest

from redwingstream.directory.messages import (
    AgentRecord,
    HeardRecord,
    Readiness,
)
from redwingstream.directory.view import (
    CONTROL_TIMEOUT,
    EVICT_AFTER,
    AgentView,
)
from redwingstream.packets.flow import Address

FIRST = Address(101)
SECOND = Address(102)
AGENT = Address(1)
RECORD = AgentRecord(
    AGENT, 'north', 'feed', 7, 1, Readiness.READY, is_cold=False
)


def _heard(record: AgentRecord = RECORD, age: float = 0) -> HeardRecord:
    return HeardRecord(record, age, is_silent=False)


def _silent(record: AgentRecord = RECORD, age: float = 2) -> HeardRecord:
    return HeardRecord(record, age, is_silent=True)


class TestAgentView:
    """Records of two control instances that differ."""

    @pytest.fixture
    def view(self) -> AgentView:
        made = AgentView()
        made.handle_records(FIRST, 1, (_heard(),), 10)
        made.handle_records(SECOND, 1, (_heard(),), 10)
        return made

    def test_knows_agents_by_pool(self, view) -> None:
        assert [agent.address for agent in view.agents_in_pool('feed')] == [
            AGENT
        ]
        assert not view.agents_in_pool('reports')

    def test_one_partitioned_control_does_not_decide(self, view) -> None:
        """Guards against giving up an agent that one instance has lost.

        A control instance is partitioned from the agent and reports it as
        silent, while the other one hears it.
        """
        view.handle_records(FIRST, 1, (_silent(),), 12)
        view.handle_records(SECOND, 1, (), 12)
        assert not view.agents_in_pool('feed')[0].is_silent

    def test_silent_when_all_controls_report_it(self, view) -> None:
        view.handle_records(FIRST, 1, (_silent(),), 12)
        view.handle_records(SECOND, 1, (_silent(),), 12)
        assert view.agents_in_pool('feed')[0].is_silent

    def test_control_without_answers_stops_counting(self, view) -> None:
        """Guards against a dead agent that a dead instance keeps alive.

        A zone is lost, with the agent and one control instance.  The last
        record of the dead instance must not keep the agent alive.
        """
        late = 10.1 + CONTROL_TIMEOUT
        view.handle_records(FIRST, 1, (_silent(),), late)
        assert view.agents_in_pool('feed')[0].is_silent

    def test_refresh_applies_silence_reported_before(self, view) -> None:
        """Guards against missing a silence reported before the timeout.

        As above, but the agent is reported as silent while the dead control
        instance still counts.  No further record arrives; only a refresh finds
        the agent silent.
        """
        view.handle_records(FIRST, 1, (_silent(),), 12)
        view.handle_records(FIRST, 1, (), 14)
        view.refresh(14)
        assert view.agents_in_pool('feed')[0].is_silent

    def test_newest_record_of_a_run_counts(self, view) -> None:
        draining = attrs.evolve(
            RECORD, sequence=2, readiness=Readiness.DRAINING
        )
        view.handle_records(FIRST, 1, (_heard(draining),), 11)
        view.handle_records(SECOND, 1, (_heard(),), 11)
        assert view.agents_in_pool('feed')[0].readiness is Readiness.DRAINING

    def test_later_run_replaces_an_earlier_one(self, view) -> None:
        again = attrs.evolve(RECORD, boot=8, pool='reports')
        view.handle_records(FIRST, 1, (_heard(again),), 11)
        view.handle_records(SECOND, 1, (_heard(age=1),), 11)
        assert not view.agents_in_pool('feed')
        assert len(view.agents_in_pool('reports')) == 1

    def test_restarted_control_replaces_its_records(self, view) -> None:
        changed = view.handle_records(FIRST, 2, (_heard(age=0.1),), 11)
        assert not changed
        assert len(view.agents_in_pool('feed')) == 1

    def test_all_that_answer_have_answered_since(self, view) -> None:
        view.handle_records(FIRST, 1, (), 11)
        view.handle_records(SECOND, 1, (), 12)
        assert view.all_answered_since(10.5, 12)
        assert not view.all_answered_since(11, 12)

    def test_ignores_a_control_that_stopped_answering(self, view) -> None:
        view.handle_records(FIRST, 1, (), 11)
        now = 11 + CONTROL_TIMEOUT + 1
        view.handle_records(SECOND, 1, (), now)
        assert view.all_answered_since(now - 0.5, now)

    def test_is_false_without_control_instances(self) -> None:
        assert not AgentView().all_answered_since(0, 1)

    def test_evicts_agents_that_all_controls_lost(self, view) -> None:
        view.handle_records(FIRST, 1, (_silent(),), 12)
        view.handle_records(SECOND, 1, (_silent(),), 12)
        view.refresh(13 + EVICT_AFTER)
        assert not view.agents_in_pool('feed')


class TestAllAnsweredSince:
    """Whether all expected control instances have answered after a time."""

    @pytest.fixture
    def view(self) -> AgentView:
        made = AgentView()
        made.handle_records(FIRST, 1, (_heard(),), 10)
        made.handle_records(SECOND, 1, (_heard(),), 11)
        return made

    def test_requires_all_that_answer(self, view) -> None:
        assert view.all_answered_since(9, 11)
        assert not view.all_answered_since(10, 11)

    def test_ignores_one_that_is_no_longer_expected(self, view) -> None:
        """Guards against telling callers late that their flows are dead."""
        view.expect_controls(frozenset((SECOND,)))
        assert view.all_answered_since(10, 11)

    def test_requires_an_expected_one_without_an_answer(self, view) -> None:
        """Guards against declaring a flow dead on partial information."""
        view.expect_controls(frozenset((SECOND, Address(103))))
        assert not view.all_answered_since(10, 11)

    def test_is_false_when_none_is_expected(self, view) -> None:
        view.expect_controls(frozenset())
        assert not view.all_answered_since(9, 11)
