"""Commands on members: drain, undrain, status, dump."""

import msgspec
from cleo.helpers import argument

from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import ResultCode, SettingError
from redwingstream.operators.client import ControlClient
from redwingstream.operators.commands.base import OperatorCommand
from redwingstream.operators.commands.change import ChangeCommand
from redwingstream.operators.overview import collect_overview, tables_from
from redwingstream.operators.status_output import overview_lines
from redwingstream.tables.edits import (
    DrainMember,
    Edits,
)


class _DrainCommand(ChangeCommand):
    """Sets or clears the drain mark of one member."""

    arguments = [argument('host', 'Name of the host.')]
    draining: bool

    def make_edits(self) -> Edits:
        """Return an edit that sets or clears the drain mark."""
        host = self.argument('host')
        return Edits(drain=(DrainMember(host, self.draining),))


class Drain(_DrainCommand):
    """Drains a member: it gets no new work."""

    name = 'drain'
    description = 'Give a host no new work; what it carries goes on.'
    draining = True


class Undrain(_DrainCommand):
    """Lets a drained member get new work again."""

    name = 'undrain'
    description = 'Give a host new work again.'
    draining = False


class Status(OperatorCommand):
    """Shows the status of every process."""

    name = 'status'
    description = 'Show members, load and the revision in force on each.'

    async def run_command(self, client: ControlClient) -> ResultCode:
        """Query every process; exit with ``NOT_IN_FORCE`` if any lags."""
        overview = await collect_overview(client)
        self.show(overview, overview_lines(overview))
        lags = any(process.lags for process in overview.processes)
        return ResultCode.NOT_IN_FORCE if lags else ResultCode.OK


class Dump(OperatorCommand):
    """Shows the state of one process."""

    name = 'dump'
    description = 'Show the state of one process as JSON.'
    arguments = [
        argument('process', 'Host name of a member, or IP:PORT of a process.')
    ]

    async def run_command(self, client: ControlClient) -> ResultCode:
        """Show the dump, unchanged with ``--json`` and indented without."""
        endpoint = await self._find_endpoint(client, self.argument('process'))
        text = await client.dump(endpoint)
        is_raw = self.option('json')
        self.show_text(text if is_raw else msgspec.json.format(text))
        return ResultCode.OK

    async def _find_endpoint(
        self, client: ControlClient, process: str
    ) -> Endpoint:
        if ':' in process:
            return parse_endpoint(process)
        tables = tables_from(await client.read_tables())
        member = tables.member_by_host.get(process)
        if member is None:
            known = ', '.join(sorted(tables.member_by_host)) or 'none'
            raise SettingError(
                f'no member has host name {process!r}; members are: {known}; '
                'a control instance is named by its IP:PORT',
                ResultCode.UNKNOWN_ROW,
            )
        return parse_endpoint(member.endpoint)
