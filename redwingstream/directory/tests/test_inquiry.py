"""What a process makes of the answers of control instances."""

import attrs

from redwingstream.directory.inquiry import (
    HURRIED_SHARE,
    Inquirer,
    pack_update,
)
from redwingstream.directory.messages import Report
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
