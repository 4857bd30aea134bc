"""The agent process: sockets and timers around the flows of its server."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from redwingstream.directory.inquiry import Inquirer, InquiryResult
from redwingstream.directory.messages import (
    AgentRecord,
    FlowSnapshot,
    Readiness,
)
from redwingstream.errors import SettingError, WireError
from redwingstream.fleet.control_client import ControlClient
from redwingstream.fleet.deployment import (
    AGENT_OFFSET,
    DEFAULT_IDLE_TIMEOUT,
    LocalServer,
)
from redwingstream.fleet.lost_flow_notifier import LostFlowNotifier
from redwingstream.fleet.packet_sender import PacketSender
from redwingstream.fleet.process import PeriodicTask, Process
from redwingstream.fleet.routes import (
    log_agents,
    log_tables,
    routes_by_service,
    services_without_repetition,
)
from redwingstream.fleet.server_reports import ServerReportHandler
from redwingstream.openings.gate import Gate, PoolRules
from redwingstream.packets.agent_context import AgentContext, AgentLocation
from redwingstream.packets.agent_flows import AgentFlows
from redwingstream.packets.agent_forwarder import AgentForwarder
from redwingstream.packets.envelopes import unpack_envelope
from redwingstream.packets.flow import Address, PacketCodec, address_of
from redwingstream.wire.datagrams import open_datagrams

REPEAT_AFTER = 0.05
"""Seconds after which a stopping agent sends its last record again, in case a
datagram was lost."""

HOUSEKEEPING_INTERVAL = 0.25
"""Seconds between two checks for expired flows."""

RELEASE_INTERVAL = 0.02
"""Seconds between two checks for new flows that wait: half of the time in
which a server completes a request."""


class Agent:
    """An agent process.

    Parameters
    ----------
    process : Process
        Settings, log and clock.
    codec : PacketCodec
        Decodes packets.
    """

    def __init__(self, process: Process, codec: PacketCodec) -> None:
        deployment = process.deployment
        local_server = deployment.local_server
        packets = deployment.listening.packets
        if local_server is None or packets is None:
            raise SettingError(
                'an agent needs a server beside it and an address for '
                'packets; the settings name none',
            )
        self.process = process
        self._local_server: LocalServer = local_server
        self._sequence = 0
        self._release_timer: asyncio.TimerHandle | None = None
        self._server_check: asyncio.Task[None] | None = None
        self._start_check: asyncio.Task[None] | None = None
        self._address = address_of(packets.host, packets.port)
        inquirer = Inquirer(
            deployment.seed_addresses,
            local_server.pool,
            process.clock(),
            process.codec.boot,
        )
        self.gate = Gate(
            deployment.cold_limit,
            deployment.report_interval,
            process.started_at,
        )
        self.control_client = ControlClient(
            inquirer,
            process.codec,
            self._handle_result,
            process.log.write,
            self._make_record,
            self._handle_control_message,
        )
        self.context = AgentContext(
            AgentLocation(self._address, deployment.zone, local_server.pool),
            codec,
            self.gate,
            inquirer.view,
            AgentFlows(DEFAULT_IDLE_TIMEOUT, deployment.max_flow_age),
            process.log.write,
        )
        # Until the tables arrive, the time-out in force may be a longer one.
        self.context.flows.coverage.max_silence = float('inf')
        self.forwarder = AgentForwarder(self.context, process.started_at)
        self.packet_sender = PacketSender(packets.port, local_server.server)
        self.lost_flows = LostFlowNotifier(
            process,
            self.context,
            self.control_client,
            self.packet_sender.send_all,
            self.forwarder.ask_server,
        )
        self.server_reports = ServerReportHandler(
            process,
            local_server,
            self.gate,
            self.context.flows,
            self.lost_flows,
            self.control_client.send_to_all,
        )
        process.on_reload(
            lambda fresh: self.control_client.apply_seeds(fresh.seed_addresses)
        )

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator['Agent']:
        """Open the sockets and run until the end of the block."""
        deployment = self.process.deployment
        with (
            open_datagrams(
                deployment.listening.packets, self._handle_packet
            ) as packets,
            open_datagrams(
                deployment.listening.outbound, self._handle_server_packet
            ),
            open_datagrams(
                deployment.internal_endpoint(AGENT_OFFSET),
                self._handle_internal,
            ) as inside,
        ):
            self.packet_sender.attach(callers=packets, peers=packets)
            self.control_client.attach(inside)
            self._start_check = asyncio.create_task(
                self.server_reports.server_start.check_absent()
            )
            with self.process.running(
                PeriodicTask('following', self.control_client.tick),
                PeriodicTask('housekeeping', self.run_housekeeping),
                PeriodicTask('lost flows', self.lost_flows.tick),
            ):
                yield self

    def run_housekeeping(self, now: float) -> float:
        """Evict expired entries; look after a server that sends nothing.

        Parameters
        ----------
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        float
            Seconds until the next call.
        """
        self.packet_sender.send_all(self.forwarder.tick(now))
        is_checking = (
            self._server_check is not None and not self._server_check.done()
        )
        # A draining server may be leaving, with its announcement lost.
        is_draining = self.gate.state.readiness is Readiness.DRAINING
        is_silent = self.context.silence.is_unresponsive(now)
        if is_silent and not is_checking and not is_draining:
            self._server_check = asyncio.create_task(self._check_server())
        if self.server_reports.server_start.is_due:
            self._start_check = asyncio.create_task(
                self.server_reports.server_start.check_listening()
            )
        return HOUSEKEEPING_INTERVAL

    async def prepare_stop(self) -> None:
        """Report to the control instances whether the server has ended.

        A flow is declared dead only once every agent that may carry it has
        answered.  A stopped agent does not answer, so it must be excluded if
        its server has ended.  Callers are not reset: a server that is asked to
        stop with its agent closes its port, and serves its flows for up to two
        more seconds, whether its announcement arrives or not.
        """
        for check in (self._server_check, self._start_check):
            if check is not None:
                check.cancel()
        await self.server_reports.check_server_ended(
            self._local_server.server, resets_callers=False
        )
        self.control_client.send_to_all()
        await asyncio.sleep(REPEAT_AFTER)
        self.control_client.send_to_all()

    def _make_record(self) -> AgentRecord:
        now = self.process.clock()
        self._sequence += 1
        return AgentRecord(
            self._address,
            self.process.deployment.zone,
            self._local_server.pool,
            self.process.codec.boot,
            self._sequence,
            self.gate.state.readiness,
            self.gate.is_cold(now),
        )

    def _handle_result(self, result: InquiryResult) -> None:
        log_agents(self.process, result.agents)
        if result.has_new_tables:
            self._apply_tables()
        # The answer may have named further control instances.
        self.lost_flows.query_snapshots(self.process.clock())

    def _apply_tables(self) -> None:
        inquirer = self.control_client.inquirer
        tables = inquirer.history.tables
        self.context.refusals.revision = tables.revision
        generation = tables.generation
        self.context.flows.extend_idle_timeout(
            DEFAULT_IDLE_TIMEOUT
            if generation is None
            else generation.idle_timeout
        )
        self._apply_pool_rules()
        log_tables(self.process, inquirer)

    def _apply_pool_rules(self) -> None:
        tables = self.control_client.inquirer.history.tables
        rules = PoolRules.from_tables(
            tables, self._local_server.pool, self.process.deployment.zone
        )
        if self.gate.rules.is_zone_out and not rules.is_zone_out:
            self.gate.assume_cold(self.process.clock())
        self.gate.rules = rules
        rules_by_service = {
            service: route.rules
            for service, route in routes_by_service(tables).items()
            if self._local_server.pool in route.pools
        }
        self.context.apply_flow_rules(rules_by_service)
        self.lost_flows.apply_services(
            services_without_repetition(rules_by_service)
        )

    def _handle_packet(self, datagram: bytes, source: tuple[str, int]) -> None:
        try:
            outgoing = self.forwarder.handle_envelope(
                unpack_envelope(datagram),
                address_of(*source),
                self.process.clock(),
            )
        except WireError:
            self.context.counters.malformed += 1
            return
        self.packet_sender.send_all(outgoing)
        self._schedule_release()

    def _schedule_release(self) -> None:
        if len(self.context.waiting) and self._release_timer is None:
            loop = asyncio.get_running_loop()
            self._release_timer = loop.call_later(
                RELEASE_INTERVAL, self._release_waiting
            )

    def _release_waiting(self) -> None:
        self._release_timer = None
        self.packet_sender.send_all(
            self.forwarder.process_waiting(self.process.clock())
        )
        self._schedule_release()

    def _handle_server_packet(
        self, packet: bytes, source: tuple[str, int]
    ) -> None:
        try:
            outgoing = self.forwarder.handle_server_packet(
                packet, self.process.clock()
            )
        except WireError:
            self.context.counters.malformed += 1
            return
        self.packet_sender.send_all(outgoing)

    def _handle_internal(
        self, datagram: bytes, source: tuple[str, int]
    ) -> None:
        self.control_client.receive(datagram, source)

    def _handle_control_message(self, message: object, source: Address) -> None:
        if isinstance(message, FlowSnapshot):
            now = self.process.clock()
            self.lost_flows.handle_snapshot(message, source, now)

    async def _check_server(self) -> None:
        """Find out whether a server that sends nothing has ended.

        While it is not known, a lookup of a flow waits for this agent, and no
        flow of the pool can be declared dead.
        """
        await self.server_reports.check_server_ended(self._local_server.server)
        self.context.silence.record_heard()
        if self.gate.state.has_ended:
            self.control_client.send_to_all()
