"""What a process makes of several control instances' records."""

import attrs
import pytest

from redwingstream.directory.messages import (
    AgentRecord,
    HeardRecord,
    Readiness,
)
from redwingstream.directory.view import (
    FORGOTTEN_AFTER,
    TRUSTED_FOR,
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
    """Opinions that differ."""

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

    def test_one_that_is_cut_off_does_not_decide(self, view) -> None:
        """An agent is not given up because one control instance lost it.

        That instance is cut off from the agent and calls it silent, while the
        other one hears it.
        """
        view.handle_records(FIRST, 1, (_silent(),), 12)
        view.handle_records(SECOND, 1, (), 12)
        assert not view.agents_in_pool('feed')[0].is_silent

    def test_silent_when_all_say_so(self, view) -> None:
        view.handle_records(FIRST, 1, (_silent(),), 12)
        view.handle_records(SECOND, 1, (_silent(),), 12)
        assert view.agents_in_pool('feed')[0].is_silent

    def test_one_that_does_not_answer_is_not_asked_for_long(self, view) -> None:
        """A dead agent is seen although a control instance died with it.

        A zone is lost: the agent and one control instance.  What the dead
        instance last said must not keep the agent alive.
        """
        late = 10.1 + TRUSTED_FOR
        view.handle_records(FIRST, 1, (_silent(),), late)
        assert view.agents_in_pool('feed')[0].is_silent

    def test_silence_that_came_before_the_death_counts_later(
        self, view
    ) -> None:
        """As above, but the silence is told before the other one is doubted.

        Nothing new is said about the agent afterwards; looking again is what
        finds it silent.
        """
        view.handle_records(FIRST, 1, (_silent(),), 12)
        view.handle_records(FIRST, 1, (), 14)
        view.refresh(14)
        assert view.agents_in_pool('feed')[0].is_silent

    def test_the_newest_word_of_a_run_counts(self, view) -> None:
        draining = attrs.evolve(
            RECORD, sequence=2, readiness=Readiness.DRAINING
        )
        view.handle_records(FIRST, 1, (_heard(draining),), 11)
        view.handle_records(SECOND, 1, (_heard(),), 11)
        assert view.agents_in_pool('feed')[0].readiness is Readiness.DRAINING

    def test_a_later_run_replaces_a_former_one(self, view) -> None:
        again = attrs.evolve(RECORD, boot=8, pool='reports')
        view.handle_records(FIRST, 1, (_heard(again),), 11)
        view.handle_records(SECOND, 1, (_heard(age=1),), 11)
        assert not view.agents_in_pool('feed')
        assert len(view.agents_in_pool('reports')) == 1

    def test_another_run_of_a_control_instance_begins_anew(self, view) -> None:
        changed = view.handle_records(FIRST, 2, (_heard(age=0.1),), 11)
        assert not changed
        assert len(view.agents_in_pool('feed')) == 1

    def test_all_that_answer_have_answered_since(self, view) -> None:
        view.handle_records(FIRST, 1, (), 11)
        view.handle_records(SECOND, 1, (), 12)
        assert view.all_answered_since(10.5, 12)
        assert not view.all_answered_since(11, 12)

    def test_one_that_gives_no_answer_any_more_is_not_waited_for(
        self, view
    ) -> None:
        view.handle_records(FIRST, 1, (), 11)
        now = 11 + TRUSTED_FOR + 1
        view.handle_records(SECOND, 1, (), now)
        assert view.all_answered_since(now - 0.5, now)

    def test_nobody_has_answered_without_control_instances(self) -> None:
        assert not AgentView().all_answered_since(0, 1)

    def test_forgets_what_all_have_long_lost(self, view) -> None:
        view.handle_records(FIRST, 1, (_silent(),), 12)
        view.handle_records(SECOND, 1, (_silent(),), 12)
        view.refresh(13 + FORGOTTEN_AFTER)
        assert not view.agents_in_pool('feed')


class TestAnsweredSince:
    """Whether all expected control instances have answered since a time."""

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
        """Guards against late reports of dead flows to callers."""
        view.expect_only(frozenset((SECOND,)))
        assert view.all_answered_since(10, 11)

    def test_requires_an_expected_one_without_an_answer(self, view) -> None:
        """Guards against declaring a flow dead on partial information."""
        view.expect_only(frozenset((SECOND, Address(103))))
        assert not view.all_answered_since(10, 11)

    def test_is_false_when_none_is_expected(self, view) -> None:
        view.expect_only(frozenset())
        assert not view.all_answered_since(9, 11)
