"""The replica of a control instance: its disk, its group, its changes."""

import asyncio
import contextlib
from collections.abc import Callable

from redwingstream.consensus import events
from redwingstream.consensus.messages import ReplicaMessage, Voter
from redwingstream.consensus.state import Sizing
from redwingstream.control.opening import make_replica
from redwingstream.control.replica import Replica, Surroundings
from redwingstream.directory.messages import ReplicaName
from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import (
    CallFailedError,
    RedwingstreamError,
    ResultCode,
    StorageError,
)
from redwingstream.eventlog.lines import event
from redwingstream.fleet.deployment import CONTROL_OFFSET
from redwingstream.fleet.outcomes import Waiter
from redwingstream.fleet.process import Process, ProcessReady
from redwingstream.fleet.recalling import FleetMemory, Served
from redwingstream.packets.flow import Address
from redwingstream.storage.disk import DiskFolder, open_folder
from redwingstream.tables.machine.machine import Outcome
from redwingstream.telemetry.histogram import Histogram

REOPEN_AFTER = 0.5
"""Seconds after which a replica whose disk has failed is opened again."""

HAND_OVER_TIMEOUT = 1.0
"""Seconds that a leader that stops waits for another one to take over."""

HAND_OVER_POLL = 0.05
"""Seconds between two looks whether it has."""


@event
class RoleChanged:
    """The replica's role in the group has changed."""

    replica_role: str
    term: int
    leader: str
    group: str


@event
class ChangeProposed:
    """A change was taken by the leader."""

    what: str
    term: int
    parts: int


@event
class ChangeEnded:
    """What became of a change."""

    what: str
    outcome: str
    took: float


@event
class DiskLost:
    """The replica's disk has failed; the replica stops until it is back."""

    reason: str


@event
class GroupChosen:
    """The first group was chosen, and this replica is in it."""

    group: str


class NotLeaderError(RedwingstreamError):
    """Another instance leads, or none does.

    Parameters
    ----------
    leader : str
        Host of the one that leads; empty when unknown.
    """

    default_code = ResultCode.NOT_LEADER

    def __init__(self, leader: str) -> None:
        super().__init__(f'this instance does not lead; {leader or "?"} does')
        self.leader = leader


