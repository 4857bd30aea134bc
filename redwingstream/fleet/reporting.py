"""What an agent does with what its server says of itself."""

from collections.abc import Callable

from redwingstream.endpoints import Endpoint
from redwingstream.fleet.events import ServerEnded, ServerReported
from redwingstream.fleet.probing import has_ended
from redwingstream.fleet.process import Process, ProcessReady
from redwingstream.openings.gate import Gate
from redwingstream.openings.reports import ServerReport
from redwingstream.packets.agent_flows import AgentFlows


class Reporting:
    """Takes the reports of the server beside an agent.

    Parameters
    ----------
    process : Process
        Log and clock.
    pool : str
        Pool that the server belongs to.
    gate : Gate
        Goes by the reports.
    flows : FlowBook
        Flows of the server.
    changed : callable
        Called when the others have to hear of it at once.
    """

    def __init__(
        self,
        process: Process,
        pool: str,
        gate: Gate,
        flows: AgentFlows,
        changed: Callable[[], None],
    ) -> None:
        self._process = process
        self._pool = pool
        self._gate = gate
        self._flows = flows
        self._changed = changed

    def handle_report(self, report: ServerReport) -> bool:
        """Take a report; return False when it is of another pool."""
        if report.pool != self._pool:
            self._note(report, 'another pool')
            return False
        before = self._gate.state.report
        now = self._process.clock()
        if not self._gate.handle_report(report, now):
            self._note(report, 'late')
            return True
        if before is None:
            after = round(now - self._process.started_at, 3)
            self._process.log.write(ProcessReady(after))
        elif before.born != report.born:
            # Another run of the server holds nothing of before.
            self._flows.clear()
        if before is None or _says_more(before, report):
            self._note(report, 'taken')
            self._changed()
        return True

    def handle_leave(self, server: str) -> None:
        """Take note that the server ends."""
        report = self._gate.state.report
        if report is not None and self._gate.state.mark_leaving(server):
            self._note(report, 'left')
            self._changed()

    async def check_server_ended(self, server: Endpoint) -> None:
        """Check whether the server's process has ended, and record it if so."""
        if await has_ended(server):
            self._gate.state.mark_ended()
            self._process.log.write(ServerEnded(str(server)))

    def _note(self, report: ServerReport, outcome: str) -> None:
        self._process.log.write(
            ServerReported(
                report.server,
                report.born,
                report.sequence,
                report.readiness.name.lower(),
                report.cold_for,
                outcome,
            ),
        )


def _says_more(before: ServerReport, report: ServerReport) -> bool:
    return (
        before.born != report.born
        or before.readiness is not report.readiness
        or (report.cold_for > 0) != (before.cold_for > 0)
    )
