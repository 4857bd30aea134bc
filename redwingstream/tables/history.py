"""Tables of a follower, with the latest updates that led to them."""

from collections import deque
from collections.abc import Iterable
from typing import Any

from redwingstream.tables.messages import RowName, Table, TablesUpdate
from redwingstream.tables.rows import Row
from redwingstream.tables.snapshot import Tables

# Maximum number of updates that a process keeps for its peers.
MAX_KEPT_UPDATES = 256


class TablesHistory:
    """Tables of one process and the latest updates that led to them.

    The updates let the process send a peer only the changes that it lacks.

    Attributes
    ----------
    tables : Tables
        Newest tables received so far.

    Notes
    -----
    At most ``MAX_KEPT_UPDATES`` updates are kept; a peer that is further
    behind gets a full copy of the tables.
    """

    def __init__(self) -> None:
        self.tables = Tables()
        self._updates: deque[TablesUpdate] = deque(maxlen=MAX_KEPT_UPDATES)

    def apply_update(self, update: TablesUpdate) -> bool:
        """Apply an update; return whether it is newer than the tables."""
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
        """Return the changes after a revision, or a full copy."""
        wanted = [
            update for update in self._updates if update.revision > revision
        ]
        own = self.tables.revision
        if revision >= own:
            return TablesUpdate(since=own, revision=own)
        if revision == 0 or not wanted or wanted[0].since > revision:
            return self.tables.as_update()
        return merge_updates(revision, wanted)


def merge_updates(since: int, updates: Iterable[TablesUpdate]) -> TablesUpdate:
    """Return one update with the effect of several consecutive ones.

    Parameters
    ----------
    since : int
        Revision to which the result applies.
    updates : iterable of TablesUpdate
        Updates in order and without gaps.

    Returns
    -------
    TablesUpdate
        The newest version of each row.
    """
    row_by_name: dict[RowName, Row | None] = {}
    revision = since
    for update in updates:
        revision = update.revision
        row_by_name.update(_rows_by_name(update))
    return TablesUpdate(
        since=since,
        revision=revision,
        routes=_present_rows(row_by_name, Table.ROUTE),
        pools=_present_rows(row_by_name, Table.POOL),
        zones=_present_rows(row_by_name, Table.ZONE),
        members=_present_rows(row_by_name, Table.MEMBER),
        views=_present_rows(row_by_name, Table.VIEW),
        generations=_present_rows(row_by_name, Table.GENERATION),
        removed=tuple(name for name, row in row_by_name.items() if row is None),
    )


def _rows_by_name(update: TablesUpdate) -> dict[RowName, Row | None]:
    """Return the rows of an update by name; None for a removed row."""
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


def _present_rows(
    row_by_name: dict[RowName, Row | None], table: Table
) -> tuple[Any, ...]:
    return tuple(
        row
        for name, row in row_by_name.items()
        if name.table is table and row is not None
    )
