"""An unchangeable copy of all tables at one revision."""

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
        Index of the last accepted entry that is contained.
    route_by_key, pool_by_name, zone_by_name, member_by_host, view_by_pool,
    generation_by_key
        The tables, each named by its key.

    See Also
    --------
    redwingstream.tables.messages.TablesUpdate : how a newer copy travels.
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
            A full copy, or the changes since a revision that this copy has
            reached.

        Returns
        -------
        Tables
            The newer copy; this one when the update is not newer or leaves a
            gap.

        Notes
        -----
        An older copy never replaces a newer one: updates reach a process in
        any order, and a late one must not bring a zone taken out back in.
        """
        if update.revision <= self.revision or update.since > self.revision:
            return self
        base = Tables() if update.since == 0 else self
        return base._merged(update)

    @property
    def generation(self) -> Generation | None:
        """Which whole configuration is in force; None before the first one."""
        return next(iter(self.generation_by_key.values()), None)

    def is_zone_out(self, zone: str) -> bool:
        """Whether operators have taken an availability zone out."""
        mark = self.zone_by_name.get(zone)
        return mark is not None and mark.out

    def as_update(self) -> TablesUpdate:
        """Return a full copy that can travel."""
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
        gone_by_table: dict[Table, set[str]] = {table: set() for table in Table}
        for name in update.removed:
            gone_by_table[name.table].add(name.key)
        return Tables(
            revision=update.revision,
            route_by_key=_overlay(
                self.route_by_key, gone_by_table[Table.ROUTE], update.routes
            ),
            pool_by_name=_overlay(
                self.pool_by_name, gone_by_table[Table.POOL], update.pools
            ),
            zone_by_name=_overlay(
                self.zone_by_name, gone_by_table[Table.ZONE], update.zones
            ),
            member_by_host=_overlay(
                self.member_by_host, gone_by_table[Table.MEMBER], update.members
            ),
            view_by_pool=_overlay(
                self.view_by_pool, gone_by_table[Table.VIEW], update.views
            ),
            generation_by_key=_overlay(
                self.generation_by_key,
                gone_by_table[Table.GENERATION],
                update.generations,
            ),
        )


def _overlay(
    base: Mapping[str, RowT], gone: set[str], rows: Iterable[RowT]
) -> Mapping[str, RowT]:
    merged = {key: row for key, row in base.items() if key not in gone}
    for row in rows:
        merged[row.key] = row
    return merged
