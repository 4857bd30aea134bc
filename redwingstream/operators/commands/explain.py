"""The command that says where a caller's traffic goes."""

from cleo.helpers import argument

from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import ResultCode
from redwingstream.operators.client import ControlClient
from redwingstream.operators.commands.base import OperatorCommand
from redwingstream.operators.explain import explain
from redwingstream.operators.overview import tables_from
from redwingstream.operators.reports import explanation_lines


class Explain(OperatorCommand):
    """Says where a caller's traffic goes, and why."""

    name = 'explain'
    description = "Say where a caller's traffic goes, and why."
    arguments = [
        argument('caller', 'IP:PORT of the caller.'),
        argument('service', 'IP:PORT that the caller sends to.'),
    ]

    async def run_command(self, client: ControlClient) -> ResultCode:
        """Follow the traffic; exit with the code that callers would meet."""
        caller = parse_endpoint(self.argument('caller'))
        service = parse_endpoint(self.argument('service'))
        tables = tables_from(await client.read_tables())
        told = explain(tables, caller, service, self.key)
        self.show(told, explanation_lines(told))
        return told.code
