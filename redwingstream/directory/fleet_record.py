"""Content and schedule of the fleet record on a control instance's disk.

After a power failure, processes know only the few control instances that the
settings name, and the replicas serve no tables until a leader is elected.  A
control instance with a disk therefore stores which processes it served and the
newest tables that were accepted.  At its next start it contacts these
processes first and serves the tables at once.
"""

import attrs

from redwingstream.directory.messages import FleetRecord
from redwingstream.errors import RedwingstreamError
from redwingstream.packets.flow import Address
from redwingstream.storage.records import StoredRecord, pack_file, scan_file
from redwingstream.wire.messages import decode, encode

WRITE_INTERVAL = 1.0
"""Minimum time in seconds between two writes."""

FAILED_WRITE_PAUSE = 10.0
"""Seconds after a failed write until the next attempt."""

MAX_PROCESSES = 4096
"""Maximum number of processes in the record."""

EVICT_AFTER = 20.0
"""Seconds after its last inquiry at which a process is dropped from the
record."""


def pack_record(record: FleetRecord) -> bytes:
    """Return a record as the contents of a file."""
    kind, body = encode(record)
    return pack_file((StoredRecord(kind, body),))


def unpack_record(name: str, contents: bytes | None) -> FleetRecord:
    """Decode a record; return an empty one without a file.

    Parameters
    ----------
    name : str
        Name of the file, for the error text.
    contents : bytes or None
        Contents of the file; None without a file.

    Raises
    ------
    RedwingstreamError
        When the file is damaged or was written by another version.
    """
    if not contents:
        return FleetRecord()
    scan = scan_file(name, contents)
    for stored in scan.records:
        found = decode(stored.kind, stored.body)
        if isinstance(found, FleetRecord):
            return found
    raise RedwingstreamError(f'{name} contains no complete fleet record')


class Followers:
    """Processes that have recently sent inquiries to a control instance.

    A follower of the tables is a balancer, an agent, or a control instance
    without a disk that polls control instances for them.
    """

    def __init__(self) -> None:
        self._heard_at_by_address: dict[Address, float] = {}

    def __len__(self) -> int:
        """Return the number of processes that are kept."""
        return len(self._heard_at_by_address)

    def record_inquiry(self, address: Address, now: float) -> None:
        """Record that a process has sent an inquiry."""
        known = self._heard_at_by_address
        if address in known or len(known) < MAX_PROCESSES:
            known[address] = now

    def recent(self, now: float) -> tuple[Address, ...]:
        """Return the processes that have asked recently, sorted by address."""
        self.evict_expired(now)
        return tuple(sorted(self._heard_at_by_address))

    def evict_expired(self, now: float) -> None:
        """Remove processes that have not asked within ``EVICT_AFTER``."""
        known = self._heard_at_by_address
        for address, heard_at in tuple(known.items()):
            if now - heard_at > EVICT_AFTER:
                known.pop(address)


@attrs.define
class WriteSchedule:
    """Decides when a record is to be written.

    Parameters
    ----------
    written : FleetRecord
        Record on the disk, without its tables.
    next_at : float
        Earliest time of the next write.
    """

    written: FleetRecord = attrs.field(factory=FleetRecord)
    next_at: float = float('-inf')

    def is_due(self, record: FleetRecord, now: float) -> bool:
        """Whether a record, given without its tables, is to be written now."""
        return now >= self.next_at and record != self.written

    def record_written(self, record: FleetRecord, now: float) -> None:
        """Record that a record, given without its tables, was written."""
        self.written = record
        self.next_at = now + WRITE_INTERVAL

    def record_failure(self, now: float) -> None:
        """Record that a write has failed."""
        self.next_at = now + FAILED_WRITE_PAUSE
