"""Durable state of a replica after crashes, damage and full disks."""

import random
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from redwingstream.consensus.events import HardState
from redwingstream.consensus.messages import Entry, Snapshot, Voter
from redwingstream.errors import ResultCode, StorageError
from redwingstream.storage.disk import open_folder
from redwingstream.storage.store import (
    IDENTITY_FILE,
    JOURNAL_FILE,
    SNAPSHOT_FILE,
    LoadedState,
    ReplicaStore,
)
from redwingstream.storage.tests.fakes import FakeFolder, PowerCutError

IDENTITY = 77
GROUP = (Voter('a', IDENTITY),)


def make_entry(index: int, term: int = 1) -> Entry:
    """Return an entry whose body depends on its index."""
    return Entry(index, term, 18, b'body %d' % index)


def make_folder(seed: int = 0) -> FakeFolder:
    """Return a folder of a replica with three synced entries."""
    folder = FakeFolder(random.Random(seed))
    store = ReplicaStore(folder)
    store.load(lambda: IDENTITY)
    store.save(HardState(3, 'a'), [make_entry(index) for index in (1, 2, 3)])
    return folder


def write_more(store: ReplicaStore) -> Iterator[int]:
    """Save more, and yield the index of the last saved entry."""
    store.save(None, [make_entry(4)])
    yield 4
    snapshot = Snapshot(2, 1, GROUP, b'state')
    rest = [make_entry(3), make_entry(4)]
    store.save_snapshot(snapshot, HardState(3, 'a'), rest)
    store.save(HardState(4, ''), [make_entry(5)])
    yield 5


def load(folder: FakeFolder) -> LoadedState:
    """Load the state from a folder, as a replica does when it starts."""
    return ReplicaStore(folder).load(lambda: IDENTITY + 1)


def error_code_of_load(folder: FakeFolder) -> ResultCode:
    """Return the code of the error with which loading fails."""
    with pytest.raises(StorageError) as caught:
        load(folder)
    return caught.value.code


class TestStore:
    """Term, vote, entries and snapshot are loaded as they were saved."""

    def test_loads_what_was_saved(self) -> None:
        loaded = load(make_folder())
        assert loaded.identity == IDENTITY
        assert loaded.hard_state == HardState(3, 'a')
        assert loaded.entries == [make_entry(index) for index in (1, 2, 3)]

    def test_entry_replaces_all_entries_from_its_index_on(self) -> None:
        folder = make_folder()
        ReplicaStore(folder).save(None, [make_entry(2, term=4)])
        assert load(folder).entries == [make_entry(1), make_entry(2, term=4)]

    def test_snapshot_replaces_entries(self) -> None:
        folder = make_folder()
        snapshot = Snapshot(2, 1, GROUP, b'state')
        ReplicaStore(folder).save_snapshot(
            snapshot, HardState(3), [make_entry(3)]
        )
        loaded = load(folder)
        assert loaded.snapshot == snapshot
        assert loaded.entries == [make_entry(3)]

    def test_empty_folder_gets_a_new_identity(self) -> None:
        folder = FakeFolder(random.Random(0))
        assert load(folder).identity == IDENTITY + 1
        folder.crash()
        assert load(folder).identity == IDENTITY + 1


class TestCrash:
    """Power cuts at any file operation."""

    @given(st.integers(0, 2**32), st.integers(0, 12))
    def test_keeps_what_was_synced(self, seed: int, operations: int) -> None:
        """An acknowledged change must not be lost.

        The replica syncs three entries and acknowledges them; then it writes a
        fourth one, a snapshot and a fifth one, and the power fails at one of
        the file operations.  Entries would be lost if a file were replaced
        before its new contents are synced.
        """
        folder = make_folder(seed)
        store = ReplicaStore(folder)
        folder.operations_left = operations
        saved = 3
        try:
            for saved in write_more(store):
                assert saved > 3
        except PowerCutError:
            folder.crash()
        folder.operations_left = None
        loaded = load(folder)
        base = loaded.snapshot.index if loaded.snapshot else 0
        assert base + len(loaded.entries) >= saved
        assert loaded.identity == IDENTITY
        assert loaded.hard_state.term >= 3
        for entry in loaded.entries:
            assert entry == make_entry(entry.index)

    @given(st.integers(0, 2**32), st.integers(0, 8))
    def test_first_start_can_be_repeated(
        self, seed: int, operations: int
    ) -> None:
        """A new instance must start after a crash in its first start.

        The power fails while the first files are created, and the next start
        finds some of them.  The order of writes must be such that a new replica
        does not look like one whose files were removed by hand.
        """
        folder = FakeFolder(random.Random(seed))
        folder.operations_left = operations
        try:
            ReplicaStore(folder).load(lambda: IDENTITY)
        except PowerCutError:
            folder.crash()
        folder.operations_left = None
        assert load(folder).entries == []


