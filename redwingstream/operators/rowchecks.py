"""Checks rows before they are sent, and writes addresses in one form.

Control checks them again; here the message can name what the operator wrote.
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
    """Return a row in words, without its name."""
    match row:
        case Pool():
            admits = ','.join(row.admits)
            return f'admits {admits}, {row.buckets} buckets'
        case Route():
            return f'to pool {row.pool}'
        case ZoneMark():
            return 'out' if row.out else 'in'


def checked(row: Row) -> Row:
    """Return a row with its addresses in their usual form.

    Raises
    ------
    SettingError
        ``BAD_ROW``, with the value met and the values allowed.
    """
    match row:
        case Pool():
            return _checked_pool(row)
        case Route():
            return _checked_route(row)
        case ZoneMark():
            _require_name('zone', row.zone)
            return row


def _checked_pool(pool: Pool) -> Pool:
    _require_name('pool', pool.name)
    if not is_bucket_count(pool.buckets):
        raise _bad_row(
            f'pool {pool.name!r} has {pool.buckets} buckets; allowed: a power '
            f'of two from 1 to {MAX_BUCKETS}',
        )
    return pool


def _checked_route(route: Route) -> Route:
    _require_name('pool', route.pool)
    try:
        network = ipaddress.ip_network(route.callers)
    except ValueError as error:
        raise _bad_row(
            f'route of {route.service} has callers {route.callers!r}; '
            f'allowed: a network such as 10.0.0.0/8 ({error})',
        ) from error
    service = _service_of(route)
    return Route(str(service), route.pool, str(network))


def _service_of(route: Route) -> str:
    try:
        return str(parse_endpoint(route.service))
    except SettingError as error:
        raise _bad_row(
            f'route to pool {route.pool!r} has service {route.service!r}; '
            f'allowed: IP:PORT ({error})',
        ) from error


def _require_name(kind: str, name: str) -> None:
    if not name.strip():
        raise _bad_row(f'a {kind} has an empty name; give it one')


def _bad_row(text: str) -> SettingError:
    return SettingError(text, ResultCode.BAD_ROW)
