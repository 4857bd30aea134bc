"""What a process makes of the answers of control instances."""

from redwingstream.directory.inquiry import Inquirer, pack_update
from redwingstream.directory.messages import Report
from redwingstream.packets.flow import Address
from redwingstream.tables.machine.machine import Machine

CONTROL = Address(101)
REVISION = 5


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
        pause=0.4,
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
