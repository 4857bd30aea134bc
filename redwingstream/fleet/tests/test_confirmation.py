"""Log events about tables that may not be the newest ones."""

import pytest

from redwingstream.directory.inquiry import Inquirer
from redwingstream.directory.messages import Status
from redwingstream.fleet.confirmation import (
    UNCONFIRMED_AFTER,
    ConfirmationMonitor,
    TablesConfirmed,
    TablesUnconfirmed,
)
from redwingstream.packets.flow import Address

CONTROL = Address(101)
NEWER = 5
LATE = UNCONFIRMED_AFTER + 1


@pytest.fixture
def inquirer() -> Inquirer:
    return Inquirer((CONTROL,), '', 0)


@pytest.fixture
def logged() -> list[object]:
    return []


@pytest.fixture
def monitor(logged) -> ConfirmationMonitor:
    return ConfirmationMonitor(0, logged.append)


def _status(revision: int, age: float) -> Status:
    return Status(1, CONTROL, revision, age, 0.1)


class TestUnconfirmedTables:
    """Control instances answer, but no leader confirms the tables."""

    def test_are_logged_once(self, inquirer, monitor, logged) -> None:
        """Guards against an old version in force without a line about it."""
        inquirer.handle_answer(_status(0, float('inf')), LATE)
        monitor.check(inquirer, LATE)
        monitor.check(inquirer, LATE + 1)
        assert [type(line) for line in logged] == [TablesUnconfirmed]
        assert logged[0].unconfirmed_for == LATE

    def test_name_the_newest_revision(self, inquirer, monitor, logged) -> None:
        """Guards against taking tables that do not arrive for a lost leader."""
        inquirer.handle_answer(_status(NEWER, 0), LATE)
        monitor.check(inquirer, LATE)
        assert logged[0].newest_revision == NEWER

    def test_are_no_event_while_a_process_starts(
        self, inquirer, monitor, logged
    ) -> None:
        """Guards against an alarm at each start."""
        monitor.check(inquirer, UNCONFIRMED_AFTER)
        assert not logged

    def test_are_confirmed_again(self, inquirer, monitor, logged) -> None:
        """Guards against an alarm that seems to last."""
        monitor.check(inquirer, LATE)
        inquirer.handle_answer(_status(0, 0), LATE)
        monitor.check(inquirer, LATE)
        assert [type(line) for line in logged[1:]] == [TablesConfirmed]
