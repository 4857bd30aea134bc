"""The fleet record on a control instance's disk."""

from collections.abc import Callable

import attrs

from redwingstream.directory.fleet_record import (
    Followers,
    WriteSchedule,
    pack_record,
    unpack_record,
)
from redwingstream.directory.inquiry import pack_update, unpack_update
from redwingstream.directory.messages import FleetRecord
from redwingstream.errors import RedwingstreamError
from redwingstream.eventlog.lines import event
from redwingstream.packets.flow import Address
from redwingstream.storage.folder import Folder, replace_durably
from redwingstream.tables.history import TablesHistory
from redwingstream.tables.messages import TablesUpdate

FILE_NAME = 'fleet'


@event
class FleetRecalled:
    """The fleet record of this instance's last run was read from the disk."""

    revision: int
    processes: int
    controls: int


@event
class FleetRecordFailed:
    """The fleet record could not be read or written."""

    action: str
    error: str


@attrs.frozen
class ServedState:
    """State that a control instance serves now.

    Parameters
    ----------
    controls : tuple of Address
        Control instances that run.
    revision : int
        Revision of the tables that this instance has applied.
    tables_since : callable
        Returns what changed after a revision.
    """

    controls: tuple[Address, ...]
    revision: int
    tables_since: Callable[[int], TablesUpdate]


class FleetRecordStore:
    """Reads and writes the fleet record of a control instance.

    Parameters
    ----------
    log : callable
        Called with each event to be logged.

    Attributes
    ----------
    followers : Followers
        Processes that have recently asked this instance.
    history : TablesHistory
        Tables of the record that the last run has written.

    Notes
    -----
    The tables of the record were accepted by a majority before they were
    written, so a process that applies them never has to return to older ones;
    they may not be the newest.
    """

    def __init__(self, log: Callable[[object], None]) -> None:
        self.followers = Followers()
        self.history = TablesHistory()
        self._log = log
        self._schedule = WriteSchedule()
        self._loaded: FleetRecord | None = None

    def load(self, folder: Folder, now: float) -> None:
        """Read the record that the last run of this instance has written."""
        try:
            record = unpack_record(FILE_NAME, folder.read(FILE_NAME))
            if record.tables:
                self.history.apply_update(unpack_update(record.tables))
        except RedwingstreamError as error:
            # The record is optional: without it, the start is only slower.
            self._log(FleetRecordFailed('read', str(error)))
            return
        self._loaded = record
        self._schedule.written = attrs.evolve(record, tables=b'')
        for address in record.processes:
            self.followers.record_inquiry(Address(address), now)
        self._log(
            FleetRecalled(
                record.revision, len(record.processes), len(record.controls)
            ),
        )

    def pop_loaded(self) -> FleetRecord | None:
        """Return the record that was read; None if there is none left."""
        loaded = self._loaded
        self._loaded = None
        return loaded

    def write_if_due(
        self, folder: Folder, served: ServedState, now: float
    ) -> None:
        """Write the record when it has changed and a write is due.

        Nothing is written while this instance has applied older tables than it
        has read: the record on the disk is the newer one.
        """
        is_behind = served.revision < self.history.tables.revision
        if is_behind or now < self._schedule.next_at:
            return
        record = FleetRecord(
            served.controls, self.followers.recent(now), served.revision
        )
        if not self._schedule.is_due(record, now):
            return
        tables = pack_update(served.tables_since(0))
        full = attrs.evolve(record, tables=tables)
        try:
            replace_durably(folder, FILE_NAME, pack_record(full))
        except RedwingstreamError as error:
            self._schedule.record_failure(now)
            self._log(FleetRecordFailed('write', str(error)))
            return
        self._schedule.record_written(record, now)
