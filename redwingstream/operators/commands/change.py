"""Base class of the commands that change the tables."""

from typing import Any

from cleo.helpers import option

from redwingstream.errors import ResultCode, SettingError
from redwingstream.operators.client import ControlClient
from redwingstream.operators.commands.base import (
    OperatorCommand,
    setting_options,
)
from redwingstream.operators.output import ChangeReport, change_lines
from redwingstream.operators.overview import all_endpoints, tables_from
from redwingstream.operators.plans import Difference
from redwingstream.tables.edits import (
    Edits,
    TablesRead,
)


def change_options() -> list[Any]:
    """Return the options of every command that changes the tables."""
    return [
        *setting_options(),
        option('force', description='Accept also what would harm traffic.'),
        option(
            'wait',
            description='Wait until the change is in force on every process.',
        ),
        option(
            'request-id',
            description=(
                'Repeat an earlier attempt whose answer was lost; its error '
                'names the id.'
            ),
            flag=False,
        ),
        option(
            'based-on',
            description=(
                'Revision that the change is based on; the current one when '
                'absent. Another change since then is a conflict.'
            ),
            flag=False,
        ),
    ]


class ChangeCommand(OperatorCommand):
    """Base class of commands that make one change of the tables.

    Subclasses override :meth:`make_edits`.
    """

    options = change_options()

    def make_edits(self) -> Edits:
        """Return the edits to send."""
        raise NotImplementedError

    def check(self) -> None:
        """Validate the revision given by ``--based-on``."""
        text = self.option('based-on')
        if text is not None and not text.isdecimal():
            raise SettingError(
                f'setting --based-on has value {text!r}; allowed: a revision '
                'as a change or the status shows it; correct it or leave it '
                'out',
            )

    async def run_command(self, client: ControlClient) -> ResultCode:
        """Read the tables and make the change."""
        edits = self.make_edits()
        read = await client.read_tables()
        return await self.make_change(client, read, edits)

    async def make_change(
        self,
        client: ControlClient,
        read: TablesRead,
        edits: Edits,
        differences: tuple[Difference, ...] = (),
    ) -> ResultCode:
        """Send a change, wait for it with ``--wait``, and show the outcome."""
        answer = await client.change(
            edits,
            self._based_on(read),
            force=self.option('force'),
            request_id=self.option('request-id') or '',
        )
        members = tables_from(read).member_by_host.values()
        should_wait = self.option('wait')
        lagging = ()
        if should_wait:
            lagging = await client.wait_in_force(
                answer.revision, all_endpoints(client.control, members)
            )
        report = ChangeReport(
            answer.revision, answer.warnings, should_wait, lagging, differences
        )
        self.show(report, change_lines(report))
        return ResultCode.NOT_IN_FORCE if lagging else ResultCode.OK

    def _based_on(self, read: TablesRead) -> int:
        text = self.option('based-on')
        return read.config_revision if text is None else int(text)
