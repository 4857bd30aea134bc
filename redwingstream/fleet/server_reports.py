"""Handling of the reports that the server beside an agent sends."""

import asyncio
from collections.abc import Callable

from redwingstream.endpoints import Endpoint
from redwingstream.fleet.deployment import LocalServer
from redwingstream.fleet.events import ServerEnded, ServerReported
from redwingstream.fleet.lost_flow_notifier import LostFlowNotifier
from redwingstream.fleet.process import Process, ProcessReady
from redwingstream.fleet.server_probe import has_ended
from redwingstream.fleet.server_start import ServerStart
from redwingstream.lost_flows.recorded_flows import CONFIRMED_AFTER
from redwingstream.openings.gate import Gate
from redwingstream.openings.reports import ServerReport
from redwingstream.packets.agent_flows import AgentFlows

ANNOUNCEMENT_DELAY = 0.05
"""Seconds between a refused connection and its use as proof.  A server
announces its end when it closes its port; an agent that was frozen reads what
has waited for it within some iterations of the event loop."""


class ServerReportHandler:
    """Handles the reports of the server beside an agent.

    Parameters
    ----------
    process : Process
        Log and clock.
    local_server : LocalServer
        Endpoint and pool of the server.
    gate : Gate
        Decides on new flows by the server's reports.
    flows : AgentFlows
        Flows of the server.
    lost_flows : LostFlowNotifier
        Resets the callers of flows whose server has ended.
    on_change : callable
        Called when the control instances are to be notified at once.

    Attributes
    ----------
    server_start : ServerStart
        Finds out whether the server has started after the agent.
    """

    def __init__(
        self,
        process: Process,
        local_server: LocalServer,
        gate: Gate,
        flows: AgentFlows,
        lost_flows: LostFlowNotifier,
        on_change: Callable[[], None],
    ) -> None:
        self._process = process
        self._pool = local_server.pool
        self._gate = gate
        self._flows = flows
        self._lost_flows = lost_flows
        self._on_change = on_change
        self.server_start = ServerStart(
            local_server.server, gate.state, flows.coverage, process.clock
        )

    def handle_report(self, report: ServerReport) -> bool:
        """Handle a report; return False when it is of another pool."""
        if report.pool != self._pool:
            self._log_report(report, 'another pool')
            return False
        before = self._gate.state.report
        last_report_at = self._gate.state.received_at
        now = self._process.clock()
        if not self._gate.handle_report(report, now):
            self._log_report(report, 'late')
            return True
        if before is None:
            after = round(now - self._process.started_at, 3)
            self._process.log.write(ProcessReady(after))
        elif before.born != report.born:
            asked = self._lost_flows.handle_new_run(before, report, now)
            # The new run may hold flows that it was given before its report.
            self._flows.forget_opened_before(
                last_report_at - CONFIRMED_AFTER, now, asked
            )
        self._lost_flows.handle_report(now)
        if before is None or _is_change(before, report):
            self._log_report(report, 'taken')
            self._on_change()
        return True

    def handle_leave(self, server: str) -> None:
        """Handle the server's announcement that it shuts down.

        Parameters
        ----------
        server : str
            Name under which the server reports.
        """
        report = self._gate.state.report
        if report is not None and self._gate.state.mark_leaving(server):
            self._log_report(report, 'left')
            self._on_change()

    async def check_server_ended(
        self, server: Endpoint, *, resets_callers: bool = True
    ) -> None:
        """Check whether the server's process has ended, and record it if so.

        Parameters
        ----------
        server : Endpoint
            Endpoint of the server.
        resets_callers : bool
            Whether the callers of its flows are reset if so.
        """
        state = self._gate.state
        checked_at = self._process.clock()
        if not await self._is_refusal_proof(server):
            return
        if resets_callers:
            self._lost_flows.handle_server_ended(checked_at)
        state.mark_ended()
        self._flows.coverage.record_server_absent(checked_at)
        # The next run may have been given flows since the check began.
        self._flows.forget_opened_before(checked_at, self._process.clock())
        self._process.log.write(ServerEnded(str(server)))

    async def _is_refusal_proof(self, server: Endpoint) -> bool:
        """Whether a refused connection shows that the server has ended.

        It does not if the server has announced its end, or if it or its next
        run has reported or sent a packet meanwhile.
        """
        state = self._gate.state
        last_report_at = state.received_at
        answers = self._gate.answers
        if not state.proves_end_by_refusal or not await has_ended(server):
            return False
        await asyncio.sleep(ANNOUNCEMENT_DELAY)
        is_heard = self._gate.answers > answers
        if is_heard or state.received_at > last_report_at:
            return False
        return state.proves_end_by_refusal

    def _log_report(self, report: ServerReport, outcome: str) -> None:
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


def _is_change(before: ServerReport, report: ServerReport) -> bool:
    return (
        before.born != report.born
        or before.readiness is not report.readiness
        or (report.cold_for > 0) != (before.cold_for > 0)
    )
