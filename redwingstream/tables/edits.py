"""Messages by which operators change and read the tables."""

import attrs

from redwingstream.tables.messages import RowName, TablesUpdate
from redwingstream.tables.rows import Pool, Route, ZoneMark
from redwingstream.wire.messages import message


@attrs.frozen
class SetRoute:
    """Add a route, or replace the one with the same key."""

    row: Route


@attrs.frozen
class SetPool:
    """Add a pool, or replace the one with the same name."""

    row: Pool


@attrs.frozen
class SetZone:
    """Mark an availability zone out of service or back in."""

    row: ZoneMark


@attrs.frozen
class RemoveRow:
    """Remove a route, a pool or a zone mark."""

    row: RowName


@attrs.frozen
class DrainMember:
    """Drain a host, in its current and later runs, or cancel that."""

    host: str
    draining: bool


Edit = SetRoute | SetPool | SetZone | RemoveRow | DrainMember


@attrs.frozen
class Edits:
    """Edits of one change, grouped by class, as the codec requires.

    They take effect together, in the order of the fields.
    """

    set_pools: tuple[SetPool, ...] = ()
    set_routes: tuple[SetRoute, ...] = ()
    set_zones: tuple[SetZone, ...] = ()
    remove: tuple[RemoveRow, ...] = ()
    drain: tuple[DrainMember, ...] = ()

    def in_order(self) -> tuple[Edit, ...]:
        """Return all edits in the order in which they take effect."""
        return (
            *self.set_pools,
            *self.set_routes,
            *self.set_zones,
            *self.remove,
            *self.drain,
        )


@message(kind=18)
class ChangeRequest:
    """Change of the tables by an operator.

    Parameters
    ----------
    request_id : str
        Chosen by the operator's tool; a retry has the same one and gets the
        first answer.
    based_on : int
        Configuration revision that the operator read before the change.
    edits : Edits
        Edits to apply.
    force : bool
        Also accept a change that empties a pool in use or refers to a missing
        pool.
    """

    request_id: str
    based_on: int
    edits: Edits
    force: bool = False


@message(kind=19)
class ChangeAnswer:
    """Answer to a change.

    Parameters
    ----------
    code : int
        ``OK`` if the change was accepted, otherwise the code of the refusal.
    text : str
        Reason of the refusal; empty if accepted.
    revision : int
        Configuration revision of the accepted change, or the current one if
        it was refused.
    warnings : tuple of str
        Harmful effects of a forced change.
    """

    code: int
    text: str
    revision: int
    warnings: tuple[str, ...] = ()


@message(kind=20)
class ReadTables:
    """Ask the leader for the current tables (a linearizable read)."""


@message(kind=21)
class TablesRead:
    """Answer to :class:`ReadTables`.

    Parameters
    ----------
    config_revision : int
        Revision of the last change by operators that was accepted; the next
        change has to be based on it.
    update : TablesUpdate
        Full copy of the tables.
    """

    config_revision: int
    update: TablesUpdate
