"""What a control instance keeps on its disk for its next start.

After a loss of power nobody knows anybody but the few control instances that
the settings name, and the replicas' tables wait for an election.  A control
instance with a disk remembers whom it served and the newest tables that were
accepted, so that it can speak first and hand the tables out at once.
"""

import attrs

from redwingstream.directory.messages import FleetRecord
from redwingstream.errors import RedwingstreamError
from redwingstream.packets.flow import Address
from redwingstream.storage.records import StoredRecord, pack_file, scan_file
from redwingstream.wire.messages import decode, encode

WRITE_EVERY = 1.0
"""Seconds between two writes at the least."""

FAILED_WRITE_PAUSE = 10.0
"""Seconds without a write after one that has failed."""

MAX_PROCESSES = 4096
"""Processes that are remembered."""

HEARD_WITHIN = 20.0
"""Seconds since a process was heard for which it is remembered."""


def pack_record(record: FleetRecord) -> bytes:
    """Return a record as the contents of a file."""
    kind, body = encode(record)
    return pack_file((StoredRecord(kind, body),))


def unpack_record(name: str, contents: bytes | None) -> FleetRecord:
    """Read a record back; an empty one where there is none.

    Parameters
    ----------
    name : str
        Name of the file, for the error text.
    contents : bytes or None
        What the file holds; None without a file.

    Raises
    ------
    RedwingstreamError
        When the file is damaged or another version wrote it.
    """
    if not contents:
        return FleetRecord()
    scan = scan_file(name, contents)
    for stored in scan.records:
        found = decode(stored.kind, stored.body)
        if isinstance(found, FleetRecord):
            return found
    raise RedwingstreamError(f'{name} holds no whole record of the fleet')


class Followers:
    """The processes that have asked a control instance lately."""

    def __init__(self) -> None:
        self._heard_at_by_address: dict[Address, float] = {}

    def __len__(self) -> int:
        """Return the number of remembered processes."""
        return len(self._heard_at_by_address)

    def hear(self, address: Address, now: float) -> None:
        """Note that a process has asked."""
        known = self._heard_at_by_address
        if address in known or len(known) < MAX_PROCESSES:
            known[address] = now

    def present(self, now: float) -> tuple[Address, ...]:
        """Return the processes that are remembered, in order."""
        self.forget_old(now)
        return tuple(sorted(self._heard_at_by_address))

    def forget_old(self, now: float) -> None:
        """Remove processes that have not asked within ``HEARD_WITHIN``."""
        known = self._heard_at_by_address
        for address, heard_at in tuple(known.items()):
            if now - heard_at > HEARD_WITHIN:
                known.pop(address)


@attrs.define
class WriteTurn:
    """Decides when a record is to be written.

    Parameters
    ----------
    written : FleetRecord
        What stands on the disk; its tables are not looked at.
    next_at : float
        Earliest time of the next write.
    """

    written: FleetRecord = attrs.field(factory=FleetRecord)
    next_at: float = float('-inf')

    def is_due(self, record: FleetRecord, now: float) -> bool:
        """Whether a record without its tables is to be written now."""
        return now >= self.next_at and record != self.written

    def note_written(self, record: FleetRecord, now: float) -> None:
        """Note that a record, given without its tables, was written."""
        self.written = record
        self.next_at = now + WRITE_EVERY

    def note_failed(self, now: float) -> None:
        """Note that a write has failed."""
        self.next_at = now + FAILED_WRITE_PAUSE