class Replication:
    """The replica of a control instance, while its disk can be used.

    Parameters
    ----------
    process : Process
        Log, clock and stop.
    send : callable
        Sends a message to a process.
    """

    def __init__(
        self,
        process: Process,
        send: Callable[[object, tuple[str, int]], None],
    ) -> None:
        self.replica: Replica | None = None
        self.memory = FleetMemory(process.log.write)
        self.sync_seconds = Histogram()
        self.change_seconds = Histogram()
        self._process = process
        self._send = send
        self._endpoint = process.deployment.internal(CONTROL_OFFSET)
        self._identity = 0
        self._reopen_at = process.started_at
        self._folders = contextlib.ExitStack()
        self._role = ''
        self._folder: DiskFolder | None = None
        self._peers: tuple[events.Peer, ...] = ()

    @property
    def name(self) -> ReplicaName | None:
        """Name and identity of the replica; None while there is none."""
        if self.replica is None:
            return None
        return ReplicaName(str(self._endpoint), self._identity)

    @property
    def is_fresh(self) -> bool:
        """Whether the replica may be in the first group."""
        if self.replica is None or not self._process.deployment.is_first_start:
            return False
        return not self.replica.consensus.log.group

    def tick(self, peers: tuple[events.Peer, ...], now: float) -> None:
        """Open the replica when it is time; let it look at its timers."""
        if self.replica is None:
            self._open(now)
        if self.replica is not None and peers != self._peers:
            self._peers = peers
            self.replica.step(events.PeersHeard(peers))
        if self.replica is not None:
            self.replica.step(events.Ticked())
            self._note_role(self.replica)

    def remember(self, controls: tuple[Address, ...], now: float) -> None:
        """Keep on the disk who is served, and by which tables."""
        if self.replica is None or self._folder is None:
            return
        machine = self.replica.machine
        served = Served(controls, machine.state.revision, machine.update_since)
        self.memory.keep(self._folder, served, now)

    def receive(self, message: ReplicaMessage) -> None:
        """Take a message of another replica."""
        if self.replica is not None:
            self.replica.step(events.Received(message))

    def found(self, founding: tuple[ReplicaName, ...]) -> None:
        """Join the first group, if it is chosen and this replica is in it."""
        if not founding or self.replica is None or not self.is_fresh:
            return
        self._process.log.write(
            GroupChosen(','.join(chosen.name for chosen in founding))
        )
        group = tuple(
            Voter(chosen.name, chosen.identity) for chosen in founding
        )
        self.replica.step(events.GroupFounded(group))

    def leading(self) -> Replica:
        """Return the replica when it leads and knows all that was accepted.

        Raises
        ------
        NotLeaderError
            When another one leads, or nobody as far as this one knows.
        CallFailedError
            When it was elected just now.
        """
        replica = self.replica
        if replica is None:
            raise NotLeaderError('')
        consensus = replica.consensus
        if not consensus.is_leader:
            name = consensus.leader
            raise NotLeaderError(parse_endpoint(name).host if name else '')
        if not consensus.is_ready:
            raise CallFailedError(
                'the leader has just been elected and does not know yet what '
                'was accepted before; try again',
                ResultCode.NO_QUORUM,
            )
        return replica

    async def accept(self, what: str, commands: tuple[object, ...]) -> None:
        """Have commands accepted, in order, and wait for the last one.

        Raises
        ------
        NotLeaderError, CallFailedError
            See :meth:`leading`; also when it is not known whether the commands
            will be accepted.
        """
        replica = self.leading()
        begun = self._process.clock()
        term = replica.consensus.term
        self._process.log.write(ChangeProposed(what, term, len(commands)))
        waiter = Waiter()
        outcome = 'unknown'
        try:
            await _propose_all(replica, commands, waiter)
            outcome = 'accepted'
            self.change_seconds.note(self._process.clock() - begun)
        except RedwingstreamError as error:
            outcome = error.code.name.lower()
            raise
        finally:
            took = round(self._process.clock() - begun, 4)
            self._process.log.write(ChangeEnded(what, outcome, took))

    async def hand_over(self) -> None:
        """Hand leadership over before the process ends."""
        replica = self.replica
        if replica is None or not replica.consensus.is_leader:
            return
        deadline = self._process.clock() + HAND_OVER_TIMEOUT
        replica.step(events.HandOverAsked())
        while replica.consensus.is_leader and self._process.clock() < deadline:
            await asyncio.sleep(HAND_OVER_POLL)

    def close(self) -> None:
        """Close the data folder."""
        self._folders.close()

    def _open(self, now: float) -> None:
        folder = self._process.deployment.data_folder
        if folder is None or now < self._reopen_at:
            return
        self._reopen_at = now + REOPEN_AFTER
        try:
            self._start(
                self._folders.enter_context(
                    open_folder(folder, self.sync_seconds.note)
                )
            )
        except StorageError as error:
            self._fail(error)

    def _start(self, folder: DiskFolder) -> None:
        deployment = self._process.deployment
        loop = asyncio.get_running_loop()
        around = Surroundings(
            self._send_outgoing, loop.time, loop.call_soon, self._fail
        )
        sizing = Sizing(deployment.group_size, deployment.zone)
        made = make_replica(folder, str(self._endpoint), sizing, around)
        self._identity = made.identity
        self.replica = made.replica
        self._folder = folder
        self.memory.recall(folder, self._process.clock())
        self._peers = ()
        after = round(self._process.clock() - self._process.started_at, 3)
        self._process.log.write(ProcessReady(after))

    def _send_outgoing(self, outgoing: events.Outgoing) -> None:
        target = parse_endpoint(outgoing.target).as_pair()
        self._send(outgoing.message, target)

    def _fail(self, error: StorageError) -> None:
        # What a file holds after an error is known only after it has been read
        # afresh, so the replica begins again from its disk, as after a crash.
        self._process.log.write(DiskLost(str(error)))
        self.replica = None
        self._folder = None
        self._folders.close()
        self._reopen_at = self._process.clock() + REOPEN_AFTER

    def _note_role(self, replica: Replica) -> None:
        consensus = replica.consensus
        group = ','.join(voter.name for voter in consensus.log.group)
        role = f'{consensus.role_name} {consensus.leader} {group}'
        if role == self._role:
            return
        self._role = role
        self._process.log.write(
            RoleChanged(
                consensus.role_name, consensus.term, consensus.leader, group
            ),
        )


async def _propose_all(
    replica: Replica, commands: tuple[object, ...], waiter: Waiter
) -> None:
    for command in commands[:-1]:
        replica.propose(command, _leave_to_last)
    replica.propose(commands[-1], waiter.take)
    await waiter.wait()


def _leave_to_last(outcome: Outcome | RedwingstreamError) -> None:
    """Take no notice: the outcome of the last command tells of all."""
