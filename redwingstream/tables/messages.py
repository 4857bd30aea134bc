"""Messages by which processes fetch tables.

Messages of operators are in :mod:`redwingstream.tables.edits`, which followers
of the tables (balancers and agents) do not import: each message class adds
half a millisecond to the start of a process.
"""

import enum

import attrs

from redwingstream.tables.rows import (
    Generation,
    Member,
    Pool,
    PoolView,
    Route,
    ZoneMark,
)
from redwingstream.wire.messages import message


class Table(enum.StrEnum):
    """Names of the tables."""

    ROUTE = 'route'
    POOL = 'pool'
    ZONE = 'zone'
    MEMBER = 'member'
    VIEW = 'view'
    GENERATION = 'generation'


@attrs.frozen
class RowName:
    """Table and key of a row."""

    table: Table
    key: str


@message(kind=16)
class FetchTables:
    """Ask a process for the changes after a revision.

    Parameters
    ----------
    since : int
        Revision of the sender's tables; 0 if it has none.
    """

    since: int


@message(kind=17)
class TablesUpdate:
    """Changes between two revisions, or a full copy of the tables.

    Parameters
    ----------
    since : int
        Revision to which the changes apply; 0 for a full copy.
    revision : int
        Revision after the changes.
    routes, pools, zones, members, views, generations
        Rows that are new or changed.
    removed : tuple of RowName
        Names of the rows that were removed; empty in a full copy.
    """

    since: int
    revision: int
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    zones: tuple[ZoneMark, ...] = ()
    members: tuple[Member, ...] = ()
    views: tuple[PoolView, ...] = ()
    removed: tuple[RowName, ...] = ()
    generations: tuple[Generation, ...] = ()
