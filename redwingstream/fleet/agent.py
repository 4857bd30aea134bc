"""The agent: sockets and timers round the carrying of packets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from redwingstream.directory.inquiry import Inquirer, Learned
from redwingstream.directory.messages import AgentRecord
from redwingstream.errors import SettingError, WireError
from redwingstream.fleet.deployment import (
    AGENT_OFFSET,
    DEFAULT_IDLE_TIMEOUT,
    LocalServer,
)
from redwingstream.fleet.following import Following
from redwingstream.fleet.process import Duty, Process
from redwingstream.fleet.reporting import Reporting
from redwingstream.fleet.routes import (
    note_agents,
    note_tables,
    routes_by_service,
)
from redwingstream.fleet.packet_sender import PacketSender
from redwingstream.openings.gate import Gate, PoolRules
from redwingstream.packets.agent_forwarder import AgentForwarder
from redwingstream.packets.envelopes import unpack_envelope
from redwingstream.packets.flow import PacketCodec, address_of
from redwingstream.packets.agent_flows import AgentFlows
from redwingstream.packets.agent_context import AgentLocation, AgentContext
from redwingstream.tables.snapshot import Tables
from redwingstream.wire.datagrams import open_datagrams

REPEAT_AFTER = 0.05
"""Seconds until a stopping agent repeats its last record, in case a datagram is
lost."""

HOUSEKEEPING = 0.25
"""Seconds between two looks at old flows."""

RELEASE_EVERY = 0.02
"""Seconds between two looks at new flows that wait: half of the time in which a
server ends a request."""


class Agent:
    """One agent.

    Parameters
    ----------
    process : Process
        Log, clock and stop.
    codec : PacketCodec
        Reads packets.
    """

    def __init__(self, process: Process, codec: PacketCodec) -> None:
        deployment = process.deployment
        beside = deployment.local_server
        packets = deployment.listening.packets
        if beside is None or packets is None:
            raise SettingError(
                'an agent needs a server beside it and an address for '
                'packets; the settings name none',
            )
        self.process = process
        self._beside: LocalServer = beside
        self._sequence = 0
        self._releasing: asyncio.TimerHandle | None = None
        self._address = address_of(packets.host, packets.port)
        inquirer = Inquirer(
            deployment.seed_addresses,
            beside.pool,
            process.clock(),
            process.codec.boot,
        )
        self.gate = Gate(
            deployment.cold_limit,
            deployment.report_interval,
            process.started_at,
        )
        self.following = Following(
            inquirer,
            process.codec,
            self._learn,
            process.log.write,
            self._make_record,
        )
        self.context = AgentContext(
            AgentLocation(self._address, deployment.zone, beside.pool),
            codec,
            self.gate,
            inquirer.view,
            AgentFlows(DEFAULT_IDLE_TIMEOUT, deployment.max_flow_age),
            process.log.write,
        )
        self.forwarder = AgentForwarder(self.context, process.started_at)
        self.server_reports = Reporting(
            process,
            beside.pool,
            self.gate,
            self.context.flows,
            self.following.tell_all,
        )
        self.outlet = PacketSender(packets.port, beside.server)
        process.when_reloaded(
            lambda fresh: self.following.follow_seeds(fresh.seed_addresses)
        )

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator['Agent']:
        """Open the sockets and run until the end of the block."""
        deployment = self.process.deployment
        with (
            open_datagrams(
                deployment.listening.packets, self._take_packet
            ) as packets,
            open_datagrams(
                deployment.listening.outbound, self._take_from_server
            ),
            open_datagrams(
                deployment.internal(AGENT_OFFSET), self._take_internal
            ) as inside,
        ):
            self.outlet.attach(callers=packets, peers=packets)
            self.following.attach(inside)
            with self.process.running(
                Duty('following', self.following.tick),
                Duty('housekeeping', self._keep_house),
            ):
                yield self

    async def prepare_stop(self) -> None:
        """Report to the control instances whether the server has ended.

        A flow is declared dead only once every agent that may hold it has
        answered.  A stopped agent does not answer, so it must be excluded if
        its server has ended.
        """
        await self.server_reports.check_server_ended(self._beside.server)
        self.following.tell_all()
        await asyncio.sleep(REPEAT_AFTER)
        self.following.tell_all()

    def _make_record(self) -> AgentRecord:
        now = self.process.clock()
        self._sequence += 1
        return AgentRecord(
            self._address,
            self.process.deployment.zone,
            self._beside.pool,
            self.process.codec.boot,
            self._sequence,
            self.gate.state.readiness,
            self.gate.is_cold(now),
        )

    def _learn(self, learned: Learned) -> None:
        inquirer = self.following.inquirer
        note_agents(self.process, learned.agents)
        if not learned.has_new_tables:
            return
        tables = inquirer.history.tables
        self.context.refusals.revision = tables.revision
        if tables.generation is not None:
            self.context.flows.extend_idle_timeout(
                tables.generation.idle_timeout
            )
        self._set_around(tables)
        note_tables(self.process, inquirer)

    def _set_around(self, tables: Tables) -> None:
        around = PoolRules.from_tables(
            tables, self._beside.pool, self.process.deployment.zone
        )
        if self.gate.rules.is_zone_out and not around.is_zone_out:
            self.gate.assume_cold(self.process.clock())
        self.gate.rules = around
        self.context.timeout_by_service = {
            service: route.rules.timeout
            for service, route in routes_by_service(tables).items()
            if self._beside.pool in route.pools
        }

    def _take_packet(self, datagram: bytes, source: tuple[str, int]) -> None:
        try:
            sending = self.forwarder.handle_envelope(
                unpack_envelope(datagram),
                address_of(*source),
                self.process.clock(),
            )
        except WireError:
            self.context.counters.malformed += 1
            return
        self.outlet.send_all(sending)
        self._release_soon()

    def _release_soon(self) -> None:
        if len(self.context.waiting) and self._releasing is None:
            loop = asyncio.get_running_loop()
            self._releasing = loop.call_later(RELEASE_EVERY, self._release)

    def _release(self) -> None:
        self._releasing = None
        self.outlet.send_all(
            self.forwarder.process_waiting(self.process.clock())
        )
        self._release_soon()

    def _take_from_server(self, packet: bytes, source: tuple[str, int]) -> None:
        try:
            sending = self.forwarder.handle_server_packet(
                packet, self.process.clock()
            )
        except WireError:
            self.context.counters.malformed += 1
            return
        self.outlet.send_all(sending)

    def _take_internal(self, datagram: bytes, source: tuple[str, int]) -> None:
        self.following.receive(datagram, source)

    def _keep_house(self, now: float) -> float:
        self.outlet.send_all(self.forwarder.tick(now))
        return HOUSEKEEPING
