"""The balancer process: sockets and timers around the routing of packets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from redwingstream.directory.inquiry import Inquirer, InquiryResult
from redwingstream.errors import WireError
from redwingstream.fleet.control_client import ControlClient
from redwingstream.fleet.deployment import (
    BALANCER_OFFSET,
    DEFAULT_IDLE_TIMEOUT,
    Deployment,
)
from redwingstream.fleet.packet_sender import PacketSender
from redwingstream.fleet.process import PeriodicTask, Process, ProcessReady
from redwingstream.fleet.routes import (
    log_agents,
    log_tables,
    routes_by_service,
)
from redwingstream.links.upload_link import make_upload_link
from redwingstream.packets.balancer_forwarder import BalancerForwarder
from redwingstream.packets.envelopes import MAGIC, unpack_envelope
from redwingstream.packets.flow import PacketCodec, address_of
from redwingstream.wire.datagrams import open_datagrams

HOUSEKEEPING_INTERVAL = 0.2
"""Seconds between two checks for expired flows and silent agents."""

UNCONFIRMED_TABLES_AFTER = 2.0
"""Seconds after its start from which a balancer serves by tables that are not
confirmed to be the newest: the control instances have no leader then, and
established flows still need a balancer."""

STOP_DELAY = 2.5
"""Seconds for which a balancer keeps forwarding after a request to stop: the
fabric checks readiness twice a second and stops sending packets after two
refusals."""

EXIT_MARGIN = 1.0
"""Seconds before the end of the grace period by which forwarding ends."""


class Balancer:
    """A balancer process.

    Parameters
    ----------
    process : Process
        Settings, log and clock.
    codec : PacketCodec
        Decodes packets.
    """

    def __init__(self, process: Process, codec: PacketCodec) -> None:
        deployment = process.deployment
        self.process = process
        self._ready_logged = False
        own = deployment.internal_endpoint(BALANCER_OFFSET)
        inquirer = Inquirer(
            deployment.seed_addresses, '', process.clock(), process.codec.boot
        )
        self.control_client = ControlClient(
            inquirer, process.codec, self._handle_result, process.log.write
        )
        self.forwarder = BalancerForwarder(
            address_of(own.host, own.port),
            deployment.zone,
            codec,
            inquirer.view,
            process.log.write,
            DEFAULT_IDLE_TIMEOUT,
            make_upload_link(deployment.link_rate, process.log.write),
        )
        self.packet_sender = PacketSender(_port(deployment))
        process.on_reload(
            lambda fresh: self.control_client.apply_seeds(fresh.seed_addresses)
        )

    @property
    def is_ready(self) -> bool:
        """Whether the fabric may send packets to this balancer."""
        if self.process.stopping.is_set() or not self._has_tables:
            return False
        self._log_ready()
        return True

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator['Balancer']:
        """Open the sockets and run until the end of the block."""
        deployment = self.process.deployment
        packets = deployment.listening.packets
        internal = deployment.internal_endpoint(BALANCER_OFFSET)
        with (
            open_datagrams(packets, self._handle_packet) as outside,
            open_datagrams(internal, self._handle_internal) as inside,
        ):
            self.packet_sender.attach(callers=outside, peers=inside)
            self.control_client.attach(inside)
            with (
                self.process.running(
                    PeriodicTask('following', self.control_client.tick),
                    PeriodicTask('housekeeping', self._run_housekeeping),
                ),
                contextlib.closing(self.packet_sender),
            ):
                yield self

    async def prepare_stop(self) -> None:
        """Keep forwarding until the fabric has stopped sending packets."""
        grace = self.process.deployment.grace_seconds
        await asyncio.sleep(max(0, min(STOP_DELAY, grace - EXIT_MARGIN)))

    @property
    def _has_tables(self) -> bool:
        inquirer = self.control_client.inquirer
        if inquirer.history.tables.generation is None:
            return False
        if inquirer.view.is_complete and inquirer.confirmed_at > float('-inf'):
            return True
        age = self.process.clock() - self.process.started_at
        return age >= UNCONFIRMED_TABLES_AFTER

    def _log_ready(self) -> None:
        if not self._ready_logged:
            self._ready_logged = True
            after = self.process.clock() - self.process.started_at
            self.process.log.write(ProcessReady(round(after, 3)))

    def _handle_result(self, result: InquiryResult) -> None:
        inquirer = self.control_client.inquirer
        self.forwarder.routes.confirmed_at = inquirer.confirmed_at
        log_agents(self.process, result.agents)
        if result.has_new_tables:
            self._apply_newest_tables()
        # Newer tables are applied first: by older ones, a flow would be
        # declared dead whose route has since been given the pool that serves
        # it.
        now = self.process.clock()
        self.packet_sender.send_all(self.forwarder.reset_dead_flows(now))
        if result.agents or result.has_new_tables:
            self.packet_sender.send_all(self.forwarder.retry_early(now))

    def _apply_newest_tables(self) -> None:
        inquirer = self.control_client.inquirer
        tables = inquirer.history.tables
        self.forwarder.apply_tables(tables, routes_by_service(tables))
        link = self.forwarder.link
        self.packet_sender.use_scheduler(
            None if link is None else link.scheduler
        )
        if tables.generation is not None:
            self.forwarder.hints.age = tables.generation.idle_timeout
        log_tables(self.process, inquirer)

    def _handle_packet(self, packet: bytes, source: tuple[str, int]) -> None:
        try:
            outgoing = self.forwarder.handle_packet(
                packet, self.process.clock()
            )
        except WireError:
            self.forwarder.counters.malformed += 1
            return
        self.packet_sender.send_all(outgoing)

    def _handle_internal(
        self, datagram: bytes, source: tuple[str, int]
    ) -> None:
        if not datagram or datagram[0] != MAGIC:
            self.control_client.receive(datagram, source)
            return
        try:
            outgoing = self.forwarder.handle_envelope(
                unpack_envelope(datagram),
                address_of(*source),
                self.process.clock(),
            )
        except WireError:
            self.forwarder.counters.malformed += 1
            return
        self.packet_sender.send_all(outgoing)
        self._expedite_inquiries()

    def _expedite_inquiries(self) -> None:
        if self.forwarder.dead_flows.has_unproved:
            self.control_client.expedite()

    def _run_housekeeping(self, now: float) -> float:
        self.packet_sender.send_all(self.forwarder.tick(now))
        self._expedite_inquiries()
        view = self.control_client.inquirer.view
        self.forwarder.trust.retain_only(view.agent_by_address)
        return HOUSEKEEPING_INTERVAL


def _port(deployment: Deployment) -> int:
    packets = deployment.listening.packets
    return 0 if packets is None else packets.port
