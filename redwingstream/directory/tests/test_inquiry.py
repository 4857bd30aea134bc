"""Polling of control instances and handling of their answers."""

import itertools

import attrs
import pytest

from redwingstream.directory.contacts import SOURCE_COUNT
from redwingstream.directory.inquiry import (
    EXPEDITED_SHARE,
    FETCH_PAUSE,
    Inquirer,
    pack_update,
)
from redwingstream.directory.messages import (
    Report,
    Status,
    Unchanged,
    Wanted,
)
from redwingstream.packets.flow import Address
from redwingstream.tables.machine.state_machine import StateMachine

CONTROL = Address(101)
CONTROLS = tuple(map(Address, range(101, 113)))
REVISION = 5
PAUSE = 0.4


def _report(revision: int, update: bytes = b'') -> Report:
    return Report(
        number=1,
        sender=CONTROL,
        boot=1,
        cursor=0,
        records=b'',
        update=update,
        revision=revision,
        revision_age=0,
        confirmed_age=0.1,
        has_heard_all=True,
        controls=(),
        pause=PAUSE,
    )


class TestConfirmation:
    """Time at which the tables were last confirmed to be the newest."""

    def test_needs_the_tables_that_the_answer_is_about(self) -> None:
        """Guards against refusing callers on routes that operators have set.

        A balancer starts without tables.  An answer names revision 5 as the
        newest, but the rows themselves arrive with a later answer.
        """
        inquirer = Inquirer((CONTROL,), '', 0)
        inquirer.handle_answer(_report(REVISION), 10)
        assert inquirer.confirmed_at == float('-inf')

    def test_comes_with_the_newest_tables(self) -> None:
        machine = StateMachine()
        machine.state.revision = REVISION
        update = pack_update(machine.update_since(0))
        inquirer = Inquirer((CONTROL,), '', 0)
        inquirer.handle_answer(_report(REVISION, update), 10)
        assert inquirer.history.tables.revision == REVISION
        assert inquirer.confirmed_at == 10 - 0.1


class TestExpedite:
    """Control instances are asked sooner because a caller waits."""

    def test_asks_sooner_than_requested(self) -> None:
        inquirer = _asked()
        inquirer.expedite(10.05)
        assert not inquirer.due_inquiries(10.05, None)
        assert inquirer.next_due_at() == 10 + PAUSE * EXPEDITED_SHARE
        assert inquirer.due_inquiries(10.1, None)

    def test_keeps_the_pause_without_a_leader(self) -> None:
        inquirer = _asked(pause=0.1)
        inquirer.expedite(10.05)
        assert not inquirer.due_inquiries(10.05, None)

    def test_respects_a_longer_requested_pause(self) -> None:
        """An instance that requests a longer pause is asked less often."""
        inquirer = _asked(pause=4)
        asked = 0
        for now in range(11, 27):
            inquirer.expedite(now)
            for _ in inquirer.due_inquiries(now, None):
                asked += 1
                inquirer.handle_answer(_with_pause(4), now)
        assert asked == 16
        inquirer.expedite(26.5)
        assert not inquirer.due_inquiries(26.5, None)


def _asked(pause: float = PAUSE) -> Inquirer:
    inquirer = Inquirer((CONTROL,), '', 0)
    inquirer.due_inquiries(10, None)
    inquirer.handle_answer(_with_pause(pause), 10)
    return inquirer


def _with_pause(pause: float) -> Report:
    return attrs.evolve(_report(REVISION), pause=pause)


class TestSpread:
    """Inquiries to several control instances are spread over the pause."""

    def test_intervals_are_even(self) -> None:
        """Guards against a change that all inquiries just miss."""
        controls = tuple(map(Address, range(101, 109)))
        inquirer = Inquirer(controls, '', 0)
        asked_at = []
        for step in range(2000):
            now = step / 100
            for ask in inquirer.due_inquiries(now, None):
                asked_at.append(now)
                answer = attrs.evolve(_with_pause(1.6), sender=ask.target)
                inquirer.handle_answer(answer, now)
        late = [now for now in asked_at if now > 5]
        gaps = [after - before for before, after in itertools.pairwise(late)]
        assert max(gaps) < 2 * 1.6 / len(controls)
        assert len(late) == pytest.approx(15 * len(controls) / 1.6, rel=0.1)


