"""A control instance's record of the agents that it hears."""

import itertools
import math
from collections import OrderedDict
from collections.abc import Iterator

import attrs

from redwingstream.directory.messages import AgentRecord, HeardRecord

SILENT_AFTER = 1.6
"""Least time in seconds after which an agent counts as silent."""

MISSED = 4
"""Times that an agent may leave out: it speaks to each control instance again
after a pause that it is told, 0.4 s and more."""

FORGOTTEN_AFTER = 90
"""Seconds after which a silent agent is forgotten: no flow that it carried is
older than a minute."""

MAX_AGENTS = 20000
"""Agents that are remembered; the size to design for has 15,000."""

MAX_RECORDS = 200
"""Records in one answer, so that it fits a datagram; the rest follows with the
next one."""


@attrs.define
class _Line:
    record: AgentRecord
    heard_at: float
    changed_at: int
    is_silent: bool = False


@attrs.frozen
class Page:
    """What has changed since a cursor, and the cursor after it."""

    records: tuple[HeardRecord, ...]
    cursor: int


class AgentBook:
    """What one control instance knows of the agents.

    Notes
    -----
    Lines are kept in the order of their last change, so that the newest are
    found without a look at the others: at 15,000 agents an answer costs what
    has changed.
    """

    def __init__(self) -> None:
        self._line_by_address: OrderedDict[int, _Line] = OrderedDict()
        self._changes = 0
        self.silent_after: float = SILENT_AFTER

    def __len__(self) -> int:
        """Return the number of agents that are remembered."""
        return len(self._line_by_address)

    def hear(self, record: AgentRecord, now: float) -> bool:
        """Take what an agent says; return whether it changed anything."""
        line = self._line_by_address.get(record.address)
        if line is None:
            if len(self._line_by_address) >= MAX_AGENTS:
                return False
            self._note(_Line(record, now, 0))
            return True
        if _is_late(record, line.record):
            return False
        line.heard_at = now
        changed = line.is_silent or _differs(record, line.record)
        line.record = record
        line.is_silent = False
        if changed:
            self._note(line)
        return changed

    def notice_silence(self, now: float) -> list[AgentRecord]:
        """Mark agents that are not heard any more; return the new ones."""
        silent = [
            line
            for line in self._line_by_address.values()
            if not line.is_silent and now - line.heard_at > self.silent_after
        ]
        for lost in silent:
            lost.is_silent = True
            self._note(lost)
        self._forget(now)
        return [line.record for line in silent]

    def since(self, cursor: int, pool: str, now: float) -> Page:
        """Return what has changed after a cursor, oldest change first."""
        changed = list(self._changed_after(cursor))
        changed.reverse()
        page = changed[:MAX_RECORDS]
        end = page[-1].changed_at if len(page) < len(changed) else self._changes
        wanted = [line for line in page if pool in {'', line.record.pool}]
        records = tuple(_heard_record(line, now) for line in wanted)
        return Page(records, end)

    def _changed_after(self, cursor: int) -> Iterator[_Line]:
        return itertools.takewhile(
            lambda line: line.changed_at > cursor,
            reversed(self._line_by_address.values()),
        )

    def _note(self, line: _Line) -> None:
        self._changes += 1
        line.changed_at = self._changes
        self._line_by_address[line.record.address] = line
        self._line_by_address.move_to_end(line.record.address)

    def _forget(self, now: float) -> None:
        forgotten = [
            address
            for address, line in self._line_by_address.items()
            if line.is_silent and now - line.heard_at > _lifetime(line.record)
        ]
        for address in forgotten:
            self._line_by_address.pop(address)


def _heard_record(line: _Line, now: float) -> HeardRecord:
    return HeardRecord(line.record, now - line.heard_at, line.is_silent)


def _lifetime(record: AgentRecord) -> float:
    if record.readiness.is_gone:
        return math.ceil(SILENT_AFTER)
    return FORGOTTEN_AFTER


def _is_late(record: AgentRecord, known: AgentRecord) -> bool:
    return record.boot == known.boot and record.sequence <= known.sequence


def _differs(record: AgentRecord, known: AgentRecord) -> bool:
    return attrs.evolve(record, sequence=known.sequence) != known
