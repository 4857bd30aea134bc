"""Notification of callers by an agent: messages, resets and log events."""

from collections.abc import Callable, Iterable

import attrs

from redwingstream.directory.messages import (
    FlowSnapshot,
    FlowSnapshotQuery,
    Readiness,
)
from redwingstream.fleet.control_client import ControlClient
from redwingstream.fleet.process import Process
from redwingstream.lost_flows.events import (
    FlowsReset,
    ServerAsked,
    ServerSurvived,
)
from redwingstream.lost_flows.recorded_flows import (
    CONFIRMED_AFTER,
    MAX_FLOWS,
    NOT_STATED,
    RecordedFlow,
    flows_held,
    is_later_run,
    pack_flows,
    unpack_flows,
)
from redwingstream.lost_flows.recovery import QUERY_INTERVAL, FlowRecovery
from redwingstream.lost_flows.snapshot_schedule import (
    TARGETS,
    SnapshotSchedule,
)
from redwingstream.openings.reports import ServerReport
from redwingstream.packets.agent_context import AgentContext
from redwingstream.packets.agent_flows import CarriedFlow
from redwingstream.packets.effects import Outgoing, ToCaller
from redwingstream.packets.flow import Address, FlowId

RECORD_INTERVAL = 0.25
"""Seconds between two checks whether a snapshot is due."""

DISABLED_INTERVAL = 1.0
"""Seconds between two checks while the pool serves no route whose requests
cannot be repeated."""


@attrs.define
class LostFlowCounters:
    """Counts of an agent since its start.

    Parameters
    ----------
    snapshots_sent : int
        Snapshots of the server's flows.
    queries_sent : int
        Queries for snapshots of an earlier run.
    snapshots_taken : int
        Snapshots of an earlier run received from control instances.
    asked_new_run : int
        Flows that the server was asked for since a later run reported.
    reset_server_ended : int
        Callers reset since the server's port refused a connection.
    reset_agent_restart : int
        Callers reset since a snapshot named an earlier run of the server.
    """

    snapshots_sent: int = 0
    queries_sent: int = 0
    snapshots_taken: int = 0
    asked_new_run: int = 0
    reset_server_ended: int = 0
    reset_agent_restart: int = 0


