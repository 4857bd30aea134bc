"""What a control instance answers."""

import attrs
import pytest

from redwingstream.directory.book import AgentBook
from redwingstream.directory.controls import NAMED_FOR, Controls
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
from redwingstream.fleet.registry import (
    FULL_EVERY,
    LISTENER_PAUSES,
    MAX_INQUIRIES,
    MAX_URGENT_INQUIRIES,
    PAUSE_SET_EVERY,
    PAUSE,
    UNCONFIRMED_AGE,
    WARM_AFTER,
    Registry,
    TableSource,
)
from redwingstream.packets.flow import Address
from redwingstream.tables.machine.machine import Machine

OWN = Address(101)
OTHER = Address(102)
BOOT = 5
NOW = WARM_AFTER + 1
RECORD = AgentRecord(201, 'north', 'feed', 1, 1, Readiness.READY, is_cold=False)


def _tables(revision: int = 0, age: float = 0) -> TableSource:
    machine = Machine()
    machine.state.revision = revision
    return TableSource(revision, age, machine.update_since)


@pytest.fixture
def registry() -> Registry:
    return Registry(OWN, BOOT, 0, AgentBook(), Controls(OWN, ()), Followers())


class TestShortAnswer:
    """Whoever misses nothing is told so in a few bytes."""

    def test_to_one_that_misses_nothing(self, registry) -> None:
        answer = registry.answer(Inquiry(1, 0, BOOT, 0), _tables(), NOW)
        assert answer == Unchanged(1, OWN, 0, 0)

    @pytest.mark.parametrize(
        'inquiry',
        [
            Inquiry(1, 0, BOOT + 1, 0),
            Inquiry(1, 3, BOOT, 0),
            Inquiry(1, 0, BOOT, 9),
            Inquiry(FULL_EVERY, 0, BOOT, 0),
            Inquiry(1, 0, BOOT, 0, '', RECORD),
        ],
        ids=['another run', 'other tables', 'other agents', 'its turn', 'new'],
    )
    def test_not_to_others(self, registry, inquiry) -> None:
        assert isinstance(registry.answer(inquiry, _tables(), NOW), Report)

    def test_not_while_nobody_leads(self, registry) -> None:
        """Guards against tables that count as confirmed and are not."""
        tables = _tables(age=UNCONFIRMED_AGE * 2)
        answer = registry.answer(Inquiry(1, 0, BOOT, 0), tables, NOW)
        assert isinstance(answer, Report)

    def test_not_before_all_agents_were_heard(self, registry) -> None:
        """Guards against flows declared dead by a view with gaps."""
        inquiry = Inquiry(1, 0, BOOT, 0)
        answer = registry.answer(inquiry, _tables(), WARM_AFTER / 2)
        assert isinstance(answer, Report)


class TestPause:
    """How often a process is to ask."""

    def test_is_longer_for_one_that_says_nothing(self, registry) -> None:
        inquiry = Inquiry(FULL_EVERY, 0, 0, 0)
        listener = registry.answer(inquiry, _tables(), NOW)
        speaking = attrs.evolve(inquiry, record=RECORD)
        agent = registry.answer(speaking, _tables(), NOW)
        assert listener.pause == agent.pause * LISTENER_PAUSES

    def test_grows_with_the_number_of_processes(self) -> None:
        """Guards against overloading a control instance with inquiries."""
        followers = Followers()
        for number in range(2 * MAX_INQUIRIES):
            followers.hear(Address(1000 + number), NOW)
        controls = Controls(OWN, ())
        registry = Registry(OWN, BOOT, 0, AgentBook(), controls, followers)
        speaking = Inquiry(1, 0, 0, 0, '', RECORD)
        waiting = registry.answer(speaking, _tables(age=float('inf')), NOW)
        assert waiting.pause == 2 * MAX_INQUIRIES / MAX_URGENT_INQUIRIES
        assert registry.answer(speaking, _tables(), 2 * NOW).pause == 2


class TestWanted:
    """Answers by requested content."""

    def test_status_contains_no_records(self, registry) -> None:
        speaking = Inquiry(1, 0, 0, 0, '', RECORD, Wanted.STATUS)
        answer = registry.answer(speaking, _tables(3), NOW)
        assert answer == Status(1, OWN, 3, 0, PAUSE)

    def test_status_inquiry_registers_the_agent(self, registry) -> None:
        """Guards against agents known only to their sources."""
        speaking = Inquiry(1, 0, 0, 0, '', RECORD, Wanted.STATUS)
        registry.answer(speaking, _tables(), NOW)
        report = registry.answer(Inquiry(1, 0, 0, 0), _tables(), NOW)
        assert len(unpack_records(report.records)) == 1

    def test_tables_report_contains_no_records(self, registry) -> None:
        speaking = Inquiry(1, 0, 0, 0, '', RECORD, Wanted.TABLES)
        report = registry.answer(speaking, _tables(3), NOW)
        assert report.update
        assert not report.records
        assert report.brings is Wanted.TABLES

    def test_current_tables_are_not_sent(self, registry) -> None:
        inquiry = Inquiry(1, 3, 0, 0, wanted=Wanted.TABLES)
        answer = registry.answer(inquiry, _tables(3), NOW)
        assert isinstance(answer, Status)


class TestNaming:
    """Announcement of a new control instance."""

    def test_answers_are_full_for_a_while(self, registry) -> None:
        """Guards against agents that learn of a new instance too late.

        It would already count as having heard all agents.
        """
        hello = ControlHello(OTHER, 2, 'north', None, is_fresh=False)
        registry._controls.hear(hello, NOW)
        inquiry = Inquiry(1, 0, BOOT, 0)
        answer = registry.answer(inquiry, _tables(), NOW)
        assert isinstance(answer, Report)
        assert OTHER in answer.controls
        later = NOW + NAMED_FOR
        registry._controls.hear(hello, later)
        answer = registry.answer(inquiry, _tables(), later + PAUSE_SET_EVERY)
        assert isinstance(answer, Unchanged)
