"""A control instance's memory of the fleet, on its disk."""

import random

import pytest

from redwingstream.directory.fleet_record import FAILED_WRITE_PAUSE
from redwingstream.errors import ResultCode
from redwingstream.fleet.recalling import (
    FILE,
    FleetMemory,
    FleetRecalled,
    FleetRecordFailed,
    Served,
)
from redwingstream.packets.flow import Address
from redwingstream.storage.tests.fakes import FakeFolder
from redwingstream.tables.machine.machine import Machine

CONTROLS = (Address(1), Address(2))
BALANCER = Address(11)
AGENT = Address(12)


@pytest.fixture
def folder() -> FakeFolder:
    return FakeFolder(random.Random(1))


@pytest.fixture
def events() -> list[object]:
    return []


def _served(revision: int) -> Served:
    machine = Machine()
    machine.state.revision = revision
    return Served(CONTROLS, revision, machine.update_since)


def _written(folder: FakeFolder, revision: int) -> None:
    memory = FleetMemory(lambda event: None)
    memory.recall(folder, 0)
    memory.followers.hear(BALANCER, 0)
    memory.followers.hear(AGENT, 0)
    memory.keep(folder, _served(revision), 0)


class TestRecall:
    """What the last run wrote is there for the next one."""

    def test_brings_processes_and_tables(self, folder, events) -> None:
        _written(folder, revision=7)
        folder.crash()
        memory = FleetMemory(events.append)
        memory.recall(folder, 0)
        recalled = memory.pop_recalled()
        assert recalled.controls == CONTROLS
        assert recalled.processes == (BALANCER, AGENT)
        assert memory.history.tables.revision == 7
        assert isinstance(events[0], FleetRecalled)

    def test_is_told_once(self, folder, events) -> None:
        memory = FleetMemory(events.append)
        memory.recall(folder, 0)
        assert memory.pop_recalled() is not None
        assert memory.pop_recalled() is None

    def test_damaged_record_is_left_alone(self, folder, events) -> None:
        """Guards against a start that fails for a record it can do without."""
        folder.write(FILE, b'no record at all')
        memory = FleetMemory(events.append)
        memory.recall(folder, 0)
        assert memory.pop_recalled() is None
        assert memory.history.tables.revision == 0
        assert isinstance(events[0], FleetRecordFailed)

    def test_counts_processes_as_heard(self, folder, events) -> None:
        """Guards against a second restart that has forgotten all of them."""
        _written(folder, revision=7)
        memory = FleetMemory(events.append)
        memory.recall(folder, 100)
        assert memory.followers.present(100) == (BALANCER, AGENT)


class TestKeep:
    """When the record is written."""

    def test_not_by_tables_older_than_recalled(self, folder, events) -> None:
        """Guards against older tables in place of accepted ones on the disk.

        A replica that has restarted has applied nothing but its snapshot until
        a leader is found.
        """
        _written(folder, revision=7)
        memory = FleetMemory(events.append)
        memory.recall(folder, 0)
        memory.keep(folder, _served(3), 5)
        again = FleetMemory(events.append)
        again.recall(folder, 6)
        assert again.history.tables.revision == 7

    def test_failure_leaves_the_old_record(self, folder, events) -> None:
        """Guards against a full disk that stops the replica or the record."""
        _written(folder, revision=7)
        memory = FleetMemory(events.append)
        memory.recall(folder, 0)
        folder.failure = ResultCode.DISK_FULL
        memory.keep(folder, _served(9), 5)
        assert isinstance(events[-1], FleetRecordFailed)
        memory.keep(folder, _served(9), 6)
        assert len(events) == 2
        folder.failure = None
        memory.keep(folder, _served(9), 5 + FAILED_WRITE_PAUSE)
        again = FleetMemory(events.append)
        again.recall(folder, 20)
        assert again.history.tables.revision == 9
