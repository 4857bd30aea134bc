"""Validation of edits by operators, and detection of their harmful effects."""

import ipaddress
from collections.abc import Iterator

from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import (
    ChangeRefusedError,
    ResultCode,
    SettingError,
)
from redwingstream.tables.edits import (
    DrainMember,
    Edit,
    RemoveRow,
    SetPool,
    SetRoute,
    SetZone,
)
from redwingstream.tables.machine.state import MachineState
from redwingstream.tables.messages import (
    RowName,
    Table,
)
from redwingstream.tables.rows import (
    MAX_BUCKETS,
    MAX_NAME_LENGTH,
    Pool,
    Route,
    is_bucket_count,
)

_REMOVABLE = frozenset((Table.ROUTE, Table.POOL, Table.ZONE))

IPNetwork = ipaddress.IPv4Network | ipaddress.IPv6Network


def check_edit(state: MachineState, edit: Edit) -> None:
    """Refuse an edit that is invalid even if the change is forced.

    Raises
    ------
    ChangeRefusedError
        ``BAD_ROW`` or ``UNKNOWN_ROW``; the text names the invalid value, what
        is allowed and what to do.
    """
    match edit:
        case SetRoute(row=row):
            _check_route(row)
        case SetPool(row=row):
            _check_pool(row, state.pool_by_name.get(row.name))
        case SetZone(row=row):
            _check_name('availability zone', row.zone)
        case RemoveRow(row=name):
            _check_removal(state, name)
        case DrainMember(host=host):
            is_known = host in state.member_by_host
            if not is_known and host not in state.drained_hosts:
                raise _unknown_row_error(Table.MEMBER.value, host)


def missing_pools(before: MachineState, after: MachineState) -> Iterator[str]:
    """Yield a warning for each route with a missing pool.

    Routes that were like this before the change are left out.
    """
    for key, route in after.route_by_key.items():
        if route.pool in after.pool_by_name:
            continue
        existed = route.pool in before.pool_by_name
        if existed or before.route_by_key.get(key) != route:
            yield (
                f'route {key} names pool {route.pool!r}, which does not '
                'exist: its callers are refused until the pool is set'
            )


def emptied_pools(before: MachineState, after: MachineState) -> Iterator[str]:
    """Yield a warning for each pool in use that a change empties."""
    used = {route.pool for route in before.route_by_key.values()}
    for name in sorted(used):
        view = before.view_by_pool.get(name)
        remaining = after.view_by_pool.get(name)
        had_members = view is not None and view.members
        if had_members and not (remaining is not None and remaining.members):
            yield (
                f'pool {name!r} is in use and is left without a backend '
                f'server (it has {len(view.members)}): its callers are refused'
            )


def _check_route(row: Route) -> None:
    # A log entry that cannot be applied would stop all replicas, and again at
    # each start.  Texts of unlimited length have that effect: Python refuses
    # to parse a number of more than 4300 digits.
    _check_name('service', row.service)
    _check_name('callers', row.callers)
    _check_name('pool', row.pool)
    service = _parse_service(row)
    network = _parse_callers(row)
    # Routes are looked up by their text.  One that is not in canonical form
    # matches no packet, or duplicates another route for the same callers, and
    # then each process uses the one that it received first.
    _check_canonical('service', row.service, str(service))
    _check_canonical('callers', row.callers, str(network))
    if not service.port:
        raise _bad_row_error(f'service {row.service} has port 0; give its port')
    is_v6 = isinstance(network, ipaddress.IPv6Network)
    if is_v6 != (':' in service.host):
        raise _bad_row_error(
            f'callers {row.callers} of service {row.service} have another IP '
            'version than the service, so no packet matches; any caller is '
            '0.0.0.0/0 with IPv4 and ::/0 with IPv6',
        )


def _parse_service(row: Route) -> Endpoint:
    try:
        return parse_endpoint(row.service)
    except SettingError as error:
        raise _bad_row_error(f'route service: {error}') from error


def _parse_callers(row: Route) -> IPNetwork:
    try:
        return ipaddress.ip_network(row.callers)
    except ValueError:
        raise _bad_row_error(
            f'callers {row.callers!r} of route {row.service} is not a network; '
            'write it in CIDR form without host bits, for instance '
            '10.1.0.0/16',
        ) from None


def _check_canonical(field: str, given: str, canonical: str) -> None:
    if given != canonical:
        raise _bad_row_error(
            f'{field} {given!r} of a route has to be written {canonical!r}'
        )


def _check_pool(row: Pool, current: Pool | None) -> None:
    _check_name('pool', row.name)
    for glob in row.admits:
        _check_name('host pattern', glob)
    if not is_bucket_count(row.buckets):
        raise _bad_row_error(
            f'pool {row.name!r} has {row.buckets} buckets; a power of two '
            f'from 1 to {MAX_BUCKETS} is allowed',
        )
    if current is not None and current.buckets != row.buckets:
        raise _bad_row_error(
            f'pool {row.name!r} has {current.buckets} buckets for its life, '
            f'not {row.buckets}; set a pool of another name and move the '
            'routes to it',
        )


def _check_removal(state: MachineState, name: RowName) -> None:
    if name.table not in _REMOVABLE:
        raise _bad_row_error(
            f'rows of table {name.table.value!r} are not set by operators; '
            'routes, pools and zone marks can be removed',
        )
    if name.key not in state.rows_of(name.table):
        raise _unknown_row_error(name.table.value, name.key)


def _check_name(field: str, name: str) -> None:
    if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
        raise _bad_row_error(
            f'{field} {name[:MAX_NAME_LENGTH]!r} is not allowed; give it 1 to '
            f'{MAX_NAME_LENGTH} printable characters',
        )


def _bad_row_error(text: str) -> ChangeRefusedError:
    return ChangeRefusedError(text, ResultCode.BAD_ROW)


def _unknown_row_error(table: str, key: str) -> ChangeRefusedError:
    return ChangeRefusedError(
        f'there is no row {key!r} in table {table!r}; look at the tables again',
        ResultCode.UNKNOWN_ROW,
    )
