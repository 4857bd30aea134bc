"""Answers of a control instance to inquiries."""

import attrs
import pytest

from redwingstream.directory.agent_directory import AgentDirectory
from redwingstream.directory.control_directory import (
    ANNOUNCE_SECONDS,
    ControlDirectory,
)
from redwingstream.directory.fleet_record import Followers
from redwingstream.directory.messages import (
    AgentRecord,
    ControlHello,
    Inquiry,
    Readiness,
    Report,
    Status,
    Unchanged,
    Wanted,
)
from redwingstream.directory.packing import unpack_records
from redwingstream.fleet.inquiry_handler import (
    BASE_PAUSE,
    FULL_REPORT_EVERY,
    MAX_INQUIRIES,
    MAX_URGENT_INQUIRIES,
    MIN_WARMUP,
    PAUSE_UPDATE_INTERVAL,
    PAUSES_WITHOUT_RECORD,
    UNCONFIRMED_AGE,
    InquiryHandler,
    TableSource,
)
from redwingstream.packets.flow import Address
from redwingstream.tables.machine.state_machine import StateMachine

OWN = Address(101)
OTHER = Address(102)
BOOT = 5
NOW = MIN_WARMUP + 1
RECORD = AgentRecord(201, 'north', 'feed', 1, 1, Readiness.READY, is_cold=False)


def _tables(revision: int = 0, age: float = 0) -> TableSource:
    machine = StateMachine()
    machine.state.revision = revision
    return TableSource(revision, age, machine.update_since)


@pytest.fixture
def handler() -> InquiryHandler:
    return InquiryHandler(
        OWN, BOOT, 0, AgentDirectory(), ControlDirectory(OWN, ()), Followers()
    )


class TestShortAnswer:
    """A process that is up to date gets an answer of a few bytes."""

    def test_for_a_process_that_is_up_to_date(self, handler) -> None:
        answer = handler.answer(Inquiry(1, 0, BOOT, 0), _tables(), NOW)
        assert answer == Unchanged(1, OWN, 0, 0)

    @pytest.mark.parametrize(
        'inquiry',
        [
            Inquiry(1, 0, BOOT + 1, 0),
            Inquiry(1, 3, BOOT, 0),
            Inquiry(1, 0, BOOT, 9),
            Inquiry(FULL_REPORT_EVERY, 0, BOOT, 0),
            Inquiry(1, 0, BOOT, 0, '', RECORD),
        ],
        ids=['another run', 'other tables', 'other agents', 'its turn', 'new'],
    )
    def test_not_for_others(self, handler, inquiry) -> None:
        assert isinstance(handler.answer(inquiry, _tables(), NOW), Report)

    def test_not_without_a_leader(self, handler) -> None:
        """Guards against unconfirmed tables that count as confirmed."""
        tables = _tables(age=UNCONFIRMED_AGE * 2)
        answer = handler.answer(Inquiry(1, 0, BOOT, 0), tables, NOW)
        assert isinstance(answer, Report)

    def test_not_before_all_agents_were_heard(self, handler) -> None:
        """Guards against declaring flows dead by an incomplete view."""
        inquiry = Inquiry(1, 0, BOOT, 0)
        answer = handler.answer(inquiry, _tables(), MIN_WARMUP / 2)
        assert isinstance(answer, Report)


class TestPause:
    """Requested time until the next inquiry."""

    def test_is_longer_without_a_record(self, handler) -> None:
        inquiry = Inquiry(FULL_REPORT_EVERY, 0, 0, 0)
        other = handler.answer(inquiry, _tables(), NOW)
        with_record = attrs.evolve(inquiry, record=RECORD)
        agent = handler.answer(with_record, _tables(), NOW)
        assert other.pause == agent.pause * PAUSES_WITHOUT_RECORD

    def test_grows_with_the_number_of_processes(self) -> None:
        """Guards against overloading a control instance with inquiries."""
        followers = Followers()
        for number in range(2 * MAX_INQUIRIES):
            followers.record_inquiry(Address(1000 + number), NOW)
        controls = ControlDirectory(OWN, ())
        handler = InquiryHandler(
            OWN, BOOT, 0, AgentDirectory(), controls, followers
        )
        with_record = Inquiry(1, 0, 0, 0, '', RECORD)
        waiting = handler.answer(with_record, _tables(age=float('inf')), NOW)
        assert waiting.pause == 2 * MAX_INQUIRIES / MAX_URGENT_INQUIRIES
        assert handler.answer(with_record, _tables(), 2 * NOW).pause == 2


class TestWanted:
    """Answers by requested content."""

    def test_status_contains_no_records(self, handler) -> None:
        with_record = Inquiry(1, 0, 0, 0, '', RECORD, Wanted.STATUS)
        answer = handler.answer(with_record, _tables(3), NOW)
        assert answer == Status(1, OWN, 3, 0, BASE_PAUSE)

    def test_status_inquiry_registers_the_agent(self, handler) -> None:
        """Guards against agents known only to their sources."""
        with_record = Inquiry(1, 0, 0, 0, '', RECORD, Wanted.STATUS)
        handler.answer(with_record, _tables(), NOW)
        report = handler.answer(Inquiry(1, 0, 0, 0), _tables(), NOW)
        assert len(unpack_records(report.records)) == 1

    def test_tables_report_contains_no_records(self, handler) -> None:
        with_record = Inquiry(1, 0, 0, 0, '', RECORD, Wanted.TABLES)
        report = handler.answer(with_record, _tables(3), NOW)
        assert report.update
        assert not report.records
        assert report.brings is Wanted.TABLES

    def test_current_tables_are_not_sent(self, handler) -> None:
        inquiry = Inquiry(1, 3, 0, 0, wanted=Wanted.TABLES)
        answer = handler.answer(inquiry, _tables(3), NOW)
        assert isinstance(answer, Status)


class TestAnnouncement:
    """Announcement of a new control instance."""

    def test_answers_are_full_for_a_while(self, handler) -> None:
        """Guards against agents that learn of a new instance too late.

        It would already count as having heard all agents.
        """
        hello = ControlHello(OTHER, 2, 'north', None, is_fresh=False)
        handler._controls.handle_hello(hello, NOW)
        inquiry = Inquiry(1, 0, BOOT, 0)
        answer = handler.answer(inquiry, _tables(), NOW)
        assert isinstance(answer, Report)
        assert OTHER in answer.controls
        later = NOW + ANNOUNCE_SECONDS
        handler._controls.handle_hello(hello, later)
        answer = handler.answer(
            inquiry, _tables(), later + PAUSE_UPDATE_INTERVAL
        )
        assert isinstance(answer, Unchanged)
