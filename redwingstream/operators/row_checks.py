"""Validates rows before they are sent, and normalizes their addresses.

The control instances validate rows again.  Validation in the tool allows an
error message that quotes what the operator wrote.
"""

import ipaddress

from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import ResultCode, SettingError
from redwingstream.tables.rows import (
    MAX_BUCKETS,
    Pool,
    Route,
    ZoneMark,
    is_bucket_count,
)

Row = Pool | Route | ZoneMark


def describe_row(row: Row) -> str:
    """Return a short description of a row, without its name."""
    match row:
        case Pool():
            admits = ','.join(row.admits)
            return f'admits {admits}, {row.buckets} buckets'
        case Route():
            return f'to pool {row.pool}'
        case ZoneMark():
            return 'out' if row.out else 'in'


def normalized_row(row: Row) -> Row:
    """Validate a row and return it with its addresses in canonical form.

    Raises
    ------
    SettingError
        With code ``BAD_ROW``, if a value is not allowed.  The message names
        the value and the allowed values.
    """
    match row:
        case Pool():
            return _normalized_pool(row)
        case Route():
            return _normalized_route(row)
        case ZoneMark():
            _require_name('zone', row.zone)
            return row


def _normalized_pool(pool: Pool) -> Pool:
    _require_name('pool', pool.name)
    if not is_bucket_count(pool.buckets):
        raise _bad_row_error(
            f'pool {pool.name!r} has {pool.buckets} buckets; allowed: a power '
            f'of two from 1 to {MAX_BUCKETS}',
        )
    return pool


def _normalized_route(route: Route) -> Route:
    _require_name('pool', route.pool)
    try:
        network = ipaddress.ip_network(route.callers)
    except ValueError as error:
        raise _bad_row_error(
            f'route of {route.service} has callers {route.callers!r}; '
            f'allowed: a network such as 10.0.0.0/8 ({error})',
        ) from error
    service = _normalized_service(route)
    return Route(str(service), route.pool, str(network))


def _normalized_service(route: Route) -> str:
    try:
        return str(parse_endpoint(route.service))
    except SettingError as error:
        raise _bad_row_error(
            f'route to pool {route.pool!r} has service {route.service!r}; '
            f'allowed: IP:PORT ({error})',
        ) from error


def _require_name(kind: str, name: str) -> None:
    if not name.strip():
        raise _bad_row_error(f'a {kind} has an empty name; give it one')


def _bad_row_error(text: str) -> SettingError:
    return SettingError(text, ResultCode.BAD_ROW)
