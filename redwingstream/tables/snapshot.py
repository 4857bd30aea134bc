"""Immutable copy of all tables at one revision."""

from collections.abc import Iterable, Mapping
from typing import TypeVar

import attrs

from redwingstream.tables.messages import Table, TablesUpdate
from redwingstream.tables.rows import (
    Generation,
    Member,
    Pool,
    PoolView,
    Route,
    ZoneMark,
)

RowT = TypeVar('RowT', Route, Pool, ZoneMark, Member, PoolView, Generation)


@attrs.frozen
class Tables:
    """All tables at one revision.

    Parameters
    ----------
    revision : int
        Index of the last log entry whose changes the tables contain.
    route_by_key, pool_by_name, zone_by_name, member_by_host, view_by_pool,
    generation_by_key
        Rows of each table by their keys.

    See Also
    --------
    redwingstream.tables.messages.TablesUpdate : message with a newer copy.
    """

    revision: int = 0
    route_by_key: Mapping[str, Route] = attrs.field(factory=dict)
    pool_by_name: Mapping[str, Pool] = attrs.field(factory=dict)
    zone_by_name: Mapping[str, ZoneMark] = attrs.field(factory=dict)
    member_by_host: Mapping[str, Member] = attrs.field(factory=dict)
    view_by_pool: Mapping[str, PoolView] = attrs.field(factory=dict)
    generation_by_key: Mapping[str, Generation] = attrs.field(factory=dict)

    def updated(self, update: TablesUpdate) -> 'Tables':
        """Return the tables after an update.

        Parameters
        ----------
        update : TablesUpdate
            A full copy, or the changes since the revision of this copy or an
            earlier one.

        Returns
        -------
        Tables
            The newer copy; this object if the update is not newer or starts
            from a later revision.

        Notes
        -----
        An older copy never replaces a newer one: updates arrive in any order,
        and a delayed one must not put a zone back into service that operators
        have taken out since.
        """
        if update.revision <= self.revision or update.since > self.revision:
            return self
        base = Tables() if update.since == 0 else self
        return base._merged(update)

    @property
    def generation(self) -> Generation | None:
        """Current version of the configuration; None before the first one."""
        return next(iter(self.generation_by_key.values()), None)

    def is_zone_out(self, zone: str) -> bool:
        """Whether operators have taken a zone out of service."""
        mark = self.zone_by_name.get(zone)
        return mark is not None and mark.out

    def as_update(self) -> TablesUpdate:
        """Return a full copy as a message."""
        return TablesUpdate(
            since=0,
            revision=self.revision,
            routes=tuple(self.route_by_key.values()),
            pools=tuple(self.pool_by_name.values()),
            zones=tuple(self.zone_by_name.values()),
            members=tuple(self.member_by_host.values()),
            views=tuple(self.view_by_pool.values()),
            generations=tuple(self.generation_by_key.values()),
        )

    def _merged(self, update: TablesUpdate) -> 'Tables':
        removed_by_table: dict[Table, set[str]] = {
            table: set() for table in Table
        }
        for name in update.removed:
            removed_by_table[name.table].add(name.key)
        return Tables(
            revision=update.revision,
            route_by_key=_merge_rows(
                self.route_by_key, removed_by_table[Table.ROUTE], update.routes
            ),
            pool_by_name=_merge_rows(
                self.pool_by_name, removed_by_table[Table.POOL], update.pools
            ),
            zone_by_name=_merge_rows(
                self.zone_by_name, removed_by_table[Table.ZONE], update.zones
            ),
            member_by_host=_merge_rows(
                self.member_by_host,
                removed_by_table[Table.MEMBER],
                update.members,
            ),
            view_by_pool=_merge_rows(
                self.view_by_pool, removed_by_table[Table.VIEW], update.views
            ),
            generation_by_key=_merge_rows(
                self.generation_by_key,
                removed_by_table[Table.GENERATION],
                update.generations,
            ),
        )


def _merge_rows(
    base: Mapping[str, RowT], removed: set[str], rows: Iterable[RowT]
) -> Mapping[str, RowT]:
    merged = {key: row for key, row in base.items() if key not in removed}
    for row in rows:
        merged[row.key] = row
    return merged
