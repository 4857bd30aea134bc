"""The agents as one control instance has heard them."""

import itertools
import math
from collections import OrderedDict
from collections.abc import Iterator

import attrs

from redwingstream.directory.messages import AgentRecord, HeardRecord

SILENT_AFTER = 1.6
"""Minimum time in seconds without a record after which an agent counts as
silent."""

MAX_MISSED_RECORDS = 4
"""Number of requested pauses without a record after which an agent counts as
silent.  The pause that an agent is told is 0.4 s or longer."""

EVICT_AFTER = 90
"""Seconds after its last record at which a silent agent is evicted.  No flow
that it carried is older than a minute."""

MAX_AGENTS = 20000
"""Maximum number of agents that are kept; the largest deployment to design for
has 15,000."""

MAX_RECORDS = 200
"""Maximum number of records in one answer, so that it fits a datagram; the
next answer continues with the rest."""


@attrs.define
class _Entry:
    """Last record of an agent, and the number of the change that stored it."""

    record: AgentRecord
    heard_at: float
    changed_at: int
    is_silent: bool = False


@attrs.frozen
class Page:
    """Records that changed after a cursor, and the cursor of the next page.

    Parameters
    ----------
    records : tuple of HeardRecord
        Changed records, oldest change first.
    cursor : int
        Number of the last change that the page covers.
    """

    records: tuple[HeardRecord, ...]
    cursor: int


class AgentDirectory:
    """The agents that one control instance has heard.

    Attributes
    ----------
    silent_after : float
        Seconds without a record after which an agent counts as silent.

    Notes
    -----
    Entries are ordered by their last change, so that the newest changes are
    found without a scan of the others: the cost of an answer depends on the
    number of changes, not on that of the agents, of which there may be 15,000.
    """

    def __init__(self) -> None:
        self._entry_by_address: OrderedDict[int, _Entry] = OrderedDict()
        self._change_count = 0
        self.silent_after: float = SILENT_AFTER

    def __len__(self) -> int:
        """Return the number of agents that are kept."""
        return len(self._entry_by_address)

    def handle_record(self, record: AgentRecord, now: float) -> bool:
        """Store an agent's record; return whether it changed anything.

        A record that differs from the stored one only in its sequence number
        is no change, unless the agent was silent.

        Parameters
        ----------
        record : AgentRecord
            Record that the agent sent.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        entry = self._entry_by_address.get(record.address)
        if entry is None:
            if len(self._entry_by_address) >= MAX_AGENTS:
                return False
            self._record_change(_Entry(record, now, 0))
            return True
        if _is_outdated(record, entry.record):
            return False
        entry.heard_at = now
        changed = entry.is_silent or _differs(record, entry.record)
        entry.record = record
        entry.is_silent = False
        if changed:
            self._record_change(entry)
        return changed

    def mark_silent(self, now: float) -> list[AgentRecord]:
        """Mark agents as silent that are no longer heard; evict expired ones.

        Returns
        -------
        list of AgentRecord
            Last records of the agents that have become silent.
        """
        silent = [
            entry
            for entry in self._entry_by_address.values()
            if not entry.is_silent and now - entry.heard_at > self.silent_after
        ]
        for newly_silent in silent:
            newly_silent.is_silent = True
            self._record_change(newly_silent)
        self._evict_expired(now)
        return [entry.record for entry in silent]

    def changes_since(self, cursor: int, pool: str, now: float) -> Page:
        """Return one page of the changes after a cursor, oldest first.

        Parameters
        ----------
        cursor : int
            Number of the last change that the process has read; 0 for all.
        pool : str
            The only pool whose agents are returned; empty for all.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        changed = list(self._changed_after(cursor))
        changed.reverse()
        page = changed[:MAX_RECORDS]
        end = (
            page[-1].changed_at
            if len(page) < len(changed)
            else self._change_count
        )
        wanted = [entry for entry in page if pool in {'', entry.record.pool}]
        records = tuple(_heard_record(entry, now) for entry in wanted)
        return Page(records, end)

    def _changed_after(self, cursor: int) -> Iterator[_Entry]:
        return itertools.takewhile(
            lambda entry: entry.changed_at > cursor,
            reversed(self._entry_by_address.values()),
        )

    def _record_change(self, entry: _Entry) -> None:
        self._change_count += 1
        entry.changed_at = self._change_count
        self._entry_by_address[entry.record.address] = entry
        self._entry_by_address.move_to_end(entry.record.address)

    def _evict_expired(self, now: float) -> None:
        expired = [
            address
            for address, entry in self._entry_by_address.items()
            if entry.is_silent
            and now - entry.heard_at > _retention(entry.record)
        ]
        for address in expired:
            self._entry_by_address.pop(address)


def _heard_record(entry: _Entry, now: float) -> HeardRecord:
    return HeardRecord(entry.record, now - entry.heard_at, entry.is_silent)


def _retention(record: AgentRecord) -> float:
    if record.readiness.is_gone:
        return math.ceil(SILENT_AFTER)
    return EVICT_AFTER


def _is_outdated(record: AgentRecord, known: AgentRecord) -> bool:
    return record.boot == known.boot and record.sequence <= known.sequence


def _differs(record: AgentRecord, known: AgentRecord) -> bool:
    return attrs.evolve(record, sequence=known.sequence) != known
