"""Agents' snapshots of flows at a control instance, and their file."""

from collections import OrderedDict
from collections.abc import Callable

import attrs

from redwingstream.directory.messages import FlowSnapshot, FlowSnapshotQuery
from redwingstream.errors import RedwingstreamError
from redwingstream.lost_flows.events import SnapshotsFailed, SnapshotsRecalled
from redwingstream.packets.flow import Address
from redwingstream.storage.folder import Folder, replace_durably
from redwingstream.storage.records import StoredRecord, pack_file, scan_file
from redwingstream.wire.messages import decode, encode

FILE_NAME = 'flows'

KEPT_SECONDS = 90.0
"""Seconds for which a snapshot is kept."""

RECALLED_SECONDS = 30.0
"""Seconds for which a snapshot that was read from the disk is kept: agents
that lost power with this instance start at about the same time.  The file does
not say how old it is, and callers use their ports again after minutes."""

WRITE_INTERVAL = 1.0
"""Minimum time in seconds between two writes."""

FAILED_WRITE_PAUSE = 10.0
"""Seconds after a failed write until the next attempt."""

MAX_KEPT_BYTES = 800000
"""Maximum size in bytes of the flows of all snapshots; the oldest snapshots are
dropped beyond it."""


@attrs.frozen
class _Kept:
    """A snapshot and the time at which it expires."""

    snapshot: FlowSnapshot
    expires_at: float


@attrs.define
class SnapshotCounters:
    """Counts of a control instance since its start.

    Parameters
    ----------
    received : int
        Snapshots received from agents.
    answered : int
        Queries answered with a snapshot.
    written : int
        Writes of the file.
    """

    received: int = 0
    answered: int = 0
    written: int = 0


class SnapshotStore:
    """Keeps the newest snapshot of each agent.

    Parameters
    ----------
    log : callable
        Called with each event to be logged.

    Attributes
    ----------
    counters : SnapshotCounters
        Counts since the start.
    """

    def __init__(self, log: Callable[[object], None]) -> None:
        self.counters = SnapshotCounters()
        self._log = log
        self._kept_by_address: OrderedDict[Address, _Kept] = OrderedDict()
        self._size = 0
        self._is_changed = False
        self._write_at = float('-inf')
        self._folder: Folder | None = None

    def __len__(self) -> int:
        """Return the number of snapshots."""
        return len(self._kept_by_address)

    def handle_snapshot(self, snapshot: FlowSnapshot, now: float) -> None:
        """Keep a snapshot unless a newer one of its agent is known."""
        self.counters.received += 1
        known = self._kept_by_address.get(Address(snapshot.address))
        if known is not None and _is_out_of_date(snapshot, known.snapshot):
            return
        self._keep(snapshot, now + KEPT_SECONDS)
        self._is_changed = True

    def answer(
        self, query: FlowSnapshotQuery, now: float
    ) -> FlowSnapshot | None:
        """Return the snapshot of an earlier run of an agent, or None."""
        self.evict_expired(now)
        known = self._kept_by_address.get(Address(query.address))
        if known is None or known.snapshot.boot == query.boot:
            return None
        self.counters.answered += 1
        return known.snapshot

    def evict_expired(self, now: float) -> None:
        """Remove expired snapshots, from the file as well."""
        for address, kept in tuple(self._kept_by_address.items()):
            if now >= kept.expires_at:
                self._remove(address)

    def tick(self, folder: Folder | None, now: float) -> None:
        """Read the file of a folder that was opened; write it when it is due.

        Parameters
        ----------
        folder : Folder or None
            Data folder of the instance; None without one.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        self.evict_expired(now)
        is_opened = folder is not self._folder
        self._folder = folder
        if folder is None:
            return
        if is_opened:
            self.load(folder, now)
        self.write_if_due(folder, now)

    def load(self, folder: Folder, now: float) -> None:
        """Read the snapshots that the last run has written.

        A snapshot that was received since the start is kept instead.
        """
        try:
            snapshots = _read(folder)
        except RedwingstreamError as error:
            # The file is optional: without it, callers detect a lost flow
            # with their next packet.
            self._log(SnapshotsFailed('read', str(error)))
            return
        for snapshot in snapshots:
            if Address(snapshot.address) not in self._kept_by_address:
                self._keep(snapshot, now + RECALLED_SECONDS)
        if snapshots:
            self._log(SnapshotsRecalled(len(snapshots)))

    def write_if_due(self, folder: Folder, now: float) -> None:
        """Write all snapshots when they have changed and a write is due."""
        if not self._is_changed or now < self._write_at:
            return
        records = [
            StoredRecord(*encode(kept.snapshot))
            for kept in self._kept_by_address.values()
        ]
        try:
            replace_durably(folder, FILE_NAME, pack_file(records))
        except RedwingstreamError as error:
            self._write_at = now + FAILED_WRITE_PAUSE
            self._log(SnapshotsFailed('write', str(error)))
            return
        self._is_changed = False
        self._write_at = now + WRITE_INTERVAL
        self.counters.written += 1

    def _keep(self, snapshot: FlowSnapshot, expires_at: float) -> None:
        address = Address(snapshot.address)
        self._remove(address)
        self._kept_by_address[address] = _Kept(snapshot, expires_at)
        self._size += len(snapshot.flows)
        while self._size > MAX_KEPT_BYTES:
            self._remove(next(iter(self._kept_by_address)))

    def _remove(self, address: Address) -> None:
        kept = self._kept_by_address.pop(address, None)
        if kept is not None:
            self._size -= len(kept.snapshot.flows)
            self._is_changed = True


def _is_out_of_date(snapshot: FlowSnapshot, known: FlowSnapshot) -> bool:
    """Whether a snapshot was delayed or duplicated by the network."""
    if snapshot.boot == known.boot:
        return snapshot.sequence <= known.sequence
    return snapshot.born < known.born


def _read(folder: Folder) -> list[FlowSnapshot]:
    file_bytes = folder.read(FILE_NAME)
    if not file_bytes:
        return []
    stored = scan_file(FILE_NAME, file_bytes).records
    found = [decode(record.kind, record.body) for record in stored]
    return [one for one in found if isinstance(one, FlowSnapshot)]
