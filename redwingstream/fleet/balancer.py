"""The balancer: sockets and timers round the steering of packets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from redwingstream.directory.inquiry import Inquirer, Learned
from redwingstream.errors import WireError
from redwingstream.fleet.deployment import (
    BALANCER_OFFSET,
    DEFAULT_IDLE_TIMEOUT,
    Deployment,
)
from redwingstream.fleet.following import Following
from redwingstream.fleet.process import Duty, Process, ProcessReady
from redwingstream.fleet.routes import (
    note_agents,
    note_tables,
    routes_by_service,
)
from redwingstream.fleet.packet_sender import PacketSender
from redwingstream.packets.envelopes import MAGIC, unpack_envelope
from redwingstream.packets.flow import PacketCodec, address_of
from redwingstream.packets.balancer_forwarder import BalancerForwarder
from redwingstream.wire.datagrams import open_datagrams

HOUSEKEEPING = 0.2
"""Seconds between two looks at old flows and silent agents."""

UNCONFIRMED_AFTER = 2.0
"""Seconds after its start from which a balancer serves by tables of which
nobody knows whether they are the newest: the control instances have no leader
then, and open flows need somebody."""

LEAVING = 2.5
"""Seconds for which a balancer goes on forwarding when it is asked to stop: the
fabric asks twice a second and takes it out after two refusals."""

EXIT_MARGIN = 1.0
"""Seconds before the end of the grace period by which it has stopped."""


class Balancer:
    """One balancer.

    Parameters
    ----------
    process : Process
        Log, clock and stop.
    codec : PacketCodec
        Reads packets.
    """

    def __init__(self, process: Process, codec: PacketCodec) -> None:
        deployment = process.deployment
        self.process = process
        self._ready_logged = False
        own = deployment.internal(BALANCER_OFFSET)
        inquirer = Inquirer(
            deployment.seed_addresses, '', process.clock(), process.codec.boot
        )
        self.following = Following(
            inquirer, process.codec, self._learn, process.log.write
        )
        self.forwarder = BalancerForwarder(
            address_of(own.host, own.port),
            deployment.zone,
            codec,
            inquirer.view,
            process.log.write,
            DEFAULT_IDLE_TIMEOUT,
        )
        self.outlet = PacketSender(_port(deployment))
        process.when_reloaded(
            lambda fresh: self.following.follow_seeds(fresh.seed_addresses)
        )

    @property
    def is_ready(self) -> bool:
        """Whether it may be sent packets."""
        if self.process.stopping.is_set() or not self._has_tables:
            return False
        self._note_ready()
        return True

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator['Balancer']:
        """Open the sockets and run until the end of the block."""
        deployment = self.process.deployment
        packets = deployment.listening.packets
        internal = deployment.internal(BALANCER_OFFSET)
        with (
            open_datagrams(packets, self._take_packet) as outside,
            open_datagrams(internal, self._take_internal) as inside,
        ):
            self.outlet.attach(callers=outside, peers=inside)
            self.following.attach(inside)
            with self.process.running(
                Duty('following', self.following.tick),
                Duty('housekeeping', self._keep_house),
            ):
                yield self

    async def prepare_stop(self) -> None:
        """Go on forwarding until the fabric has taken this balancer out."""
        grace = self.process.deployment.grace_seconds
        await asyncio.sleep(max(0, min(LEAVING, grace - EXIT_MARGIN)))

    @property
    def _has_tables(self) -> bool:
        inquirer = self.following.inquirer
        if inquirer.history.tables.generation is None:
            return False
        if inquirer.view.is_complete and inquirer.confirmed_at > float('-inf'):
            return True
        age = self.process.clock() - self.process.started_at
        return age >= UNCONFIRMED_AFTER

    def _note_ready(self) -> None:
        if not self._ready_logged:
            self._ready_logged = True
            after = self.process.clock() - self.process.started_at
            self.process.log.write(ProcessReady(round(after, 3)))

    def _learn(self, learned: Learned) -> None:
        inquirer = self.following.inquirer
        self.forwarder.routes.confirmed_at = inquirer.confirmed_at
        note_agents(self.process, learned.agents)
        if learned.has_new_tables:
            self._go_by_newest()
        # Newer tables come first: by older ones a flow of a pool that serves
        # its route since is taken for dead.
        now = self.process.clock()
        self.outlet.send_all(self.forwarder.reset_dead_flows(now))
        if learned.agents or learned.has_new_tables:
            self.outlet.send_all(self.forwarder.retry_early(now))

    def _go_by_newest(self) -> None:
        inquirer = self.following.inquirer
        tables = inquirer.history.tables
        self.forwarder.apply_tables(tables, routes_by_service(tables))
        if tables.generation is not None:
            self.forwarder.hints.age = tables.generation.idle_timeout
        note_tables(self.process, inquirer)

    def _take_packet(self, packet: bytes, source: tuple[str, int]) -> None:
        try:
            sending = self.forwarder.handle_packet(packet, self.process.clock())
        except WireError:
            self.forwarder.counters.malformed += 1
            return
        self.outlet.send_all(sending)

    def _take_internal(self, datagram: bytes, source: tuple[str, int]) -> None:
        if not datagram or datagram[0] != MAGIC:
            self.following.receive(datagram, source)
            return
        try:
            sending = self.forwarder.handle_envelope(
                unpack_envelope(datagram),
                address_of(*source),
                self.process.clock(),
            )
        except WireError:
            self.forwarder.counters.malformed += 1
            return
        self.outlet.send_all(sending)
        self._hurry()

    def _hurry(self) -> None:
        if self.forwarder.dead_flows.has_unproved:
            self.following.hurry()

    def _keep_house(self, now: float) -> float:
        self.outlet.send_all(self.forwarder.tick(now))
        self._hurry()
        view = self.following.inquirer.view
        self.forwarder.trust.retain_only(view.agent_by_address)
        return HOUSEKEEPING


def _port(deployment: Deployment) -> int:
    packets = deployment.listening.packets
    return 0 if packets is None else packets.port
