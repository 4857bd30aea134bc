"""Snapshots at a control instance, in memory and on its disk."""

import random

import attrs
import pytest

from redwingstream.directory.messages import FlowSnapshot, FlowSnapshotQuery
from redwingstream.errors import ResultCode
from redwingstream.lost_flows.events import SnapshotsFailed
from redwingstream.lost_flows.recorded_flows import RecordedFlow, pack_flows
from redwingstream.lost_flows.snapshot_store import (
    FAILED_WRITE_PAUSE,
    FILE_NAME,
    KEPT_SECONDS,
    MAX_KEPT_BYTES,
    RECALLED_SECONDS,
    WRITE_INTERVAL,
    SnapshotStore,
)
from redwingstream.packets.flow import Address, flow_of
from redwingstream.storage.tests.fakes import FakeFolder

SNAPSHOT = FlowSnapshot(
    address=7,
    boot=1,
    sequence=5,
    born=1000,
    flows=pack_flows([RecordedFlow(flow_of(Address(3), Address(4)), 9)]),
)
QUERY = FlowSnapshotQuery(7, boot=2)


@pytest.fixture
def folder() -> FakeFolder:
    return FakeFolder(random.Random(1))


@pytest.fixture
def events() -> list[object]:
    return []


@pytest.fixture
def store(events) -> SnapshotStore:
    made = SnapshotStore(events.append)
    made.handle_snapshot(SNAPSHOT, 0)
    return made


class TestMemory:
    """Queries while the control instance keeps running."""

    @pytest.mark.parametrize(
        ('change', 'is_kept'),
        [
            ({'sequence': 5}, False),
            ({'sequence': 4}, False),
            ({'sequence': 6}, True),
            ({'boot': 3, 'born': 999, 'sequence': 9}, False),
            ({'boot': 3, 'born': 1000, 'sequence': 1}, True),
        ],
    )
    def test_keeps_the_newest(self, store, change, is_kept) -> None:
        """Guards against old flows after duplicated or reordered messages."""
        other = attrs.evolve(SNAPSHOT, flows=b'other', **change)
        store.handle_snapshot(other, 1)
        expected = other if is_kept else SNAPSHOT
        assert store.answer(QUERY, 1) == expected

    def test_expires(self, store) -> None:
        """Guards against resets of ports that callers use again."""
        assert store.answer(QUERY, KEPT_SECONDS - 1) == SNAPSHOT
        assert store.answer(QUERY, KEPT_SECONDS) is None

    def test_same_run_or_unknown_agent_gets_no_answer(self, store) -> None:
        """Guards against an agent that takes its own flows for lost ones."""
        assert store.answer(FlowSnapshotQuery(7, boot=1), 1) is None
        assert store.answer(FlowSnapshotQuery(8, boot=2), 1) is None

    def test_memory_is_bounded(self, store) -> None:
        """Guards against a control instance that runs out of memory."""
        flows = bytes(MAX_KEPT_BYTES // 10)
        for address in range(100, 150):
            one = attrs.evolve(SNAPSHOT, address=address, flows=flows)
            store.handle_snapshot(one, 1)
        assert len(store) == 10


class TestDisk:
    """The control instance starts again."""

    def test_answers_from_the_file_at_once(self, store, folder) -> None:
        """Guards against losing all snapshots with the power."""
        store.tick(folder, 0)
        folder.crash()
        restarted = SnapshotStore(lambda event: None)
        restarted.tick(folder, 0)
        assert restarted.answer(QUERY, 0) == SNAPSHOT

    def test_old_file_expires_soon(self, store, folder) -> None:
        """Guards against resets by the file of an instance long stopped."""
        store.tick(folder, 0)
        restarted = SnapshotStore(lambda event: None)
        restarted.tick(folder, 0)
        restarted.tick(folder, RECALLED_SECONDS)
        assert restarted.answer(QUERY, RECALLED_SECONDS) is None
        again = SnapshotStore(lambda event: None)
        again.tick(folder, 0)
        assert not len(again)

    def test_received_snapshot_replaces_that_of_the_file(
        self, store, folder
    ) -> None:
        """Guards against old flows when a disk is opened again."""
        store.tick(folder, 0)
        newer = attrs.evolve(SNAPSHOT, sequence=6)
        restarted = SnapshotStore(lambda event: None)
        restarted.handle_snapshot(newer, 0)
        restarted.tick(folder, 0)
        assert restarted.answer(QUERY, 0) == newer

    def test_damaged_file_is_ignored(self, folder, events) -> None:
        """Guards against failing to start because of an optional file."""
        folder.write(FILE_NAME, b'no snapshot at all')
        store = SnapshotStore(events.append)
        store.tick(folder, 0)
        assert store.answer(QUERY, 0) is None
        assert isinstance(events[0], SnapshotsFailed)

    def test_cut_file_keeps_whole_snapshots(self, store, folder) -> None:
        """Guards against losing all agents' flows with the last record."""
        other = attrs.evolve(SNAPSHOT, address=8)
        store.handle_snapshot(other, 0)
        store.tick(folder, 0)
        contents = folder.read(FILE_NAME)
        folder.write(FILE_NAME, contents[:-1])
        restarted = SnapshotStore(lambda event: None)
        restarted.tick(folder, 0)
        assert restarted.answer(QUERY, 0) == SNAPSHOT
        assert len(restarted) == 1

    def test_writes_changes_once_a_second(self, store, folder) -> None:
        """Guards against a sync of the disk for each message."""
        store.tick(folder, 0)
        store.tick(folder, WRITE_INTERVAL)
        for step in range(1, 10):
            newer = attrs.evolve(SNAPSHOT, sequence=5 + step)
            store.handle_snapshot(newer, step / 10)
            store.tick(folder, step / 10)
        assert store.counters.written == 1

    def test_failed_write_is_repeated_later(
        self, store, folder, events
    ) -> None:
        """Guards against a full disk that stops the control instance."""
        folder.failure = ResultCode.DISK_FULL
        store.tick(folder, 0)
        store.tick(folder, WRITE_INTERVAL)
        assert [type(event) for event in events] == [SnapshotsFailed]
        folder.failure = None
        store.tick(folder, FAILED_WRITE_PAUSE)
        assert store.counters.written == 1
