"""The replica of a control instance: its disk, its group, its changes."""

import asyncio
import contextlib
from collections.abc import Callable

from redwingstream.consensus import events
from redwingstream.consensus.messages import ReplicaMessage, Voter
from redwingstream.consensus.state import GroupPolicy
from redwingstream.control.replica import Replica, ReplicaEnvironment
from redwingstream.control.replica_factory import open_replica
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
from redwingstream.fleet.fleet_record_store import FleetRecordStore, ServedState
from redwingstream.fleet.outcomes import OutcomeWaiter
from redwingstream.fleet.process import Process, ProcessReady
from redwingstream.packets.flow import Address
from redwingstream.storage.disk import DiskFolder, open_folder
from redwingstream.tables.machine.state_machine import CommandResult
from redwingstream.telemetry.histogram import Histogram

REOPEN_AFTER = 0.5
"""Seconds after which a replica whose disk has failed is opened again."""

HAND_OVER_TIMEOUT = 1.0
"""Seconds that a stopping leader waits for another replica to take over."""

HAND_OVER_POLL_INTERVAL = 0.05
"""Seconds between two checks whether another replica has taken over."""


@event
class RoleChanged:
    """The replica's role in the group has changed."""

    replica_role: str
    term: int
    leader: str
    group: str


@event
class GroupTooSmall:
    """The group has fewer replicas than the tolerated losses require.

    As many lost disks as the settings tolerate may leave it without a
    majority, and an accepted change may be lost.
    """

    replicas: int
    needed: int


@event
class ChangeProposed:
    """The leader proposes a change to the group."""

    what: str
    term: int
    parts: int


@event
class ChangeEnded:
    """A change was accepted, was rejected, or has an unknown outcome."""

    what: str
    outcome: str
    took: float


@event
class DiskLost:
    """The disk has failed; the replica stops until it can be opened."""

    reason: str


@event
class GroupChosen:
    """The first replica group was chosen, and this replica joins it."""

    group: str


