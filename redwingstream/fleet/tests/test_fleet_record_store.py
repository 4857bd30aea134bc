"""The fleet record on a control instance's disk."""

import random

import pytest

from redwingstream.directory.fleet_record import FAILED_WRITE_PAUSE
from redwingstream.errors import ResultCode
from redwingstream.fleet.fleet_record_store import (
    FILE_NAME,
    FleetRecalled,
    FleetRecordFailed,
    FleetRecordStore,
    ServedState,
)
from redwingstream.packets.flow import Address
from redwingstream.storage.tests.fakes import FakeFolder
from redwingstream.tables.machine.state_machine import StateMachine

CONTROLS = (Address(1), Address(2))
BALANCER = Address(11)
AGENT = Address(12)


@pytest.fixture
def folder() -> FakeFolder:
    return FakeFolder(random.Random(1))


@pytest.fixture
def events() -> list[object]:
    return []


def _served(revision: int) -> ServedState:
    machine = StateMachine()
    machine.state.revision = revision
    return ServedState(CONTROLS, revision, machine.update_since)


def _written(folder: FakeFolder, revision: int) -> None:
    store = FleetRecordStore(lambda event: None)
    store.load(folder, 0)
    store.followers.record_inquiry(BALANCER, 0)
    store.followers.record_inquiry(AGENT, 0)
    store.write_if_due(folder, _served(revision), 0)


class TestLoad:
    """The next run reads what the last run has written."""

    def test_reads_processes_and_tables(self, folder, events) -> None:
        _written(folder, revision=7)
        folder.crash()
        store = FleetRecordStore(events.append)
        store.load(folder, 0)
        loaded = store.pop_loaded()
        assert loaded.controls == CONTROLS
        assert loaded.processes == (BALANCER, AGENT)
        assert store.history.tables.revision == 7
        assert isinstance(events[0], FleetRecalled)

    def test_is_popped_once(self, folder, events) -> None:
        store = FleetRecordStore(events.append)
        store.load(folder, 0)
        assert store.pop_loaded() is not None
        assert store.pop_loaded() is None

    def test_ignores_a_damaged_record(self, folder, events) -> None:
        """Guards against failing to start because of an optional record."""
        folder.write(FILE_NAME, b'no record at all')
        store = FleetRecordStore(events.append)
        store.load(folder, 0)
        assert store.pop_loaded() is None
        assert store.history.tables.revision == 0
        assert isinstance(events[0], FleetRecordFailed)

    def test_counts_recorded_processes_as_followers(
        self, folder, events
    ) -> None:
        """Guards against losing all processes at a second restart."""
        _written(folder, revision=7)
        store = FleetRecordStore(events.append)
        store.load(folder, 100)
        assert store.followers.recent(100) == (BALANCER, AGENT)


class TestWrite:
    """Times at which the record is written."""

    def test_not_with_older_tables_than_loaded(self, folder, events) -> None:
        """Guards against replacing accepted tables on the disk by older ones.

        Until a leader is found, a restarted replica has applied only its
        snapshot.
        """
        _written(folder, revision=7)
        store = FleetRecordStore(events.append)
        store.load(folder, 0)
        store.write_if_due(folder, _served(3), 5)
        reopened = FleetRecordStore(events.append)
        reopened.load(folder, 6)
        assert reopened.history.tables.revision == 7

    def test_failure_keeps_the_old_record(self, folder, events) -> None:
        """Guards against a full disk that stops the replica.

        The record that is already on the disk stays valid.
        """
        _written(folder, revision=7)
        store = FleetRecordStore(events.append)
        store.load(folder, 0)
        folder.failure = ResultCode.DISK_FULL
        store.write_if_due(folder, _served(9), 5)
        assert isinstance(events[-1], FleetRecordFailed)
        store.write_if_due(folder, _served(9), 6)
        assert len(events) == 2
        folder.failure = None
        store.write_if_due(folder, _served(9), 5 + FAILED_WRITE_PAUSE)
        reopened = FleetRecordStore(events.append)
        reopened.load(folder, 20)
        assert reopened.history.tables.revision == 9
