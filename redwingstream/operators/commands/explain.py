"""The command ``explain``."""

from cleo.helpers import argument

from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import ResultCode
from redwingstream.operators.client import ControlClient
from redwingstream.operators.commands.base import OperatorCommand
from redwingstream.operators.explain import explain
from redwingstream.operators.overview import tables_from
from redwingstream.operators.status_output import explanation_lines


class Explain(OperatorCommand):
    """Explains where a caller's traffic goes, and why."""

    name = 'explain'
    description = "Say where a caller's traffic goes, and why."
    arguments = [
        argument('caller', 'IP:PORT of the caller.'),
        argument('service', 'IP:PORT that the caller sends to.'),
    ]

    async def run_command(self, client: ControlClient) -> ResultCode:
        """Show the explanation; exit with the code that the caller gets."""
        caller = parse_endpoint(self.argument('caller'))
        service = parse_endpoint(self.argument('service'))
        tables = tables_from(await client.read_tables())
        explanation = explain(tables, caller, service, self.key)
        self.show(explanation, explanation_lines(explanation))
        return explanation.code
