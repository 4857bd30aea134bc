"""What a process makes of the answers of control instances."""

import itertools

import attrs
import pytest

from redwingstream.directory.inquiry import (
    HURRIED_SHARE,
    Inquirer,
    pack_update,
)
from redwingstream.directory.messages import Report, Unchanged
from redwingstream.packets.flow import Address
from redwingstream.tables.machine.machine import Machine

CONTROL = Address(101)
REVISION = 5
PAUSE = 0.4


def _report(revision: int, update: bytes = b'') -> Report:
    return Report(
        number=1,
        sender=CONTROL,
        boot=1,
        cursor=0,
        records=(),
        update=update,
        revision=revision,
        revision_age=0,
        confirmed_age=0.1,
        uptime=9,
        controls=(),
        pause=PAUSE,
    )


class TestConfirmation:
    """Since when tables are known to be the newest."""

    def test_is_of_the_tables_that_the_answer_is_about(self) -> None:
        """Callers are refused routes that operators have set.

        A balancer starts and has no tables.  An answer says that revision 5 is
        the newest one; the rows themselves come with a later answer.
        """
        inquirer = Inquirer((CONTROL,), '', 0)
        inquirer.take(_report(REVISION), 10)
        assert inquirer.confirmed_at == float('-inf')

    def test_comes_with_the_newest_tables(self) -> None:
        machine = Machine()
        machine.state.revision = REVISION
        update = pack_update(machine.update_since(0))
        inquirer = Inquirer((CONTROL,), '', 0)
        inquirer.take(_report(REVISION, update), 10)
        assert inquirer.history.tables.revision == REVISION
        assert inquirer.confirmed_at == 10 - 0.1


class TestHurry:
    """Control instances are asked again because something is waited for."""

    def test_asks_sooner_than_usual(self) -> None:
        inquirer = _asked()
        inquirer.hurry(10.05)
        assert not inquirer.due(10.05, None)
        assert inquirer.next_due() == 10 + PAUSE * HURRIED_SHARE
        assert inquirer.due(10.1, None)

    def test_asks_no_more_often_while_there_is_no_leader(self) -> None:
        inquirer = _asked(pause=0.1)
        inquirer.hurry(10.05)
        assert not inquirer.due(10.05, None)

    def test_asks_no_more_often_than_a_busy_one_bears(self) -> None:
        """An instance that wants to be asked less often is asked less often."""
        inquirer = _asked(pause=4)
        asked = 0
        for now in range(11, 27):
            inquirer.hurry(now)
            for _ in inquirer.due(now, None):
                asked += 1
                inquirer.take(_with_pause(4), now)
        assert asked == 16
        inquirer.hurry(26.5)
        assert not inquirer.due(26.5, None)


def _asked(pause: float = PAUSE) -> Inquirer:
    inquirer = Inquirer((CONTROL,), '', 0)
    inquirer.due(10, None)
    inquirer.take(_with_pause(pause), 10)
    return inquirer


def _with_pause(pause: float) -> Report:
    return attrs.evolve(_report(REVISION), pause=pause)


class TestSpread:
    """Inquiries to several control instances do not come at once."""

    def test_no_two_come_together(self) -> None:
        """Guards against a change that all inquiries miss by a moment."""
        controls = tuple(map(Address, range(101, 109)))
        inquirer = Inquirer(controls, '', 0)
        asked_at = []
        for step in range(2000):
            now = step / 100
            for ask in inquirer.due(now, None):
                asked_at.append(now)
                answer = attrs.evolve(_with_pause(1.6), sender=ask.target)
                inquirer.take(answer, now)
        late = [now for now in asked_at if now > 5]
        gaps = [after - before for before, after in itertools.pairwise(late)]
        assert max(gaps) < 2 * 1.6 / len(controls)
        assert len(late) == pytest.approx(15 * len(controls) / 1.6, rel=0.1)


class TestUnchanged:
    """The short answer that nothing is missing."""

    def test_confirms_the_tables(self) -> None:
        inquirer = _asked()
        answer = Unchanged(2, CONTROL, revision=0, confirmed_age=0.5)
        inquirer.take_unchanged(answer, 20)
        assert inquirer.confirmed_at == 20 - 0.5
        assert inquirer.view.is_complete

    def test_of_other_tables_confirms_nothing(self) -> None:
        """Guards against refusals by tables that a restart has lost."""
        inquirer = Inquirer((CONTROL,), '', 0)
        answer = Unchanged(2, CONTROL, revision=REVISION, confirmed_age=0)
        inquirer.take_unchanged(answer, 20)
        assert inquirer.confirmed_at == float('-inf')

    def test_of_a_stranger_is_left_alone(self) -> None:
        inquirer = _asked()
        answer = Unchanged(2, CONTROL + 1, revision=0, confirmed_age=0)
        inquirer.take_unchanged(answer, 20)
        assert inquirer.confirmed_at < 20
