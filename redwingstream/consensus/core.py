"""Dispatch of events to the modules that decide on them."""

import random

from redwingstream.consensus import (
    election,
    follower_handlers,
    group_changes,
    group_formation,
    leader_contact,
    leader_handlers,
)
from redwingstream.consensus.events import (
    Effects,
    Event,
    GroupFounded,
    HandOverRequested,
    HardState,
    PeersUpdated,
    Proposed,
    ReadRequested,
    Received,
    SnapshotTaken,
    Synced,
    Ticked,
)
from redwingstream.consensus.log import Log
from redwingstream.consensus.messages import (
    AppendAnswer,
    AppendEntries,
    Entry,
    Hello,
    ReplicaMessage,
    Snapshot,
    SnapshotPart,
    TakeOver,
    VoteAnswer,
    Voter,
    VoteRequest,
)
from redwingstream.consensus.state import (
    FIXED_GROUP,
    Candidate,
    Follower,
    GroupPolicy,
    Leader,
    ReplicaState,
    Timing,
)
from redwingstream.errors import CallFailedError, ResultCode


class Consensus:
    """State machine of one Raft replica, without I/O and without a clock.

    Parameters
    ----------
    myself : Voter
        Name and identity of the replica.
    names : tuple of str
        All replicas in the settings, itself included; empty for a resizable
        group.
    timing : Timing
        Timeouts.
    jitter : random.Random
        Draws election timeouts; tests pass a seeded one.
    now : float
        Time of the start in seconds, by the event loop's clock.
    group_policy : GroupPolicy
        How the group chooses its voters; by default the settings list them.

    See Also
    --------
    redwingstream.consensus.events : inputs and effects.
    """

    def __init__(
        self,
        myself: Voter,
        names: tuple[str, ...],
        timing: Timing,
        jitter: random.Random,
        now: float = 0,
        group_policy: GroupPolicy = FIXED_GROUP,
    ) -> None:
        role = Follower(now)
        self._state = ReplicaState(
            myself, names, group_policy, timing, jitter, Log(), role
        )
        role.deadline = now + self._state.pre_vote_timeout()
        self._state.next_hello = now

    def restore(
        self,
        hard_state: HardState,
        snapshot: Snapshot | None,
        entries: list[Entry],
    ) -> None:
        """Load the stored state, before the first event."""
        state = self._state
        state.term = hard_state.term
        state.vote = hard_state.vote
        if snapshot is not None:
            state.log.install(snapshot)
            state.commit = snapshot.index
            state.applied = snapshot.index
        state.log.append(entries)

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self._state.term

    @property
    def hard_state(self) -> HardState:
        """Term and vote."""
        return HardState(self._state.term, self._state.vote)

    @property
    def log(self) -> Log:
        """Entries and snapshot; not to be changed from outside."""
        return self._state.log

    @property
    def commit(self) -> int:
        """Index up to which entries are known to be committed."""
        return self._state.commit

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term."""
        return isinstance(self._state.role, Leader)

    @property
    def is_ready(self) -> bool:
        """Whether it leads and knows all entries committed before its term."""
        match self._state.role:
            case Leader(first_index=first_index):
                return self._state.commit >= first_index
            case _:
                return False

    @property
    def leader(self) -> str:
        """Name of the leader; empty when unknown."""
        match self._state.role:
            case Leader():
                return self._state.myself.name
            case Follower(leader=leader):
                return leader
            case _:
                return ''

    @property
    def role_name(self) -> str:
        """Name of the role, for dumps and log events.

        Notes
        -----
        A follower counts: once it is shown as one, operators may take another
        replica down.  So one whose readmission is not committed yet is still
        shown as a learner.
        """
        state = self._state
        if not state.log.group:
            return 'fresh'
        if not state.is_voter(state.myself):
            return 'learner'
        is_committed = state.myself in state.log.group_at(state.commit)
        if isinstance(state.role, Follower) and not is_committed:
            return 'learner'
        return type(state.role).__name__.lower()

    def confirmed_age(self, now: float) -> float:
        """Return for how many seconds its log may have been behind.

        Notes
        -----
        A leader measures from the last time a majority answered, a follower
        from the last time it held all entries that its leader knew to be
        committed.  A leader that is partitioned steps down after
        ``Timing.election_max``, so the age that a follower on its side of the
        partition returns may be too small by that much.

        The age is infinite until the leader knows what was committed before
        its term.  Right after a power failure all replicas hold what is on
        their disks but know none of it to be committed.  They would otherwise
        report empty tables as the newest, and balancers would refuse every
        route.
        """
        match self._state.role:
            case Leader() as leader if self.is_ready:
                return now - leader_contact.confirmed_at(
                    self._state, leader, now
                )
            case Follower(caught_up_at=caught_up_at):
                return now - caught_up_at
            case _:
                return float('inf')

    def propose(self, proposed: Proposed, now: float) -> tuple[int, Effects]:
        """Append a command.

        Returns
        -------
        int, Effects
            Index of the command, and the effects to carry out.

        Raises
        ------
        CallFailedError
            ``NOT_LEADER`` when another replica leads, ``NO_QUORUM`` when no
            leader is known, this replica is handing over, or too many entries
            are uncommitted.  The command is not in the log then.
        """
        role = self._leader_role()
        index = leader_handlers.on_proposed(self._state, role, proposed, now)
        if index is None:
            raise CallFailedError(
                'this replica accepts no more changes: it is stopping, or too '
                'many wait for a majority; try again',
                ResultCode.NO_QUORUM,
            )
        return index, self._take_effects()

    def read(self, request: ReadRequested, now: float) -> Effects:
        """Start a linearizable read; see :meth:`propose` for errors."""
        role = self._leader_role()
        if not leader_handlers.on_read(self._state, role, request.ticket, now):
            raise CallFailedError(
                'too many reads wait for a majority; try again',
                ResultCode.NO_QUORUM,
            )
        return self._take_effects()

    def step(self, event: Event, now: float) -> Effects:
        """Handle one event and return the effects to carry out."""
        state = self._state
        match event:
            case Ticked():
                _tick(state, now)
            case Received(message=message):
                _receive(state, message, now)
            case Synced(index=index):
                _synced(state, index)
            case SnapshotTaken():
                _compact_log(state, event)
            case HandOverRequested():
                _hand_over(state)
            case PeersUpdated(peers=peers):
                group_changes.record_peers(state, peers)
            case GroupFounded(group=group):
                group_formation.adopt_founding_group(state, group)
        return self._take_effects()

    def _leader_role(self) -> Leader:
        role = self._state.role
        if isinstance(role, Leader):
            return role
        if self.leader:
            raise CallFailedError(
                f'this replica does not lead; {self.leader} does',
                ResultCode.NOT_LEADER,
            )
        raise CallFailedError(
            'no leader is known to this replica: no majority of the control '
            'instances can be reached, or an election is in progress',
            ResultCode.NO_QUORUM,
        )

    def _take_effects(self) -> Effects:
        effects = self._state.effects
        self._state.effects = Effects()
        return effects


def _tick(state: ReplicaState, now: float) -> None:
    if not state.log.group:
        _look_for_group(state, now)
        return
    match state.role:
        case Leader() as leader:
            leader_handlers.on_tick(state, leader, now)
        case Follower(deadline=deadline) if now >= deadline:
            election.campaign(state, now, pre=True)
        case Candidate(deadline=deadline) if now >= deadline:
            election.campaign(state, now, pre=True)


def _look_for_group(state: ReplicaState, now: float) -> None:
    # The first voters of a resizable group are chosen by the driver.
    if now >= state.next_hello and not state.group_policy.size:
        state.next_hello = now + state.timing.heartbeat
        group_formation.look_for_group(state)


def _receive(state: ReplicaState, message: ReplicaMessage, now: float) -> None:
    # In a resizable group the sender may have become a voter by an entry that
    # this replica has not received yet.
    if not state.group_policy.size and message.sender.name not in state.others:
        return
    match message:
        case AppendEntries():
            follower_handlers.on_entries(state, message, now)
        case SnapshotPart():
            follower_handlers.on_snapshot_part(state, message, now)
        case AppendAnswer():
            _append_answered(state, message, now)
        case VoteRequest():
            election.on_request(state, message, now)
        case VoteAnswer():
            election.on_answer(state, message, now)
        case TakeOver():
            election.on_take_over(state, message, now)
        case Hello() if not state.group_policy.size:
            group_formation.on_hello(state, message)


def _append_answered(
    state: ReplicaState, answer: AppendAnswer, now: float
) -> None:
    if answer.term > state.term:
        state.store_vote(answer.term, '')
        state.become_follower(now)
        return
    if isinstance(state.role, Leader):
        leader_handlers.on_answer(state, state.role, answer, now)


def _synced(state: ReplicaState, index: int) -> None:
    if isinstance(state.role, Leader):
        leader_handlers.on_synced(state, state.role, index)


def _compact_log(state: ReplicaState, taken: SnapshotTaken) -> None:
    log = state.log
    if taken.index <= log.snapshot_index or log.is_joining_at(taken.index):
        # A snapshot holds one group only; the change ends within moments.
        return
    term = log.term_at(taken.index) or 0
    group = log.group_at(taken.index)
    snapshot = Snapshot(taken.index, term, group, taken.state)
    log.compact(snapshot, taken.kept_entries)
    state.effects.snapshot = snapshot


def _hand_over(state: ReplicaState) -> None:
    if isinstance(state.role, Leader):
        leader_handlers.hand_over(state, state.role)
