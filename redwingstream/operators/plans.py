"""Compares a file of tables with the current tables.

The file is TOML or JSON with lists ``pools``, ``routes`` and ``zones``.  A
table that the file names is replaced as a whole; a table that it omits is not
changed.
"""

import json
import pathlib
import tomllib
import types
from collections.abc import Iterable, Mapping
from typing import TypeVar

import attrs
import msgspec

from redwingstream.errors import ResultCode, SettingError
from redwingstream.operators.row_checks import describe_row, normalized_row
from redwingstream.tables.edits import (
    Edits,
    RemoveRow,
    SetPool,
    SetRoute,
    SetZone,
)
from redwingstream.tables.messages import (
    RowName,
    Table,
)
from redwingstream.tables.rows import Pool, Route, ZoneMark
from redwingstream.tables.snapshot import Tables

_CLASS_BY_TABLE = types.MappingProxyType(
    {'pools': Pool, 'routes': Route, 'zones': ZoneMark}
)

RowT = TypeVar('RowT', Pool, Route, ZoneMark)


@attrs.frozen
class TablesFile:
    """Tables as given in a file.

    Parameters
    ----------
    pools, routes, zones : tuple, optional
        All rows of the table; None if the file does not name the table.
    """

    pools: tuple[Pool, ...] | None = None
    routes: tuple[Route, ...] | None = None
    zones: tuple[ZoneMark, ...] | None = None


@attrs.frozen
class Difference:
    """One row that a plan changes.

    Parameters
    ----------
    sign : str
        ``+`` new, ``~`` changed, ``-`` removed.
    table : Table
        Table of the row.
    key : str
        Name of the row.
    before, after : str
        Description of the row; empty if there is no such row.
    """

    sign: str
    table: Table
    key: str
    before: str = ''
    after: str = ''


@attrs.frozen
class Plan:
    """Edits to send, and the same changes in a form to show.

    Parameters
    ----------
    edits : Edits
        Changes to send to the leader.
    differences : tuple of Difference
        The changed rows, for output.
    """

    edits: Edits
    differences: tuple[Difference, ...]


def read_tables_file(path: pathlib.Path) -> TablesFile:
    """Read a file of tables.

    Raises
    ------
    SettingError
        If the file cannot be read, or with code ``BAD_ROW`` if a row has an
        invalid or unknown field.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingError(
            f'file {str(path)!r} cannot be read: {error}; name a text file '
            'in TOML or JSON',
        ) from error
    try:
        return _parse(text, is_json=path.suffix == '.json')
    except (ValueError, TypeError, AttributeError) as error:
        raise SettingError(
            f'file {str(path)!r} does not state tables: {error}; allowed are '
            'lists pools (name, admits, buckets), routes (service, pool, '
            'callers) and zones (zone, out)',
            ResultCode.BAD_ROW,
        ) from error


def make_plan(current: Tables, wanted: TablesFile) -> Plan:
    """Return the changes that turn the current tables into those of a file."""
    pools = _compare(Table.POOL, current.pool_by_name, wanted.pools)
    routes = _compare(Table.ROUTE, current.route_by_key, wanted.routes)
    zones = _compare(Table.ZONE, current.zone_by_name, wanted.zones)
    removed = (*routes.removed, *pools.removed, *zones.removed)
    return Plan(
        Edits(
            set_pools=tuple(SetPool(row) for row in pools.changed),
            set_routes=tuple(SetRoute(row) for row in routes.changed),
            set_zones=tuple(SetZone(row) for row in zones.changed),
            remove=tuple(RemoveRow(name) for name in removed),
        ),
        (*pools.differences, *routes.differences, *zones.differences),
    )


@attrs.define
class _Comparison:
    """Changes of one table: rows to set, names to remove, and differences."""

    changed: list[Pool | Route | ZoneMark] = attrs.field(factory=list)
    removed: list[RowName] = attrs.field(factory=list)
    differences: list[Difference] = attrs.field(factory=list)


def _compare(
    table: Table,
    current: Mapping[str, RowT],
    wanted: Iterable[RowT] | None,
) -> _Comparison:
    comparison = _Comparison()
    if wanted is None:
        return comparison
    wanted_by_key = {row.key: row for row in wanted}
    for key, row in wanted_by_key.items():
        before = current.get(key)
        if before == row:
            continue
        comparison.changed.append(row)
        comparison.differences.append(_difference(table, key, before, row))
    # Sorted, because a change that is sent again under the same request id must
    # have the same edits; the order of a set differs between processes.
    for key in sorted(current.keys() - wanted_by_key.keys()):
        comparison.removed.append(RowName(table, key))
        comparison.differences.append(
            Difference('-', table, key, before=describe_row(current[key]))
        )
    return comparison


def _difference(
    table: Table, key: str, before: RowT | None, after: RowT
) -> Difference:
    if before is None:
        return Difference('+', table, key, after=describe_row(after))
    return Difference(
        '~', table, key, describe_row(before), describe_row(after)
    )


def _parse(text: str, *, is_json: bool) -> TablesFile:
    document = json.loads(text) if is_json else tomllib.loads(text)
    _check_names(document)
    read = msgspec.convert(document, TablesFile)
    return TablesFile(
        _normalized_rows(read.pools),
        _normalized_rows(read.routes),
        _normalized_rows(read.zones),
    )


def _normalized_rows(rows: tuple[RowT, ...] | None) -> tuple[RowT, ...] | None:
    return None if rows is None else tuple(map(normalized_row, rows))


def _check_names(document: Mapping[str, list[Mapping[str, object]]]) -> None:
    """Reject unknown names; otherwise a misspelt one would be ignored."""
    _reject_unknown('table', document, _CLASS_BY_TABLE)
    for table, rows in document.items():
        fields = attrs.fields_dict(_CLASS_BY_TABLE[table])
        for row in rows:
            _reject_unknown(f'field in {table}', row, fields)


def _reject_unknown(
    kind: str, names: Iterable[str], allowed: Iterable[str]
) -> None:
    unknown = sorted(set(names) - set(allowed))
    if unknown:
        raise ValueError(f'unknown {kind}: {unknown}')
