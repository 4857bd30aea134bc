"""A control instance's record of the agents."""

import attrs
import pytest

from redwingstream.directory.book import (
    FORGOTTEN_AFTER,
    MAX_RECORDS,
    SILENT_AFTER,
    AgentBook,
)
from redwingstream.directory.messages import AgentRecord, Readiness

RECORD = AgentRecord(1, 'north', 'feed', 7, 1, Readiness.READY, is_cold=False)


def _later(record: AgentRecord = RECORD, **changed: object) -> AgentRecord:
    return attrs.evolve(record, sequence=record.sequence + 1, **changed)


class TestAgentBook:
    """What is remembered, and what is told."""

    @pytest.fixture
    def book(self) -> AgentBook:
        made = AgentBook()
        made.hear(RECORD, 10)
        return made

    def test_tells_what_is_new(self, book) -> None:
        page = book.since(0, '', 10.5)
        assert [heard.record for heard in page.records] == [RECORD]
        assert page.records[0].age == pytest.approx(0.5)
        assert not book.since(page.cursor, '', 11).records

    def test_a_sign_of_life_is_no_news(self, book) -> None:
        cursor = book.since(0, '', 10).cursor
        assert not book.hear(_later(), 11)
        assert not book.since(cursor, '', 11).records

    def test_a_change_is_told_once(self, book) -> None:
        cursor = book.since(0, '', 10).cursor
        draining = _later(readiness=Readiness.DRAINING)
        assert book.hear(draining, 11)
        page = book.since(cursor, '', 11)
        assert [heard.record for heard in page.records] == [draining]
        assert not book.since(page.cursor, '', 11).records

    def test_a_late_word_changes_nothing(self, book) -> None:
        draining = _later(readiness=Readiness.DRAINING)
        book.hear(draining, 11)
        assert not book.hear(RECORD, 12)
        assert book.since(0, '', 12).records[0].record == draining

    def test_another_run_at_the_address_counts(self, book) -> None:
        other = attrs.evolve(RECORD, boot=8, pool='reports')
        assert book.hear(other, 11)
        assert book.since(0, '', 11).records[0].record == other

    def test_only_the_pool_that_is_wanted(self, book) -> None:
        book.hear(attrs.evolve(RECORD, address=2, pool='reports'), 10)
        page = book.since(0, 'reports', 10)
        assert [heard.record.address for heard in page.records] == [2]

    def test_silence_is_told(self, book) -> None:
        cursor = book.since(0, '', 10).cursor
        assert book.notice_silence(10 + SILENT_AFTER) == []
        late = 10.1 + SILENT_AFTER
        assert book.notice_silence(late) == [RECORD]
        assert book.notice_silence(late) == []
        assert book.since(cursor, '', late).records[0].is_silent

    def test_a_return_is_told(self, book) -> None:
        late = 10.1 + SILENT_AFTER
        book.notice_silence(late)
        cursor = book.since(0, '', late).cursor
        book.hear(_later(), late + 1)
        assert not book.since(cursor, '', late + 1).records[0].is_silent

    def test_forgets_what_is_long_gone(self, book) -> None:
        book.notice_silence(10.1 + SILENT_AFTER)
        book.notice_silence(10.1 + FORGOTTEN_AFTER)
        assert len(book) == 0

    def test_long_news_come_in_pages(self) -> None:
        book = AgentBook()
        count = MAX_RECORDS + 5
        for address in range(count):
            book.hear(attrs.evolve(RECORD, address=address), 10)
        first = book.since(0, '', 10)
        second = book.since(first.cursor, '', 10)
        assert len(first.records) == MAX_RECORDS
        assert len(second.records) == 5
        assert not book.since(second.cursor, '', 10).records