class TestUnchanged:
    """The short answer that the process is up to date."""

    def test_confirms_the_tables(self) -> None:
        inquirer = _asked()
        answer = Unchanged(2, CONTROL, revision=0, confirmed_age=0.5)
        inquirer.handle_answer(answer, 20)
        assert inquirer.confirmed_at == 20 - 0.5
        assert inquirer.view.is_complete

    def test_of_other_tables_confirms_nothing(self) -> None:
        """Guards against refusing flows by tables that a restart has lost."""
        inquirer = Inquirer((CONTROL,), '', 0)
        answer = Unchanged(2, CONTROL, revision=REVISION, confirmed_age=0)
        inquirer.handle_answer(answer, 20)
        assert inquirer.confirmed_at == float('-inf')

    def test_of_an_unknown_sender_is_ignored(self) -> None:
        inquirer = _asked()
        answer = Unchanged(2, CONTROL + 1, revision=0, confirmed_age=0)
        inquirer.handle_answer(answer, 20)
        assert inquirer.confirmed_at < 20


class TestWanted:
    """Requested content for each of many control instances."""

    def test_records_are_requested_only_from_sources(self) -> None:
        """Guards against reading all records from every control instance."""
        inquirer = Inquirer(CONTROLS, '', 0)
        wanted_by_target = _wanted(inquirer, 0)
        read_in_full = {
            target
            for target, wanted in wanted_by_target.items()
            if wanted is Wanted.ALL
        }
        assert set(wanted_by_target) == set(CONTROLS)
        assert read_in_full == inquirer.sources
        assert len(read_in_full) == SOURCE_COUNT

    def test_process_that_wants_no_agents_requests_tables(self) -> None:
        inquirer = Inquirer(CONTROLS, '', 0, wants_agents=False)
        asked = set(_wanted(inquirer, 0).values())
        assert asked == {Wanted.TABLES, Wanted.STATUS}


class TestStatus:
    """Status answer of a control instance."""

    @pytest.fixture
    def inquirer(self) -> Inquirer:
        made = Inquirer(CONTROLS, '', 0)
        made.due_inquiries(0, None)
        return made

    def test_of_the_same_tables_confirms_them(self, inquirer) -> None:
        inquirer.handle_answer(_status(CONTROLS[0], 0), 10)
        assert inquirer.confirmed_at == 10 - 0.1

    def test_of_newer_tables_confirms_nothing(self, inquirer) -> None:
        """Guards against refusing routes that are only in the newer tables."""
        inquirer.handle_answer(_status(CONTROLS[0], REVISION), 10)
        assert inquirer.confirmed_at == float('-inf')

    def test_of_newer_tables_triggers_a_fetch(self, inquirer) -> None:
        """Guards against delaying a change until a source is asked."""
        other = min(set(CONTROLS) - inquirer.sources)
        inquirer.handle_answer(_status(other, REVISION), 0.1)
        assert _wanted(inquirer, 0.1) == {other: Wanted.TABLES}

    def test_of_newer_tables_triggers_one_fetch_per_pause(
        self, inquirer
    ) -> None:
        """Guards against fetching an update from every control instance."""
        others = sorted(set(CONTROLS) - inquirer.sources)
        for other in others:
            inquirer.handle_answer(_status(other, REVISION), 0.1)
        assert list(_wanted(inquirer, 0.1)) == others[:1]
        inquirer.handle_answer(_status(others[1], REVISION), 0.11 + FETCH_PAUSE)
        assert others[1] in _wanted(inquirer, 0.11 + FETCH_PAUSE)

    def test_does_not_complete_the_view(self, inquirer) -> None:
        """Guards against declaring flows dead from an incomplete view."""
        inquirer.handle_answer(_status(CONTROLS[0], 0), 10)
        assert not inquirer.view.is_complete


class TestTablesReport:
    """A report that contains only tables."""

    def test_does_not_move_the_cursor(self) -> None:
        """Guards against skipping agents' records."""
        inquirer = _asked()
        report = attrs.evolve(
            _report(REVISION), boot=9, cursor=9, brings=Wanted.TABLES
        )
        inquirer.handle_answer(report, 11)
        ask = inquirer.due_inquiries(20, None)[0]
        assert (ask.inquiry.boot, ask.inquiry.cursor) == (1, 0)


def _status(sender: Address, revision: int) -> Status:
    return Status(1, sender, revision, confirmed_age=0.1, pause=PAUSE)


def _wanted(inquirer: Inquirer, now: float) -> dict[Address, Wanted]:
    return {
        ask.target: ask.inquiry.wanted
        for ask in inquirer.due_inquiries(now, None)
    }
