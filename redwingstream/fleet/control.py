"""The control instance: sockets and timers round replica and registry."""

import contextlib
from collections.abc import AsyncIterator

import attrs

from redwingstream.consensus.messages import ReplicaMessage
from redwingstream.directory.book import AgentBook
from redwingstream.directory.controls import HELLO_EVERY, Controls
from redwingstream.directory.inquiry import Inquirer
from redwingstream.directory.messages import (
    ControlHello,
    Inquiry,
    Report,
    Status,
    Unchanged,
)
from redwingstream.errors import WireError
from redwingstream.fleet.deployment import CONTROL_OFFSET
from redwingstream.fleet.events import AgentSilent
from redwingstream.fleet.following import Following
from redwingstream.fleet.outcomes import Waiter
from redwingstream.fleet.process import Duty, Process
from redwingstream.fleet.registry import Registry, TableSource
from redwingstream.fleet.replication import Replication
from redwingstream.packets.flow import (
    Address,
    address_of,
    pair_of,
    text_of,
)
from redwingstream.tables.machine.messages import MarkZone, Replacement
from redwingstream.tables.machine.replacements import split_replacement
from redwingstream.wire.datagrams import DatagramSocket, open_datagrams

TICK = 0.05
"""Seconds between two looks at timers: half of a heartbeat."""


class Control:
    """One control instance.

    Parameters
    ----------
    process : Process
        Log, clock and stop.
    """

    def __init__(self, process: Process) -> None:
        deployment = process.deployment
        endpoint = deployment.internal(CONTROL_OFFSET)
        own = address_of(endpoint.host, endpoint.port)
        now = process.clock()
        self.process = process
        self._own = own
        self.book = AgentBook()
        self._controls = Controls(own, deployment.seed_addresses)
        self.replication = Replication(process, self._send)
        self._registry = Registry(
            own,
            process.codec.boot,
            now,
            self.book,
            self._controls,
            self.replication.memory.followers,
        )
        self._inquirer = Inquirer(
            (), '', now, process.codec.boot, wants_agents=False
        )
        self._following = Following(
            self._inquirer,
            process.codec,
            lambda learned: None,
            process.log.write,
        )
        self._socket: DatagramSocket | None = None
        self._next_hello = now
        process.when_reloaded(
            lambda fresh: self._controls.follow_seeds(fresh.seed_addresses)
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
        replica = self.replication.leading()
        version = replacement.generation.version
        current = replica.machine.state.generation
        if current is not None and version <= current.version:
            return
        commands = split_replacement(replacement)
        await self.replication.accept(f'version {version}', commands)

    async def mark_zone(self, zone: str, *, out: bool) -> None:
        """Take an availability zone out of service or back in.

        Raises
        ------
        NotLeaderError, CallFailedError
            As :meth:`replace`.
        """
        what = f'zone {zone} {"out" if out else "in"}'
        await self.replication.accept(what, (MarkZone(zone, out),))

    async def read_document(self) -> bytes:
        """Return the configuration in force as operators wrote it.

        Raises
        ------
        NotLeaderError, CallFailedError
            When another instance has to be asked, or nobody can say which
            configuration is the newest.
        """
        replica = self.replication.leading()
        waiter = Waiter()
        replica.read(waiter.take)
        await waiter.wait()
        return replica.machine.state.document

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator['Control']:
        """Open socket and disk and run until the end of the block."""
        endpoint = self.process.deployment.internal(CONTROL_OFFSET)
        with (
            contextlib.closing(self.replication),
            open_datagrams(endpoint, self.receive) as datagrams,
        ):
            self.attach(datagrams)
            with self.process.running(Duty('control', self.tick)):
                yield self

    async def prepare_stop(self) -> None:
        """Hand leadership over."""
        await self.replication.hand_over()

    def table_source(self, now: float) -> TableSource:
        """Return where this instance has its tables from."""
        replica = self.replication.replica
        if replica is None:
            history = self._inquirer.history
            age = now - self._inquirer.confirmed_at
            return TableSource(history.tables.revision, age, history.since)
        machine = replica.machine
        recalled = self.replication.memory.history
        if machine.state.revision < recalled.tables.revision:
            return TableSource(
                recalled.tables.revision, float('inf'), recalled.since
            )
        age = replica.consensus.confirmed_age(now)
        return TableSource(machine.state.revision, age, machine.update_since)

    def attach(self, socket: DatagramSocket) -> None:
        """Send through this socket from now on."""
        self._socket = socket
        self._following.attach(socket)

    def tick(self, now: float) -> float:
        """Do what is due; return in how many seconds to look again."""
        self.replication.tick(self._controls.peers(now), now)
        self._greet_recalled(now)
        self.replication.remember(self._controls.running(now), now)
        if self.replication.replica is None:
            # Without a disk the tables come from those that have one.
            others = self._controls.running(now)[1:]
            self._inquirer.follow_seeds(others, now)
            self._following.tick(now)
        if now >= self._next_hello:
            self._next_hello = now + HELLO_EVERY
            self._say_hello(now)
        for record in self.book.notice_silence(now):
            silent = AgentSilent(text_of(record.address), record.pool)
            self.process.log.write(silent)
        return TICK

    def receive(self, datagram: bytes, source: tuple[str, int]) -> None:
        """Take a datagram of another process."""
        try:
            opened = self.process.codec.open(datagram)
        except WireError:
            self._following.malformed += 1
            return
        now = self.process.clock()
        match opened.payload:
            case Inquiry() as inquiry:
                self.replication.memory.followers.hear(address_of(*source), now)
                tables = self.table_source(now)
                report = self._registry.answer(inquiry, tables, now)
                self._send(report, source)
            case ControlHello() as hello:
                self._controls.hear(hello, now)
                self.replication.found(hello.founding)
            case Report() | Unchanged() | Status() as answer:
                self._following.take(answer)
            case message if isinstance(message, ReplicaMessage):
                self.replication.receive(message)

    def _greet_recalled(self, now: float) -> None:
        recalled = self.replication.memory.pop_recalled()
        if recalled is None:
            return
        self._controls.name(map(Address, recalled.controls), now)
        greeting = self._registry.greeting(now)
        for address in map(Address, recalled.processes):
            self._send(greeting, pair_of(address))

    def _say_hello(self, now: float) -> None:
        hello = ControlHello(
            self._own,
            self.process.codec.boot,
            self.process.deployment.zone,
            self.replication.name,
            self.replication.is_fresh,
            controls=self._controls.to_name(now),
        )
        if self.process.deployment.is_first_start:
            size = self.process.deployment.group_size
            founding = self._controls.choose_founders(hello, size, now)
            hello = attrs.evolve(hello, founding=founding)
            self.replication.found(founding)
        for target in self._controls.targets(now):
            self._send(hello, pair_of(target))

    def _send(self, message: object, target: tuple[str, int]) -> None:
        if self._socket is not None:
            self._socket.send(self.process.codec.seal(message), target)