class NotLeaderError(RedwingstreamError):
    """Another instance leads, or none does.

    Parameters
    ----------
    leader : str
        Host of the leader; empty when unknown.
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
        Settings, log and clock.
    send : callable
        Sends a message to an address.

    Attributes
    ----------
    replica : Replica or None
        The replica; None without a disk, or while the disk cannot be used.
    fleet_records : FleetRecordStore
        The fleet record on the disk.
    folder : DiskFolder or None
        The data folder; None without a replica.
    sync_seconds : Histogram
        Seconds that writes take to reach the disk.
    change_seconds : Histogram
        Seconds from a change's proposal until it is accepted.
    """

    def __init__(
        self,
        process: Process,
        send: Callable[[object, tuple[str, int]], None],
    ) -> None:
        self.replica: Replica | None = None
        self.fleet_records = FleetRecordStore(process.log.write)
        self.sync_seconds = Histogram()
        self.change_seconds = Histogram()
        self._process = process
        self._send = send
        self._endpoint = process.deployment.internal_endpoint(CONTROL_OFFSET)
        self._identity = 0
        self._reopen_at = process.started_at
        self._folder_stack = contextlib.ExitStack()
        self._logged_role = ''
        self.folder: DiskFolder | None = None
        self._peers: tuple[events.Peer, ...] = ()

    @property
    def replica_name(self) -> ReplicaName | None:
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
        """Open the replica when it is time; advance its timers.

        Parameters
        ----------
        peers : tuple of Peer
            Replicas that run on other instances.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        if self.replica is None:
            self._open(now)
        if self.replica is not None and peers != self._peers:
            self._peers = peers
            self.replica.step(events.PeersUpdated(peers))
        if self.replica is not None:
            self.replica.step(events.Ticked())
            self._log_role(self.replica)

    def write_fleet_record(
        self, controls: tuple[Address, ...], now: float
    ) -> None:
        """Write the fleet record to the disk when it is due."""
        if self.replica is None or self.folder is None:
            return
        machine = self.replica.machine
        served = ServedState(
            controls, machine.state.revision, machine.update_since
        )
        self.fleet_records.write_if_due(self.folder, served, now)

    def receive(self, message: ReplicaMessage) -> None:
        """Handle a message of another replica."""
        if self.replica is not None:
            self.replica.step(events.Received(message))

    def join_first_group(self, founders: tuple[ReplicaName, ...]) -> None:
        """Join the first group if one is chosen and this replica is fresh."""
        if not founders or self.replica is None or not self.is_fresh:
            return
        self._process.log.write(
            GroupChosen(','.join(chosen.name for chosen in founders))
        )
        group = tuple(
            Voter(chosen.name, chosen.identity) for chosen in founders
        )
        self.replica.step(events.GroupFounded(group))

    def leading_replica(self) -> Replica:
        """Return the replica if it leads and knows all accepted changes.

        Raises
        ------
        NotLeaderError
            When another replica leads, or none is known to.
        CallFailedError
            When it was elected only just now.
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

    async def propose_and_wait(
        self, what: str, commands: tuple[object, ...]
    ) -> None:
        """Propose commands in order and wait until the last one is accepted.

        Parameters
        ----------
        what : str
            Description of the change, for the log.
        commands : tuple
            Commands of the replicated state machine.

        Raises
        ------
        NotLeaderError, CallFailedError
            See :meth:`leading_replica`; also when it is not known whether the
            commands will be accepted.
        """
        replica = self.leading_replica()
        started_at = self._process.clock()
        term = replica.consensus.term
        self._process.log.write(ChangeProposed(what, term, len(commands)))
        waiter = OutcomeWaiter()
        outcome = 'unknown'
        try:
            await _propose_all(replica, commands, waiter)
            outcome = 'accepted'
            self.change_seconds.record(self._process.clock() - started_at)
        except RedwingstreamError as error:
            outcome = error.code.name.lower()
            raise
        finally:
            took = round(self._process.clock() - started_at, 4)
            self._process.log.write(ChangeEnded(what, outcome, took))

    async def hand_over(self) -> None:
        """Hand leadership over to another replica before the process ends."""
        replica = self.replica
        if replica is None or not replica.consensus.is_leader:
            return
        deadline = self._process.clock() + HAND_OVER_TIMEOUT
        replica.step(events.HandOverRequested())
        while replica.consensus.is_leader and self._process.clock() < deadline:
            await asyncio.sleep(HAND_OVER_POLL_INTERVAL)

    def close(self) -> None:
        """Close the data folder."""
        self._folder_stack.close()

    def _open(self, now: float) -> None:
        folder = self._process.deployment.data_folder
        if folder is None or now < self._reopen_at:
            return
        self._reopen_at = now + REOPEN_AFTER
        try:
            self._start(
                self._folder_stack.enter_context(
                    open_folder(folder, self.sync_seconds.record)
                )
            )
        except StorageError as error:
            self._handle_disk_error(error)

    def _start(self, folder: DiskFolder) -> None:
        deployment = self._process.deployment
        loop = asyncio.get_running_loop()
        surroundings = ReplicaEnvironment(
            self._send_outgoing,
            loop.time,
            loop.call_soon,
            self._handle_disk_error,
        )
        sizing = GroupPolicy(deployment.group_size, deployment.zone)
        made = open_replica(folder, str(self._endpoint), sizing, surroundings)
        self._identity = made.identity
        self.replica = made.replica
        self.folder = folder
        self.fleet_records.load(folder, self._process.clock())
        self._peers = ()
        after = round(self._process.clock() - self._process.started_at, 3)
        self._process.log.write(ProcessReady(after))

    def _send_outgoing(self, outgoing: events.Outgoing) -> None:
        target = parse_endpoint(outgoing.target).as_pair()
        self._send(outgoing.message, target)

    def _handle_disk_error(self, error: StorageError) -> None:
        # The contents of a file are unknown after an error until it is read
        # again, so the replica restarts from its disk, as after a crash.
        self._process.log.write(DiskLost(str(error)))
        self.replica = None
        self.folder = None
        self._folder_stack.close()
        self._reopen_at = self._process.clock() + REOPEN_AFTER

    def _log_role(self, replica: Replica) -> None:
        consensus = replica.consensus
        voters = consensus.log.group
        group = ','.join(voter.name for voter in voters)
        role = f'{consensus.role_name} {consensus.leader} {group}'
        if role == self._logged_role:
            return
        self._logged_role = role
        self._process.log.write(
            RoleChanged(
                consensus.role_name, consensus.term, consensus.leader, group
            ),
        )
        needed = self._process.deployment.group_size
        if consensus.is_leader and len(voters) < needed:
            self._process.log.write(GroupTooSmall(len(voters), needed))


async def _propose_all(
    replica: Replica, commands: tuple[object, ...], waiter: OutcomeWaiter
) -> None:
    for command in commands[:-1]:
        replica.propose(command, _ignore_outcome)
    replica.propose(commands[-1], waiter.set_outcome)
    await waiter.wait()


def _ignore_outcome(outcome: CommandResult | RedwingstreamError) -> None:
    """Ignore an outcome: that of the last command stands for all."""
