"""A control instance's memory of the fleet, on its disk."""

from collections.abc import Callable

import attrs

from redwingstream.directory.fleet_record import (
    Followers,
    WriteTurn,
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

FILE = 'fleet'


@event
class FleetRecalled:
    """What the last run of this instance knew was read from the disk."""

    revision: int
    processes: int
    controls: int


@event
class FleetRecordFailed:
    """What is known of the fleet could not be read or written."""

    action: str
    error: str


@attrs.frozen
class Served:
    """What a control instance hands out.

    Parameters
    ----------
    controls : tuple of Address
        The control instances that run.
    revision : int
        Of the tables that this instance has applied.
    tables_since : callable
        Returns what changed after a revision.
    """

    controls: tuple[Address, ...]
    revision: int
    tables_since: Callable[[int], TablesUpdate]


class FleetMemory:
    """Whom a control instance serves, and the tables it had when it stopped.

    Parameters
    ----------
    log : callable
        Takes events.

    Notes
    -----
    The tables of the record were accepted by a majority before they were
    written, so nobody who goes by them ever has to go back; they may not be
    the newest.
    """

    def __init__(self, log: Callable[[object], None]) -> None:
        self.followers = Followers()
        self.history = TablesHistory()
        self._log = log
        self._turn = WriteTurn()
        self._recalled: FleetRecord | None = None

    def recall(self, folder: Folder, now: float) -> None:
        """Read what the last run of this instance has written."""
        try:
            record = unpack_record(FILE, folder.read(FILE))
            if record.tables:
                self.history.take(unpack_update(record.tables))
        except RedwingstreamError as error:
            # Without the record this start is slower, and nothing else.
            self._log(FleetRecordFailed('read', str(error)))
            return
        self._recalled = record
        self._turn.written = attrs.evolve(record, tables=b'')
        for address in record.processes:
            self.followers.hear(Address(address), now)
        self._log(
            FleetRecalled(
                record.revision, len(record.processes), len(record.controls)
            ),
        )

    def pop_recalled(self) -> FleetRecord | None:
        """Return what was read, once; None when there is nothing new."""
        recalled = self._recalled
        self._recalled = None
        return recalled

    def keep(self, folder: Folder, served: Served, now: float) -> None:
        """Write the record when it has changed and it is time.

        Nothing is written while this instance has not caught up with what it
        recalled: the record on the disk is the better one.
        """
        is_behind = served.revision < self.history.tables.revision
        if is_behind or now < self._turn.next_at:
            return
        record = FleetRecord(
            served.controls, self.followers.present(now), served.revision
        )
        if not self._turn.is_due(record, now):
            return
        tables = pack_update(served.tables_since(0))
        full = attrs.evolve(record, tables=tables)
        try:
            replace_durably(folder, FILE, pack_record(full))
        except RedwingstreamError as error:
            self._turn.note_failed(now)
            self._log(FleetRecordFailed('write', str(error)))
            return
        self._turn.note_written(record, now)
