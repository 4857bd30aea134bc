"""The agents as one control instance has heard them."""

import attrs
import pytest

from redwingstream.directory.agent_directory import (
    EVICT_AFTER,
    MAX_RECORDS,
    SILENT_AFTER,
    AgentDirectory,
)
from redwingstream.directory.messages import AgentRecord, Readiness

RECORD = AgentRecord(1, 'north', 'feed', 7, 1, Readiness.READY, is_cold=False)


def _later(record: AgentRecord = RECORD, **changed: object) -> AgentRecord:
    return attrs.evolve(record, sequence=record.sequence + 1, **changed)


class TestAgentDirectory:
    """Stored records and the changes that are returned."""

    @pytest.fixture
    def agents(self) -> AgentDirectory:
        made = AgentDirectory()
        made.handle_record(RECORD, 10)
        return made

    def test_returns_changes_once(self, agents) -> None:
        page = agents.changes_since(0, '', 10.5)
        assert [heard.record for heard in page.records] == [RECORD]
        assert page.records[0].age == pytest.approx(0.5)
        assert not agents.changes_since(page.cursor, '', 11).records

    def test_repeated_record_is_no_change(self, agents) -> None:
        cursor = agents.changes_since(0, '', 10).cursor
        assert not agents.handle_record(_later(), 11)
        assert not agents.changes_since(cursor, '', 11).records

    def test_changed_record_is_returned_once(self, agents) -> None:
        cursor = agents.changes_since(0, '', 10).cursor
        draining = _later(readiness=Readiness.DRAINING)
        assert agents.handle_record(draining, 11)
        page = agents.changes_since(cursor, '', 11)
        assert [heard.record for heard in page.records] == [draining]
        assert not agents.changes_since(page.cursor, '', 11).records

    def test_outdated_record_is_ignored(self, agents) -> None:
        draining = _later(readiness=Readiness.DRAINING)
        agents.handle_record(draining, 11)
        assert not agents.handle_record(RECORD, 12)
        assert agents.changes_since(0, '', 12).records[0].record == draining

    def test_record_of_another_run_replaces_it(self, agents) -> None:
        other = attrs.evolve(RECORD, boot=8, pool='reports')
        assert agents.handle_record(other, 11)
        assert agents.changes_since(0, '', 11).records[0].record == other

    def test_returns_only_the_requested_pool(self, agents) -> None:
        agents.handle_record(
            attrs.evolve(RECORD, address=2, pool='reports'), 10
        )
        page = agents.changes_since(0, 'reports', 10)
        assert [heard.record.address for heard in page.records] == [2]

    def test_silence_is_a_change(self, agents) -> None:
        cursor = agents.changes_since(0, '', 10).cursor
        assert agents.mark_silent(10 + SILENT_AFTER) == []
        late = 10.1 + SILENT_AFTER
        assert agents.mark_silent(late) == [RECORD]
        assert agents.mark_silent(late) == []
        assert agents.changes_since(cursor, '', late).records[0].is_silent

    def test_end_of_silence_is_a_change(self, agents) -> None:
        late = 10.1 + SILENT_AFTER
        agents.mark_silent(late)
        cursor = agents.changes_since(0, '', late).cursor
        agents.handle_record(_later(), late + 1)
        assert (
            not agents.changes_since(cursor, '', late + 1).records[0].is_silent
        )

    def test_evicts_expired_agents(self, agents) -> None:
        agents.mark_silent(10.1 + SILENT_AFTER)
        agents.mark_silent(10.1 + EVICT_AFTER)
        assert len(agents) == 0

    def test_many_changes_are_paged(self) -> None:
        agents = AgentDirectory()
        count = MAX_RECORDS + 5
        for address in range(count):
            agents.handle_record(attrs.evolve(RECORD, address=address), 10)
        first = agents.changes_since(0, '', 10)
        second = agents.changes_since(first.cursor, '', 10)
        assert len(first.records) == MAX_RECORDS
        assert len(second.records) == 5
        assert not agents.changes_since(second.cursor, '', 10).records
