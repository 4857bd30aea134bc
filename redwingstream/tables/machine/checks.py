"""What is wrong with rows that an operator sets, and what a change does."""

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
    """Refuse an edit that no force can make right.

    Raises
    ------
    ChangeRefusedError
        ``BAD_ROW`` or ``UNKNOWN_ROW``, naming the value met, what is allowed
        and the way out.
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
                raise _unknown(Table.MEMBER.value, host)


def missing_pools(before: MachineState, after: MachineState) -> Iterator[str]:
    """Yield the routes that name a missing pool only after a change."""
    for key, route in after.route_by_key.items():
        if route.pool in after.pool_by_name:
            continue
        was_there = route.pool in before.pool_by_name
        if was_there or before.route_by_key.get(key) != route:
            yield (
                f'route {key} names pool {route.pool!r}, which does not '
                'exist: its callers are refused until the pool is set'
            )


def emptied_pools(before: MachineState, after: MachineState) -> Iterator[str]:
    """Yield the pools in use that a change leaves without a server."""
    used = {route.pool for route in before.route_by_key.values()}
    for name in sorted(used):
        view = before.view_by_pool.get(name)
        left = after.view_by_pool.get(name)
        had = view is not None and view.members
        if had and not (left is not None and left.members):
            yield (
                f'pool {name!r} is in use and is left without a backend '
                f'server (it has {len(view.members)}): its callers are refused'
            )


def _check_route(row: Route) -> None:
    # An entry that no replica can apply would stop them all, and again at
    # each start.  Texts of unlimited length get there: Python refuses to read
    # a number of more than 4300 digits.
    _check_name('service', row.service)
    _check_name('callers', row.callers)
    _check_name('pool', row.pool)
    service = _parse_service(row)
    network = _parse_callers(row)
    # Routes are found by their text.  One in another form than the usual is
    # met by no packet, or stands beside another one for the same callers, and
    # then each process goes by the one that it happened to get first.
    _check_form('service', row.service, str(service))
    _check_form('callers', row.callers, str(network))
    if not service.port:
        raise _bad_row(f'service {row.service} has port 0; give its port')
    is_v6 = isinstance(network, ipaddress.IPv6Network)
    if is_v6 != (':' in service.host):
        raise _bad_row(
            f'callers {row.callers} of service {row.service} have another IP '
            'version than the service, so that no packet fits; any caller is '
            '0.0.0.0/0 with IPv4 and ::/0 with IPv6',
        )


def _parse_service(row: Route) -> Endpoint:
    try:
        return parse_endpoint(row.service)
    except SettingError as error:
        raise _bad_row(f'route service: {error}') from error


def _parse_callers(row: Route) -> IPNetwork:
    try:
        return ipaddress.ip_network(row.callers)
    except ValueError:
        raise _bad_row(
            f'callers {row.callers!r} of route {row.service} is no network; '
            'write it in CIDR form without host bits, for instance '
            '10.1.0.0/16',
        ) from None


def _check_form(what: str, met: str, usual: str) -> None:
    if met != usual:
        raise _bad_row(f'{what} {met!r} of a route has to be written {usual!r}')


def _check_pool(row: Pool, present: Pool | None) -> None:
    _check_name('pool', row.name)
    for glob in row.admits:
        _check_name('host pattern', glob)
    if not is_bucket_count(row.buckets):
        raise _bad_row(
            f'pool {row.name!r} has {row.buckets} buckets; a power of two '
            f'from 1 to {MAX_BUCKETS} is allowed',
        )
    if present is not None and present.buckets != row.buckets:
        raise _bad_row(
            f'pool {row.name!r} has {present.buckets} buckets for its life, '
            f'not {row.buckets}; set a pool of another name and move the '
            'routes to it',
        )


def _check_removal(state: MachineState, name: RowName) -> None:
    if name.table not in _REMOVABLE:
        raise _bad_row(
            f'rows of table {name.table.value!r} are not set by operators; '
            'routes, pools and zone marks can be removed',
        )
    if name.key not in state.rows_of(name.table):
        raise _unknown(name.table.value, name.key)


def _check_name(what: str, name: str) -> None:
    if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
        raise _bad_row(
            f'{what} {name[:MAX_NAME_LENGTH]!r} is not allowed; give it 1 to '
            f'{MAX_NAME_LENGTH} printable characters',
        )


def _bad_row(text: str) -> ChangeRefusedError:
    return ChangeRefusedError(text, ResultCode.BAD_ROW)


def _unknown(table: str, key: str) -> ChangeRefusedError:
    return ChangeRefusedError(
        f'there is no row {key!r} in table {table!r}; look at the tables again',
        ResultCode.UNKNOWN_ROW,
    )
