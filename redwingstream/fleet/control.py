"""The control instance process: sockets and timers around its replica."""

import contextlib
from collections.abc import AsyncIterator

import attrs

from redwingstream.consensus.messages import ReplicaMessage
from redwingstream.directory.agent_directory import AgentDirectory
from redwingstream.directory.control_directory import (
    HELLO_INTERVAL,
    ControlDirectory,
)
from redwingstream.directory.inquiry import Inquirer
from redwingstream.directory.messages import (
    ControlHello,
    FlowSnapshot,
    FlowSnapshotQuery,
    Inquiry,
    Report,
    Status,
    Unchanged,
)
from redwingstream.fleet.control_client import ControlClient
from redwingstream.fleet.deployment import CONTROL_OFFSET
from redwingstream.fleet.events import AgentSilent
from redwingstream.fleet.inquiry_handler import InquiryHandler, TableSource
from redwingstream.fleet.outcomes import OutcomeWaiter
from redwingstream.fleet.process import PeriodicTask, Process
from redwingstream.fleet.replication import Replication
from redwingstream.lost_flows.snapshot_store import SnapshotStore
from redwingstream.packets.flow import (
    Address,
    address_of,
    pair_of,
    text_of,
)
from redwingstream.tables.machine.messages import MarkZone, Replacement
from redwingstream.tables.machine.replacements import split_replacement
from redwingstream.wire.datagrams import DatagramSocket, open_datagrams

TICK_INTERVAL = 0.05
"""Seconds between two ticks of the timers: half of a heartbeat."""


