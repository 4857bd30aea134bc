"""Rows that recent revisions changed."""

from collections import deque

import attrs

from redwingstream.tables.machine.state import MachineState
from redwingstream.tables.messages import RowName, Table, TablesUpdate

# Maximum number of revisions whose changed rows are kept.
MAX_KEPT_REVISIONS = 1024


@attrs.frozen
class _RevisionChange:
    revision: int
    changed_rows: tuple[RowName, ...]


class RecentChanges:
    """Names of the rows that each of the last revisions changed.

    Parameters
    ----------
    start : int
        Revision after which changes are known.

    Notes
    -----
    This is not part of the replicated state: a replica that has loaded a
    snapshot answers requests for earlier revisions with full copies.
    """

    def __init__(self, start: int) -> None:
        self._start = start
        self._changes: deque[_RevisionChange] = deque()

    def record_revision(
        self, revision: int, changed_rows: list[RowName]
    ) -> None:
        """Record the rows that a revision changed; evict the oldest."""
        self._changes.append(_RevisionChange(revision, tuple(changed_rows)))
        if len(self._changes) > MAX_KEPT_REVISIONS:
            self._start = self._changes.popleft().revision

    def update_since(self, state: MachineState, revision: int) -> TablesUpdate:
        """Return the changes after a revision, or a full copy.

        Parameters
        ----------
        state : MachineState
            Current state.
        revision : int
            Revision of the requesting process; 0, or one that is no longer
            covered, gets a full copy.
        """
        if revision > state.revision:
            return TablesUpdate(since=state.revision, revision=state.revision)
        if revision == 0 or revision < self._start:
            return state.tables().as_update()
        names = {
            name
            for change in self._changes
            if change.revision > revision
            for name in change.changed_rows
        }
        return _make_update(state, revision, sorted(names, key=_sort_key))


def _sort_key(name: RowName) -> str:
    return f'{name.table.value} {name.key}'


def _make_update(
    state: MachineState, since: int, names: list[RowName]
) -> TablesUpdate:
    present = [name for name in names if name.key in state.rows_of(name.table)]
    removed = [
        name for name in names if name.key not in state.rows_of(name.table)
    ]

    def rows(table: Table) -> tuple[object, ...]:
        rows_by_key = state.rows_of(table)
        return tuple(
            rows_by_key[name.key] for name in present if name.table is table
        )

    return TablesUpdate(
        since=since,
        revision=state.revision,
        routes=rows(Table.ROUTE),
        pools=rows(Table.POOL),
        zones=rows(Table.ZONE),
        members=rows(Table.MEMBER),
        views=rows(Table.VIEW),
        generations=rows(Table.GENERATION),
        removed=tuple(removed),
    )
