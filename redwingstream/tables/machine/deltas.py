"""What changed since a recent revision."""

from collections import deque

import attrs

from redwingstream.tables.machine.state import MachineState
from redwingstream.tables.messages import RowName, Table, TablesUpdate

MAX_STEPS = 1024


@attrs.frozen
class _Step:
    revision: int
    touched: tuple[RowName, ...]


class Deltas:
    """Names of the rows that each of the last revisions changed.

    Parameters
    ----------
    start : int
        Revision from which on changes are known.

    Notes
    -----
    Not part of the replicated state: a replica that has loaded a snapshot
    answers with full copies until it has seen changes itself.
    """

    def __init__(self, start: int) -> None:
        self._start = start
        self._steps: deque[_Step] = deque()

    def note(self, revision: int, touched: list[RowName]) -> None:
        """Remember what a revision changed, and forget the oldest."""
        self._steps.append(_Step(revision, tuple(touched)))
        if len(self._steps) > MAX_STEPS:
            self._start = self._steps.popleft().revision

    def since(self, state: MachineState, revision: int) -> TablesUpdate:
        """Return the changes after a revision, or a full copy.

        Parameters
        ----------
        state : MachineState
            The state now.
        revision : int
            What the asking process has; 0, or one too old, gets a full copy.
        """
        if revision > state.revision:
            return TablesUpdate(since=state.revision, revision=state.revision)
        if revision == 0 or revision < self._start:
            return state.tables().as_update()
        names = {
            name
            for step in self._steps
            if step.revision > revision
            for name in step.touched
        }
        return _update_of(state, revision, sorted(names, key=_sort_key))


def _sort_key(name: RowName) -> str:
    return f'{name.table.value} {name.key}'


def _update_of(
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