class Control:
    """A control instance process.

    Parameters
    ----------
    process : Process
        Settings, log and clock.

    Attributes
    ----------
    agents : AgentDirectory
        The agents that this instance hears.
    replication : Replication
        The replica of this instance.
    flow_snapshots : SnapshotStore
        Agents' snapshots of the flows of their servers.
    """

    def __init__(self, process: Process) -> None:
        deployment = process.deployment
        endpoint = deployment.internal_endpoint(CONTROL_OFFSET)
        own = address_of(endpoint.host, endpoint.port)
        now = process.clock()
        self.process = process
        self._own_address = own
        self.agents = AgentDirectory()
        self._controls = ControlDirectory(own, deployment.seed_addresses)
        self.replication = Replication(process, self._send)
        self.flow_snapshots = SnapshotStore(process.log.write)
        self._inquiry_handler = InquiryHandler(
            own,
            process.codec.boot,
            now,
            self.agents,
            self._controls,
            self.replication.fleet_records.followers,
        )
        self._inquirer = Inquirer(
            (), '', now, process.codec.boot, wants_agents=False
        )
        self._control_client = ControlClient(
            self._inquirer,
            process.codec,
            lambda result: None,
            process.log.write,
        )
        self._socket: DatagramSocket | None = None
        self._next_hello_at = now
        process.on_reload(
            lambda fresh: self._controls.apply_seeds(fresh.seed_addresses)
        )

    async def replace(self, replacement: Replacement) -> None:
        """Put a whole configuration into force, unless a newer one is.

        Raises
        ------
        NotLeaderError
            When it has to be sent to another instance.
        CallFailedError
            When it is not known whether it will come into force.
        """
        replica = self.replication.leading_replica()
        version = replacement.generation.version
        current = replica.machine.state.generation
        if current is not None and version <= current.version:
            return
        commands = split_replacement(replacement)
        await self.replication.propose_and_wait(f'version {version}', commands)

    async def mark_zone(self, zone: str, *, out: bool) -> None:
        """Take an availability zone out of service or back in.

        Raises
        ------
        NotLeaderError, CallFailedError
            As :meth:`replace`.
        """
        what = f'zone {zone} {"out" if out else "in"}'
        await self.replication.propose_and_wait(what, (MarkZone(zone, out),))

    async def read_document(self) -> bytes:
        """Return the configuration in force as operators wrote it.

        Raises
        ------
        NotLeaderError, CallFailedError
            When another instance has to be asked, or no majority confirms
            which configuration is the newest.
        """
        replica = self.replication.leading_replica()
        waiter = OutcomeWaiter()
        replica.read(waiter.set_outcome)
        await waiter.wait()
        return replica.machine.state.document

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator['Control']:
        """Open socket and disk and run until the end of the block."""
        endpoint = self.process.deployment.internal_endpoint(CONTROL_OFFSET)
        with (
            contextlib.closing(self.replication),
            open_datagrams(endpoint, self.receive) as datagrams,
        ):
            self.attach(datagrams)
            with self.process.running(PeriodicTask('control', self.tick)):
                yield self

    async def prepare_stop(self) -> None:
        """Hand leadership over to another replica."""
        await self.replication.hand_over()

    def table_source(self, now: float) -> TableSource:
        """Return the tables that this instance serves.

        They are those of its replica; the recorded ones while the replica has
        applied older ones; without a replica, those of the other instances.
        """
        replica = self.replication.replica
        if replica is None:
            history = self._inquirer.history
            age = now - self._inquirer.confirmed_at
            return TableSource(
                history.tables.revision, age, history.update_since
            )
        machine = replica.machine
        recorded = self.replication.fleet_records.history
        if machine.state.revision < recorded.tables.revision:
            return TableSource(
                recorded.tables.revision, float('inf'), recorded.update_since
            )
        age = replica.consensus.confirmed_age(now)
        return TableSource(machine.state.revision, age, machine.update_since)

    def attach(self, socket: DatagramSocket) -> None:
        """Set the socket that messages are sent through."""
        self._socket = socket
        self._control_client.attach(socket)

    def tick(self, now: float) -> float:
        """Run what is due.

        Returns
        -------
        float
            Seconds until the next call.
        """
        self.replication.tick(self._controls.peers(now), now)
        self._notify_recorded_processes(now)
        self.replication.write_fleet_record(self._controls.running(now), now)
        self.flow_snapshots.tick(self.replication.folder, now)
        if self.replication.replica is None:
            # An instance without a disk gets the tables from those with one.
            others = self._controls.running(now)[1:]
            self._inquirer.apply_seeds(others, now)
            self._control_client.tick(now)
        if now >= self._next_hello_at:
            self._next_hello_at = now + HELLO_INTERVAL
            self._send_hellos(now)
        for record in self.agents.mark_silent(now):
            silent = AgentSilent(text_of(record.address), record.pool)
            self.process.log.write(silent)
        return TICK_INTERVAL

    def receive(self, datagram: bytes, source: tuple[str, int]) -> None:
        """Handle a datagram of another process."""
        now = self.process.clock()
        match self._control_client.open(datagram):
            case Inquiry() as inquiry:
                self.replication.fleet_records.followers.record_inquiry(
                    address_of(*source), now
                )
                tables = self.table_source(now)
                answer = self._inquiry_handler.answer(inquiry, tables, now)
                self._send(answer, source)
            case ControlHello() as hello:
                self._controls.handle_hello(hello, now)
                self.replication.join_first_group(hello.founding)
            case Report() | Unchanged() | Status() as answer:
                self._control_client.handle_answer(answer)
            case FlowSnapshot() as snapshot:
                self.flow_snapshots.handle_snapshot(snapshot, now)
            case FlowSnapshotQuery() as query:
                self._answer_snapshot_query(query, source, now)
            case message if isinstance(message, ReplicaMessage):
                self.replication.receive(message)

    def _answer_snapshot_query(
        self, query: FlowSnapshotQuery, source: tuple[str, int], now: float
    ) -> None:
        snapshot = self.flow_snapshots.answer(query, now)
        if snapshot is not None:
            self._send(snapshot, source)

    def _notify_recorded_processes(self, now: float) -> None:
        recorded = self.replication.fleet_records.pop_loaded()
        if recorded is None:
            return
        self._controls.record_named(map(Address, recorded.controls), now)
        startup_report = self._inquiry_handler.startup_report(now)
        for address in map(Address, recorded.processes):
            self._send(startup_report, pair_of(address))

    def _send_hellos(self, now: float) -> None:
        hello = ControlHello(
            self._own_address,
            self.process.codec.boot,
            self.process.deployment.zone,
            self.replication.replica_name,
            self.replication.is_fresh,
            controls=self._controls.addresses_to_announce(now),
        )
        if self.process.deployment.is_first_start:
            size = self.process.deployment.group_size
            founders = self._controls.choose_founders(hello, size, now)
            hello = attrs.evolve(hello, founding=founders)
            self.replication.join_first_group(founders)
        for target in self._controls.hello_targets(now):
            self._send(hello, pair_of(target))

    def _send(self, message: object, target: tuple[str, int]) -> None:
        if self._socket is not None:
            self._socket.send(self.process.codec.seal(message), target)
