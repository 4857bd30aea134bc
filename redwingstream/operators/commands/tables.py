"""Commands on routes, pools and zones, and the command ``apply``."""

import pathlib
from collections.abc import Sequence

from cleo.helpers import argument, option

from redwingstream.errors import ResultCode, SettingError
from redwingstream.operators.client import ControlClient
from redwingstream.operators.commands.base import OperatorCommand
from redwingstream.operators.commands.change import (
    ChangeCommand,
    change_options,
)
from redwingstream.operators.output import (
    difference_lines,
    pool_lines,
    route_lines,
    zone_lines,
)
from redwingstream.operators.overview import tables_from
from redwingstream.operators.plans import make_plan, read_tables_file
from redwingstream.operators.row_checks import normalized_row
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
from redwingstream.tables.rows import (
    ANY_CALLER,
    DEFAULT_BUCKETS,
    Pool,
    Route,
    ZoneMark,
)

_CALLERS = option(
    'callers',
    description='Network of callers; the longest one that holds them wins.',
    flag=False,
    default=ANY_CALLER,
)


class RouteList(OperatorCommand):
    """Shows the route table."""

    name = 'route list'
    description = 'Show the route table.'

    async def run_command(self, client: ControlClient) -> ResultCode:
        """Read the tables and show the routes."""
        tables = tables_from(await client.read_tables())
        rows = tuple(tables.route_by_key.values())
        self.show(rows, route_lines(rows))
        return ResultCode.OK


class RouteSet(ChangeCommand):
    """Adds or replaces a route."""

    name = 'route set'
    description = 'Send the traffic of a service address to a pool.'
    arguments = [
        argument('service', 'IP:PORT that callers send to.'),
        argument('pool', 'Name of the pool.'),
    ]
    options = [*change_options(), _CALLERS]

    def make_edits(self) -> Edits:
        """Return an edit that sets the route."""
        route = Route(
            self.argument('service'),
            self.argument('pool'),
            self.option('callers'),
        )
        return Edits(set_routes=(SetRoute(normalized_row(route)),))


class RouteRemove(ChangeCommand):
    """Removes a route."""

    name = 'route remove'
    description = 'Remove a route; its callers are refused from then on.'
    arguments = [argument('service', 'IP:PORT that callers send to.')]
    options = [*change_options(), _CALLERS]

    def make_edits(self) -> Edits:
        """Return an edit that removes the route."""
        # The key of a route does not depend on its pool, so any name will do.
        route = Route(self.argument('service'), 'any', self.option('callers'))
        return _remove(Table.ROUTE, normalized_row(route).key)


class PoolList(OperatorCommand):
    """Shows the pool table."""

    name = 'pool list'
    description = 'Show the pool table.'

    async def run_command(self, client: ControlClient) -> ResultCode:
        """Read the tables and show the pools."""
        tables = tables_from(await client.read_tables())
        rows = tuple(tables.pool_by_name.values())
        self.show(rows, pool_lines(rows))
        return ResultCode.OK


class PoolSet(ChangeCommand):
    """Adds or replaces a pool."""

    name = 'pool set'
    description = 'Say which announced servers may serve a pool.'
    arguments = [
        argument('name', 'Name of the pool.'),
        argument(
            'admits',
            'Patterns of host names, for instance sward-*.',
            multiple=True,
        ),
    ]
    options = [
        *change_options(),
        option(
            'buckets',
            description=(
                'Into how many parts flows are divided: a power of two, fixed '
                'for the life of the pool.'
            ),
            flag=False,
            default=str(DEFAULT_BUCKETS),
        ),
    ]

    def make_edits(self) -> Edits:
        """Return an edit that sets the pool."""
        admits = tuple(self.argument('admits'))
        pool = Pool(self.argument('name'), admits, self._buckets())
        return Edits(set_pools=(SetPool(normalized_row(pool)),))

    def _buckets(self) -> int:
        text = self.option('buckets')
        if not text.isdecimal():
            raise SettingError(
                f'setting --buckets has value {text!r}; allowed: a power of '
                'two; correct the flag',
            )
        return int(text)


class PoolRemove(ChangeCommand):
    """Removes a pool."""

    name = 'pool remove'
    description = 'Remove a pool that no route names.'
    arguments = [argument('name', 'Name of the pool.')]

    def make_edits(self) -> Edits:
        """Return an edit that removes the pool."""
        return _remove(Table.POOL, self.argument('name'))


class ZoneList(OperatorCommand):
    """Shows which availability zones are marked out of or in service."""

    name = 'zone list'
    description = 'Show which availability zones were marked out or in.'

    async def run_command(self, client: ControlClient) -> ResultCode:
        """Read the tables and show the zone marks."""
        tables = tables_from(await client.read_tables())
        rows = tuple(tables.zone_by_name.values())
        self.show(rows, zone_lines(rows))
        return ResultCode.OK


class _ZoneCommand(ChangeCommand):
    """Marks one availability zone as out of service or in service."""

    arguments = [argument('zone', 'Name of the availability zone.')]
    is_out: bool

    def make_edits(self) -> Edits:
        """Return an edit that marks the zone."""
        mark = normalized_row(ZoneMark(self.argument('zone'), self.is_out))
        return Edits(set_zones=(SetZone(mark),))


class ZoneOut(_ZoneCommand):
    """Takes an availability zone out of service."""

    name = 'zone out'
    description = 'Take a zone out of service; flows that end in it are lost.'
    is_out = True


class ZoneIn(_ZoneCommand):
    """Brings an availability zone back into service."""

    name = 'zone in'
    description = 'Bring a zone back into service.'
    is_out = False


class Apply(ChangeCommand):
    """Replaces tables by those in a file."""

    name = 'apply'
    description = 'Make the tables what a TOML or JSON file says.'
    help = (
        'The file has lists "pools" (name, admits, buckets), "routes" '
        '(service, pool, callers) and "zones" (zone, out). A table that the '
        'file names is replaced whole; one that it leaves out stays. The '
        'differences are shown before anything is changed. Settings and exit '
        'codes are those of every command.'
    )
    arguments = [argument('file', 'The file; .json is read as JSON.')]
    options = [
        *change_options(),
        option('yes', 'y', 'Accept the differences without being asked.'),
        option('dry-run', description='Show the differences only.'),
    ]

    async def run_command(self, client: ControlClient) -> ResultCode:
        """Show the differences, ask for confirmation, and make the change."""
        wanted = read_tables_file(pathlib.Path(self.argument('file')))
        read = await client.read_tables()
        plan = make_plan(tables_from(read), wanted)
        lines = difference_lines(plan.differences)
        if self.option('dry-run') or not plan.differences:
            self.show(plan.differences, lines or ['no differences'])
            return ResultCode.OK
        self._show_messages(lines)
        if not self._is_accepted():
            self.show_message('nothing was changed')
            return ResultCode.OK
        return await self.make_change(
            client, read, plan.edits, plan.differences
        )

    def _show_messages(self, lines: Sequence[str]) -> None:
        for text in lines:
            self.show_message(text)

    def _is_accepted(self) -> bool:
        if self.option('yes'):
            return True
        return bool(self.confirm('Make these changes?', default=False))


def _remove(table: Table, key: str) -> Edits:
    return Edits(remove=(RemoveRow(RowName(table, key)),))
