"""Identity, term, vote, log entries and snapshot of a replica."""

import enum
import logging
from collections.abc import Callable, Iterable

import attrs
import msgspec

from redwingstream.consensus.events import HardState
from redwingstream.consensus.messages import Entry, Snapshot
from redwingstream.errors import ResultCode, StorageError
from redwingstream.storage.folder import Folder, replace_durably
from redwingstream.storage.records import (
    Scan,
    StoredRecord,
    damage_error,
    pack_file,
    pack_record,
    scan_file,
)

_logger = logging.getLogger(__name__)

IDENTITY_FILE = 'identity'
SNAPSHOT_FILE = 'snapshot'
JOURNAL_FILE = 'journal'
# Number of random bits in the identity of a replica.
IDENTITY_BITS = 63


class RecordKind(enum.IntEnum):
    """Kinds of records; the meaning of a number never changes."""

    IDENTITY = 1
    SNAPSHOT = 2
    HARD_STATE = 3
    ENTRY = 4


@attrs.frozen
class _Identity:
    identity: int


@attrs.define
class LoadedState:
    """Durable state of a replica, as read when it starts.

    Parameters
    ----------
    identity : int
        Random number, drawn when the data folder was created.
    hard_state : HardState
        Term and vote.
    snapshot : Snapshot or None
        Latest snapshot; None until the replica knows its group.
    entries : list of Entry
        Log entries after the snapshot, without gaps.
    """

    identity: int
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)


class ReplicaStore:
    """Storage of the durable state of a replica in a folder.

    Parameters
    ----------
    folder : Folder
        File operations on the data folder.

    Notes
    -----
    This object must not be used after an error of the folder: the contents of
    the file are unknown until it is read again.  A failed sync is never
    repeated, since the operating system may have dropped the bytes and then
    report success.
    """

    def __init__(self, folder: Folder) -> None:
        self._folder = folder

    def load(self, draw_identity: Callable[[], int]) -> LoadedState:
        """Load the state, or create a new replica in an empty folder.

        Parameters
        ----------
        draw_identity : callable
            Returns a random number as the identity of a new replica.

        Raises
        ------
        StorageError
            ``DATA_DAMAGED``, ``DATA_MISSING`` or ``DATA_VERSION``; the text
            says what to do.
        """
        contents = self._folder.read(IDENTITY_FILE)
        if contents is None:
            return self._create(draw_identity())
        loaded = LoadedState(
            _read_single_record(IDENTITY_FILE, contents, _Identity).identity
        )
        snapshot = self._folder.read(SNAPSHOT_FILE)
        if snapshot is not None:
            loaded.snapshot = _read_single_record(
                SNAPSHOT_FILE, snapshot, Snapshot
            )
        self._load_journal(loaded)
        return loaded

    def save(
        self, hard_state: HardState | None, entries: Iterable[Entry]
    ) -> None:
        """Append term, vote and entries in one write, and sync the journal."""
        records = _journal_records(hard_state, entries)
        self._folder.append(JOURNAL_FILE, b''.join(map(pack_record, records)))
        self._folder.sync(JOURNAL_FILE)

    def save_snapshot(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: Iterable[Entry],
    ) -> None:
        """Save a snapshot, and reduce the journal to what it does not contain.

        Notes
        -----
        The snapshot is durable before the journal is replaced.  After a crash
        between the two, the journal has entries that the snapshot contains;
        they are skipped when the journal is read.
        """
        record = _record(RecordKind.SNAPSHOT, snapshot)
        replace_durably(self._folder, SNAPSHOT_FILE, pack_file([record]))
        records = _journal_records(hard_state, entries)
        replace_durably(self._folder, JOURNAL_FILE, pack_file(records))

    def _create(self, identity: int) -> LoadedState:
        for name in (JOURNAL_FILE, SNAPSHOT_FILE):
            if self._folder.read(name) is not None:
                raise _missing_file_error(IDENTITY_FILE, name)
        # The identity is written first.  In a crash between the two files, a
        # journal without an identity would look like a replica whose identity
        # was removed by hand; a missing journal is created at the next start.
        identity_record = _record(RecordKind.IDENTITY, _Identity(identity))
        replace_durably(
            self._folder, IDENTITY_FILE, pack_file([identity_record])
        )
        replace_durably(self._folder, JOURNAL_FILE, pack_file([]))
        _logger.info('storage: new replica with identity %d.', identity)
        return LoadedState(identity)

    def _load_journal(self, loaded: LoadedState) -> None:
        contents = self._folder.read(JOURNAL_FILE)
        if contents is None:
            if loaded.snapshot is not None:
                raise _missing_file_error(JOURNAL_FILE, SNAPSHOT_FILE)
            # The replica crashed between its first two files.
            replace_durably(self._folder, JOURNAL_FILE, pack_file([]))
            return
        scan = scan_file(JOURNAL_FILE, contents)
        if scan.is_damaged_inside:
            raise damage_error(
                JOURNAL_FILE,
                f'whole records follow after byte {scan.valid_size}',
            )
        self._truncate_tail(scan, len(contents))
        for record in scan.records:
            _apply_record(record, loaded)

    def _truncate_tail(self, scan: Scan, size: int) -> None:
        if scan.valid_size == size:
            return
        _logger.warning(
            'storage: cut %d damaged bytes from the end of %s.',
            size - scan.valid_size,
            JOURNAL_FILE,
        )
        self._folder.truncate(JOURNAL_FILE, scan.valid_size)
        self._folder.sync(JOURNAL_FILE)


def _journal_records(
    hard_state: HardState | None, entries: Iterable[Entry]
) -> list[StoredRecord]:
    records = [_record(RecordKind.ENTRY, entry) for entry in entries]
    if hard_state is not None:
        records.insert(0, _record(RecordKind.HARD_STATE, hard_state))
    return records


def _record(kind: RecordKind, contents: object) -> StoredRecord:
    return StoredRecord(kind, msgspec.msgpack.encode(contents))


def _read_single_record(name: str, contents: bytes, wanted: type) -> object:
    scan = scan_file(name, contents)
    if len(scan.records) != 1 or scan.valid_size != len(contents):
        raise damage_error(name, 'its checksum does not match')
    return _decode(name, scan.records[0], wanted)


def _decode(name: str, record: StoredRecord, wanted: type) -> object:
    try:
        return msgspec.msgpack.decode(record.body, type=wanted)
    except msgspec.DecodeError as error:
        raise damage_error(
            name, f'a record cannot be read ({error})'
        ) from error


def _apply_record(record: StoredRecord, loaded: LoadedState) -> None:
    match record.kind:
        case RecordKind.HARD_STATE:
            loaded.hard_state = _decode(JOURNAL_FILE, record, HardState)
        case RecordKind.ENTRY:
            _apply_entry(_decode(JOURNAL_FILE, record, Entry), loaded)
        case _:
            raise damage_error(JOURNAL_FILE, f'kind {record.kind} is unknown')


def _apply_entry(entry: Entry, loaded: LoadedState) -> None:
    base = 0 if loaded.snapshot is None else loaded.snapshot.index
    kept = entry.index - base - 1
    if kept < 0:
        return
    if kept > len(loaded.entries):
        raise damage_error(
            JOURNAL_FILE, f'entries before index {entry.index} are missing'
        )
    loaded.entries = [*loaded.entries[:kept], entry]


def _missing_file_error(name: str, existing: str) -> StorageError:
    return StorageError(
        f'{name} is missing beside {existing}: files were removed by hand; '
        'put them back, or start this replica with an empty data folder',
        ResultCode.DATA_MISSING,
    )