class LostFlowNotifier:
    """Records the server's flows, and resets their callers when it has ended.

    Parameters
    ----------
    process : Process
        Log and clock.
    context : AgentContext
        Flows and reports of the server.
    control_client : ControlClient
        Sends messages to the control instances.
    send_all : callable
        Sends packets.
    ask_server : callable
        Returns the packets by which the server is asked for a flow.

    Attributes
    ----------
    schedule : SnapshotSchedule
        Decides when the flows are recorded.
    counters : LostFlowCounters
        Counts since the start.
    """

    def __init__(
        self,
        process: Process,
        context: AgentContext,
        control_client: ControlClient,
        send_all: Callable[[Iterable[Outgoing]], None],
        ask_server: Callable[[CarriedFlow, float], list[Outgoing]],
    ) -> None:
        self.schedule = SnapshotSchedule()
        self.counters = LostFlowCounters()
        self._process = process
        self._context = context
        self._control_client = control_client
        self._send_all = send_all
        self._ask_server = ask_server
        self._address = context.location.address
        self._boot = process.codec.boot
        self._recovery = FlowRecovery(self._address, self._boot)
        self._has_logged_survival = False

    def apply_services(self, services: frozenset[Address]) -> None:
        """Apply the routes of the pool whose requests cannot be repeated."""
        self.schedule.services = services
        if services:
            self._recovery.begin(self._process.clock())

    def tick(self, now: float) -> float:
        """Send queries and a snapshot when they are due.

        Returns
        -------
        float
            Seconds until the next call.
        """
        if not self.schedule.services:
            return DISABLED_INTERVAL
        self.query_snapshots(now)
        if self._recovery.is_querying(now):
            return QUERY_INTERVAL
        if self.schedule.may_send(now):
            self._record_flows(now)
        return RECORD_INTERVAL

    def query_snapshots(self, now: float) -> None:
        """Query the control instances that have not answered."""
        controls = self._control_client.inquirer.controls
        targets = self._recovery.due_targets(controls, now)
        query = FlowSnapshotQuery(self._address, self._boot)
        self._control_client.send_message(query, targets)
        self.counters.queries_sent += len(targets)

    def handle_snapshot(
        self, snapshot: FlowSnapshot, control: Address, now: float
    ) -> None:
        """Handle a control instance's answer to a query.

        Raises
        ------
        WireError
            When its flows cannot be decoded.
        """
        if self._recovery.handle_snapshot(snapshot, control, now):
            self.counters.snapshots_taken += 1
            self.handle_report(now)

    def handle_report(self, now: float) -> None:
        """Decide on received snapshots once the server has reported."""
        report = self._context.gate.state.report
        if report is None:
            return
        lost, surviving = self._recovery.pop_decided(report.born, now)
        self._log_survivors(surviving)
        if not lost:
            return
        free = [one for one in lost if not self._is_in_use(one, now)]
        self.counters.reset_agent_restart += len(free)
        self._reset(free, 'agent restart', len(lost) - len(free))

    def handle_new_run(
        self, before: ServerReport, report: ServerReport, now: float
    ) -> frozenset[FlowId]:
        """Ask the server's later run for the flows of its earlier run.

        The caller of a flow is reset once the server has returned its packet.
        The last report of the earlier run may have been late, so that the
        later run may hold any of the flows.

        Parameters
        ----------
        before, report : ServerReport
            Last report of the earlier run, and first one of the later run.
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        frozenset of FlowId
            The flows that the server was asked for.
        """
        carried_flows = self._context.flows.carried_flows()
        self.schedule.observe(carried_flows)
        is_later = is_later_run(report.born, before.born)
        if not is_later or not self.schedule.is_enabled:
            return frozenset()
        asked = set()
        for carried in carried_flows:
            if carried.is_ending:
                continue
            packets = self._ask_server(carried, now)
            self._send_all(packets)
            if packets:
                asked.add(carried.flow)
        self.counters.asked_new_run += len(asked)
        self._process.log.write(ServerAsked(len(asked)))
        return frozenset(asked)

    def handle_server_ended(self, refused_after: float) -> None:
        """Reset the callers of a server whose port refuses connections.

        A server that leaves closes its port before it ends.  Its announcement
        may have been lost unless it reports that it is ready.

        Parameters
        ----------
        refused_after : float
            Time before the connection was attempted.
        """
        report = self._context.gate.state.report
        if report is not None and report.readiness is Readiness.READY:
            reset = self._reset_held(refused_after, 'server ended')
            self.counters.reset_server_ended += reset

    def _record_flows(self, now: float) -> None:
        context = self._context
        carried_flows = context.flows.carried_flows()
        self.schedule.observe(carried_flows)
        state = context.gate.state
        report = state.report
        if report is None or state.has_ended or not self.schedule.is_enabled:
            return
        if report.born == NOT_STATED:
            return
        held = flows_held(carried_flows, state.received_at - CONFIRMED_AFTER)
        recorded = frozenset(one.rounded for one in held[-MAX_FLOWS:])
        targets = self._control_client.inquirer.preferred_controls(
            self._address, TARGETS
        )
        if self.schedule.is_due(recorded, report.born, targets, now):
            self.schedule.record_sent(recorded, report.born, targets, now)
            self._send_snapshot(recorded, report, targets)

    def _send_snapshot(
        self,
        recorded: frozenset[RecordedFlow],
        report: ServerReport,
        targets: tuple[Address, ...],
    ) -> None:
        snapshot = FlowSnapshot(
            self._address,
            self._boot,
            self.schedule.sequence,
            report.born,
            pack_flows(recorded),
        )
        self._control_client.send_message(snapshot, targets)
        self.counters.snapshots_sent += len(targets)

    def _is_in_use(self, recorded: RecordedFlow, now: float) -> bool:
        """Whether a flow has been opened again, or waits to be."""
        flow = recorded.flow
        context = self._context
        is_carried = context.flows.find_carried(flow, now) is not None
        return is_carried or flow in context.waiting

    def _reset_held(self, opened_before: float, reason: str) -> int:
        carried_flows = self._context.flows.carried_flows()
        self.schedule.observe(carried_flows)
        if not self.schedule.is_enabled:
            return 0
        held = flows_held(carried_flows, opened_before)
        if held:
            self._reset(held, reason, len(carried_flows) - len(held))
        return len(held)

    def _log_survivors(self, surviving: list[FlowSnapshot]) -> None:
        """Log once in a run that the server of the snapshots still runs."""
        if surviving and not self._has_logged_survival:
            self._has_logged_survival = True
            newest = max(surviving, key=lambda one: one.sequence)
            count = len(unpack_flows(newest.flows))
            self._process.log.write(ServerSurvived(count, newest.born))

    def _reset(
        self, lost: list[RecordedFlow], reason: str, left_out: int
    ) -> None:
        heads = [one.head() for one in lost]
        self._send_all(
            ToCaller(self._context.codec.reset_for(head), head.source)
            for head in heads
        )
        self._process.log.write(FlowsReset(reason, len(lost), left_out))
