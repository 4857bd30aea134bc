"""The tables of a process that follows, with its latest updates kept."""

from collections import deque
from collections.abc import Iterable
from typing import Any

from redwingstream.tables.messages import RowName, Table, TablesUpdate
from redwingstream.tables.rows import Row
from redwingstream.tables.snapshot import Tables

# Latest updates that a process keeps for its peers.
KEPT_UPDATES = 256


class TablesHistory:
    """Tables of one process and the updates that led to them.

    The updates let it pass on to a peer just what the peer is missing.

    Notes
    -----
    At most ``KEPT_UPDATES`` updates are kept; a peer that is further behind
    gets a full copy.
    """

    def __init__(self) -> None:
        self.tables = Tables()
        self._updates: deque[TablesUpdate] = deque(maxlen=KEPT_UPDATES)

    def apply_update(self, update: TablesUpdate) -> bool:
        """Apply an update; return whether it brought anything newer."""
        newer = self.tables.updated(update)
        if newer is self.tables:
            return False
        if update.since == 0:
            self._updates.clear()
        else:
            self._updates.append(update)
        self.tables = newer
        return True

    def update_since(self, revision: int) -> TablesUpdate:
        """Return what changed after a revision, or a full copy."""
        wanted = [
            update for update in self._updates if update.revision > revision
        ]
        own = self.tables.revision
        if revision >= own:
            return TablesUpdate(since=own, revision=own)
        if revision == 0 or not wanted or wanted[0].since > revision:
            return self.tables.as_update()
        return compose(revision, wanted)


def compose(since: int, updates: Iterable[TablesUpdate]) -> TablesUpdate:
    """Return one update with the effect of several in a row.

    Parameters
    ----------
    since : int
        Revision that the result starts from.
    updates : iterable of TablesUpdate
        In order and without gaps.

    Returns
    -------
    TablesUpdate
        The last word on each row.
    """
    row_by_name: dict[RowName, Row | None] = {}
    revision = since
    for update in updates:
        revision = update.revision
        row_by_name.update(_rows_of(update))
    return TablesUpdate(
        since=since,
        revision=revision,
        routes=_present(row_by_name, Table.ROUTE),
        pools=_present(row_by_name, Table.POOL),
        zones=_present(row_by_name, Table.ZONE),
        members=_present(row_by_name, Table.MEMBER),
        views=_present(row_by_name, Table.VIEW),
        generations=_present(row_by_name, Table.GENERATION),
        removed=tuple(name for name, row in row_by_name.items() if row is None),
    )


def _rows_of(update: TablesUpdate) -> dict[RowName, Row | None]:
    """Return the rows of an update by name; None for a row that is gone."""
    rows_by_table = {
        Table.ROUTE: update.routes,
        Table.POOL: update.pools,
        Table.ZONE: update.zones,
        Table.MEMBER: update.members,
        Table.VIEW: update.views,
        Table.GENERATION: update.generations,
    }
    row_by_name: dict[RowName, Row | None] = dict.fromkeys(update.removed)
    for table, rows in rows_by_table.items():
        row_by_name.update({RowName(table, row.key): row for row in rows})
    return row_by_name


def _present(
    row_by_name: dict[RowName, Row | None], table: Table
) -> tuple[Any, ...]:
    return tuple(
        row
        for name, row in row_by_name.items()
        if name.table is table and row is not None
    )
