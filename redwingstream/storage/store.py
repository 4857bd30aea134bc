"""Identity, term, vote, entries and snapshot of a replica."""

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
    damaged,
    pack_file,
    pack_record,
    scan_file,
)

_logger = logging.getLogger(__name__)

IDENTITY_FILE = 'identity'
SNAPSHOT_FILE = 'snapshot'
JOURNAL_FILE = 'journal'
IDENTITY_BITS = 63


class RecordKind(enum.IntEnum):
    """Kinds of records; numbers never change their meaning."""

    IDENTITY = 1
    SNAPSHOT = 2
    HARD_STATE = 3
    ENTRY = 4


@attrs.frozen
class _Identity:
    identity: int


@attrs.define
class LoadedState:
    """What a replica remembers when it starts.

    Parameters
    ----------
    identity : int
        Drawn when its data folder was made.
    hard_state : HardState
        Term and vote.
    snapshot : Snapshot or None
        None until it knows its group.
    entries : list of Entry
        Those above the snapshot, without gaps.
    """

    identity: int
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)


class ReplicaStore:
    """Durable state in a folder.

    Parameters
    ----------
    folder : Folder
        Where the files are.

    Notes
    -----
    After an error of the folder this object must not be used again: what the
    file then holds is known only after it has been read afresh.  A failed
    sync is never repeated, since the system may have dropped the bytes and
    report success the next time.
    """

    def __init__(self, folder: Folder) -> None:
        self._folder = folder

    def load(self, draw_identity: Callable[[], int]) -> LoadedState:
        """Read what is there, or make a new replica in an empty folder.

        Parameters
        ----------
        draw_identity : callable
            Returns a random number for a new replica.

        Raises
        ------
        StorageError
            ``DATA_DAMAGED``, ``DATA_MISSING`` or ``DATA_VERSION`` with a way
            out.
        """
        contents = self._folder.read(IDENTITY_FILE)
        if contents is None:
            return self._create(draw_identity())
        loaded = LoadedState(
            _read_whole(IDENTITY_FILE, contents, _Identity).identity
        )
        snapshot = self._folder.read(SNAPSHOT_FILE)
        if snapshot is not None:
            loaded.snapshot = _read_whole(SNAPSHOT_FILE, snapshot, Snapshot)
        self._load_journal(loaded)
        return loaded

    def save(
        self, hard_state: HardState | None, entries: Iterable[Entry]
    ) -> None:
        """Append and sync a term and vote and entries, in one write."""
        records = _journal_records(hard_state, entries)
        self._folder.append(JOURNAL_FILE, b''.join(map(pack_record, records)))
        self._folder.sync(JOURNAL_FILE)

    def save_snapshot(
        self,
        snapshot: Snapshot,
        hard_state: HardState,
        entries: Iterable[Entry],
    ) -> None:
        """Store a snapshot, and a journal of only what it does not contain.

        Notes
        -----
        The snapshot is durable before the journal is cut.  After a crash
        between the two the journal holds entries that the snapshot contains;
        they are skipped when it is read.
        """
        record = _record(RecordKind.SNAPSHOT, snapshot)
        replace_durably(self._folder, SNAPSHOT_FILE, pack_file([record]))
        records = _journal_records(hard_state, entries)
        replace_durably(self._folder, JOURNAL_FILE, pack_file(records))

    def _create(self, identity: int) -> LoadedState:
        for name in (JOURNAL_FILE, SNAPSHOT_FILE):
            if self._folder.read(name) is not None:
                raise _missing(IDENTITY_FILE, name)
        # The identity comes last: a crash before it leaves an empty journal,
        # which must not look like a replica that lost its identity.
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
                raise _missing(JOURNAL_FILE, SNAPSHOT_FILE)
            # A crash between the first two files of a new replica.
            replace_durably(self._folder, JOURNAL_FILE, pack_file([]))
            return
        scan = scan_file(JOURNAL_FILE, contents)
        if scan.damage_inside:
            raise damaged(
                JOURNAL_FILE,
                f'whole records stand behind byte {scan.good_size}',
            )
        self._cut_tail(scan, len(contents))
        for record in scan.records:
            _replay(record, loaded)

    def _cut_tail(self, scan: Scan, size: int) -> None:
        if scan.good_size == size:
            return
        _logger.warning(
            'storage: cut %d damaged bytes from the end of %s.',
            size - scan.good_size,
            JOURNAL_FILE,
        )
        self._folder.truncate(JOURNAL_FILE, scan.good_size)
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


def _read_whole(name: str, contents: bytes, wanted: type) -> object:
    scan = scan_file(name, contents)
    if len(scan.records) != 1 or scan.good_size != len(contents):
        raise damaged(name, 'its checksum does not fit')
    return _decode(name, scan.records[0], wanted)


def _decode(name: str, record: StoredRecord, wanted: type) -> object:
    try:
        return msgspec.msgpack.decode(record.body, type=wanted)
    except msgspec.DecodeError as error:
        raise damaged(name, f'a record cannot be read ({error})') from error


def _replay(record: StoredRecord, loaded: LoadedState) -> None:
    match record.kind:
        case RecordKind.HARD_STATE:
            loaded.hard_state = _decode(JOURNAL_FILE, record, HardState)
        case RecordKind.ENTRY:
            _replay_entry(_decode(JOURNAL_FILE, record, Entry), loaded)
        case _:
            raise damaged(JOURNAL_FILE, f'kind {record.kind} is unknown')


def _replay_entry(entry: Entry, loaded: LoadedState) -> None:
    base = 0 if loaded.snapshot is None else loaded.snapshot.index
    kept = entry.index - base - 1
    if kept < 0:
        return
    if kept > len(loaded.entries):
        raise damaged(
            JOURNAL_FILE, f'entries before index {entry.index} are missing'
        )
    loaded.entries = [*loaded.entries[:kept], entry]


def _missing(name: str, present: str) -> StorageError:
    return StorageError(
        f'{name} is missing beside {present}: files were removed by hand; '
        'put them back, or start this replica with an empty data folder',
        ResultCode.DATA_MISSING,
    )
