"""The log entries that a replica holds in memory, and its snapshot."""

from collections.abc import Iterable

import attrs

from redwingstream.consensus.messages import (
    Entry,
    JoinReplica,
    NoOperation,
    ReadmitReplica,
    Snapshot,
    Voter,
)
from redwingstream.wire import messages

READMIT_KIND = messages.encode(ReadmitReplica(Voter('', 0)))[0]
JOIN_KIND = messages.encode(JoinReplica(ReadmitReplica(Voter('', 0))))[0]
_GROUP_KINDS = frozenset((JOIN_KIND, READMIT_KIND))
NO_OPERATION_KIND, NO_OPERATION_BODY = messages.encode(NoOperation())

Group = tuple[Voter, ...]


@attrs.frozen
class _GroupChange:
    """An entry that changes the groups that have to agree.

    Parameters
    ----------
    index : int
        Index of the entry.
    group : tuple of Voter
        Voters from then on.
    joining : ReadmitReplica or None
        The change that is in progress from then on.
    """

    index: int
    group: Group
    joining: ReadmitReplica | None = None


@attrs.define
class Log:
    """A snapshot and the entries that follow the base index.

    Parameters
    ----------
    snapshot : Snapshot or None
        None for a replica that knows no group yet.
    entries : list of Entry
        Entries without gaps, from ``base_index + 1`` on.
    base_index, base_term : int
        Index and term of the entry before the first one held.  The base may
        be below the snapshot, so that a replica that is slightly behind still
        gets entries.
    """

    snapshot: Snapshot | None = None
    entries: list[Entry] = attrs.field(factory=list)
    base_index: int = 0
    base_term: int = 0
    _changes: list[_GroupChange] = attrs.field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        """Record the changes of the group among the entries."""
        for entry in self.entries:
            self._record_group_change(entry)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry in the snapshot; 0 without one."""
        return 0 if self.snapshot is None else self.snapshot.index

    @property
    def group(self) -> Group:
        """Voters, by the last entry that changes them.

        Notes
        -----
        An entry takes effect as soon as it is in the log, committed or not.
        """
        if self._changes:
            return self._changes[-1].group
        return () if self.snapshot is None else self.snapshot.group

    @property
    def joining(self) -> ReadmitReplica | None:
        """Change of the group that is in progress, or None.

        Notes
        -----
        During a change both the group before it and the one after it have to
        agree; see :mod:`redwingstream.consensus.quorum`.
        """
        return self._changes[-1].joining if self._changes else None

    def has_group_change_after(self, index: int) -> bool:
        """Whether an entry above an index changes the group."""
        return bool(self._changes) and self._changes[-1].index > index

    def is_joining_at(self, index: int) -> bool:
        """Whether a change of the group was in progress after an entry."""
        before = [change for change in self._changes if change.index <= index]
        return bool(before) and before[-1].joining is not None

    def group_at(self, index: int) -> Group:
        """Voters after an entry."""
        group = () if self.snapshot is None else self.snapshot.group
        for change in self._changes:
            if change.index <= index:
                group = change.group
        return group

    def term_at(self, index: int) -> int | None:
        """Term of an entry; None when it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entries_from(self, index: int) -> list[Entry]:
        """Return the entries from an index on."""
        return self.entries[index - self.base_index - 1 :]

    def append(self, fresh: Iterable[Entry]) -> None:
        """Append entries; the first one replaces all from its index on."""
        for entry in fresh:
            if entry.index <= self.last_index:
                self._truncate(entry.index)
            self.entries.append(entry)
            self._record_group_change(entry)

    def compact(self, snapshot: Snapshot, kept_entries: int) -> None:
        """Set a snapshot of the own state, and keep some entries below it."""
        base_index = max(self.base_index, snapshot.index - kept_entries)
        base_term = self.term_at(base_index) or 0
        self.entries = self.entries[base_index - self.base_index :]
        self.base_index = base_index
        self.base_term = base_term
        self.snapshot = snapshot
        self._changes = [
            change for change in self._changes if change.index > snapshot.index
        ]

    def install(self, snapshot: Snapshot) -> None:
        """Set a leader's snapshot; entries that follow it are kept."""
        follows = self.term_at(snapshot.index) == snapshot.term
        rest = self.entries_from(snapshot.index + 1) if follows else []
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries = rest
        self._changes = []
        for entry in rest:
            self._record_group_change(entry)

    def _truncate(self, index: int) -> None:
        self.entries = self.entries[: index - self.base_index - 1]
        while self._changes and self._changes[-1].index >= index:
            self._changes.pop()

    def _record_group_change(self, entry: Entry) -> None:
        if entry.kind not in _GROUP_KINDS or entry.index <= self.snapshot_index:
            return
        change = messages.decode(entry.kind, entry.body)
        match change:
            case JoinReplica(change=joining):
                recorded = _GroupChange(entry.index, self.group, joining)
            case _:
                recorded = _GroupChange(
                    entry.index, apply_group_change(self.group, change)
                )
        self._changes.append(recorded)


def apply_group_change(group: Group, change: ReadmitReplica) -> Group:
    """Return the group after a change."""
    replaced = {change.voter.name, change.instead_of}
    others = (voter for voter in group if voter.name not in replaced)
    return tuple(sorted((*others, change.voter), key=_name_of))


def _name_of(voter: Voter) -> str:
    return voter.name