class TestDamage:
    """Files whose contents differ from what was written."""

    def test_truncates_an_incomplete_tail(self) -> None:
        """A replica must start after a power cut.

        The power fails while a record is written, and half of it reaches the
        disk.  The record was not acknowledged, so it can be removed.
        """
        folder = make_folder()
        whole = folder.read(JOURNAL_FILE)
        folder.append(JOURNAL_FILE, whole[-20:-5])
        assert load(folder).entries[-1] == make_entry(3)
        assert folder.read(JOURNAL_FILE) == whole

    @given(st.data())
    def test_refuses_damage_before_the_tail(self, data: st.DataObject) -> None:
        """Accepted changes must not be lost silently.

        The disk returns other bytes than were synced, before valid records.
        Truncating there would drop entries that this replica has acknowledged,
        so it stops with an error that says what to do.
        """
        folder = make_folder()
        size = len(folder.read(JOURNAL_FILE))
        last = len(make_entry(3).body) + 20
        offset = data.draw(st.integers(8, size - 3 * last))
        folder.corrupt(JOURNAL_FILE, offset)
        with pytest.raises(StorageError, match='readmit') as caught:
            load(folder)
        assert caught.value.code is ResultCode.DATA_DAMAGED

    @pytest.mark.parametrize('name', [IDENTITY_FILE, SNAPSHOT_FILE])
    def test_refuses_a_damaged_file_of_one_record(self, name: str) -> None:
        folder = make_folder()
        snapshot = Snapshot(3, 1, GROUP, b'state')
        ReplicaStore(folder).save_snapshot(snapshot, HardState(3), [])
        folder.corrupt(name, len(folder.read(name)) - 1)
        assert error_code_of_load(folder) is ResultCode.DATA_DAMAGED

    def test_refuses_another_version(self) -> None:
        folder = make_folder()
        folder.corrupt(JOURNAL_FILE, 7)
        assert error_code_of_load(folder) is ResultCode.DATA_VERSION

    @pytest.mark.parametrize('name', [IDENTITY_FILE, JOURNAL_FILE])
    def test_refuses_a_folder_with_a_file_missing(self, name: str) -> None:
        folder = make_folder()
        snapshot = Snapshot(3, 1, GROUP, b'state')
        ReplicaStore(folder).save_snapshot(snapshot, HardState(3), [])
        folder.remove(name)
        assert error_code_of_load(folder) is ResultCode.DATA_MISSING

    def test_full_disk_is_reported_and_loses_nothing(self) -> None:
        """Half a record on a full disk must not hide later records.

        The write fails with half of the record on the disk, and the replica
        stops.  When there is space again, it starts and removes that half.
        """
        folder = make_folder()
        folder.failure = ResultCode.DISK_FULL
        with pytest.raises(StorageError) as caught:
            ReplicaStore(folder).save(None, [make_entry(4)])
        assert caught.value.code is ResultCode.DISK_FULL
        folder.failure = None
        assert len(load(folder).entries) == 3


class TestDiskFolder:
    """File operations on a real folder."""

    def test_keeps_what_was_saved(self, tmp_path) -> None:
        with open_folder(tmp_path / 'data') as folder:
            store = ReplicaStore(folder)
            store.load(lambda: IDENTITY)
            store.save(HardState(2, 'b'), [make_entry(1)])
            snapshot = Snapshot(1, 1, GROUP, b'state')
            store.save_snapshot(snapshot, HardState(2, 'b'), [])
            store.save(None, [make_entry(2)])
        with open_folder(tmp_path / 'data') as folder:
            loaded = ReplicaStore(folder).load(lambda: IDENTITY + 1)
        assert loaded.identity == IDENTITY
        assert loaded.snapshot == snapshot
        assert loaded.entries == [make_entry(2)]

    def test_refuses_a_folder_in_use(self, tmp_path) -> None:
        with (
            open_folder(tmp_path),
            pytest.raises(StorageError, match='in use'),
            open_folder(tmp_path),
        ):
            pytest.fail('the folder was opened twice')
