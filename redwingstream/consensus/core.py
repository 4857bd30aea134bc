"""The dispatch from events to decisions."""

import random

from redwingstream.consensus import (
    election,
    following,
    hearing,
    joining,
    leading,
    resizing,
)
from redwingstream.consensus.events import (
    Effects,
    Event,
    GroupFounded,
    HandOverRequested,
    HardState,
    PeersUpdated,
    Proposed,
    ReadAsked,
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
    Leader,
    ReplicaState,
    GroupPolicy,
    Timing,
)
from redwingstream.errors import CallFailedError, ResultCode


class Consensus:
    """Decides for one replica; does no I/O and reads no clock.

    Parameters
    ----------
    myself : Voter
        Its name and identity.
    names : tuple of str
        All replicas of the settings, itself included; empty when the group
        is resized among those that are heard.
    timing : Timing
        Timeouts.
    jitter : random.Random
        Spreads elections; seeded by tests.
    now : float
        Time of the start in seconds.
    sizing : Sizing
        How the group is resized; by default it is the one of the settings.

    See Also
    --------
    redwingstream.consensus.events : what goes in and out.
    """

    def __init__(
        self,
        myself: Voter,
        names: tuple[str, ...],
        timing: Timing,
        jitter: random.Random,
        now: float = 0,
        sizing: GroupPolicy = FIXED_GROUP,
    ) -> None:
        role = Follower(now)
        self._state = ReplicaState(
            myself, names, sizing, timing, jitter, Log(), role
        )
        role.deadline = now + self._state.ask_timeout()
        self._state.next_hello = now

    def restore(
        self,
        hard_state: HardState,
        snapshot: Snapshot | None,
        entries: list[Entry],
    ) -> None:
        """Take over what was stored, before the first event."""
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
        """Index up to which entries are known as accepted."""
        return self._state.commit

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term."""
        return isinstance(self._state.role, Leader)

    @property
    def is_ready(self) -> bool:
        """Whether it leads and knows all that was accepted before."""
        match self._state.role:
            case Leader(first_index=first_index):
                return self._state.commit >= first_index
            case _:
                return False

    @property
    def leader(self) -> str:
        """Name of the leader as far as known; empty when not."""
        match self._state.role:
            case Leader():
                return self._state.myself.name
            case Follower(leader=leader):
                return leader
            case _:
                return ''

    @property
    def role_name(self) -> str:
        """The role in words, for dumps."""
        if not self._state.log.group:
            return 'fresh'
        if not self._state.is_voter(self._state.myself):
            return 'learner'
        return type(self._state.role).__name__.lower()

    def confirmed_age(self, now: float) -> float:
        """Return since how many seconds its log may be behind.

        Notes
        -----
        A leader counts from when a majority last answered, a follower from
        when it last held all that its leader called accepted.  A leader that is
        cut off stops leading after ``Timing.election_max``, so a follower that
        is cut off with it may name an age that is too small by so much.

        Neither names one before the leader knows what was accepted before its
        term.  Right after a loss of power all replicas hold what their disks
        held, know none of it as accepted, and would otherwise call empty tables
        the newest: balancers refuse every route then.
        """
        match self._state.role:
            case Leader() as leader if self.is_ready:
                return now - hearing.confirmed_at(self._state, leader, now)
            case Follower(current_at=current_at):
                return now - current_at
            case _:
                return float('inf')

    def propose(self, proposed: Proposed, now: float) -> tuple[int, Effects]:
        """Append a command.

        Returns
        -------
        int, Effects
            Its index, and what has to be done.

        Raises
        ------
        CallFailedError
            ``NOT_LEADER`` when another replica leads or this one stops,
            ``NO_QUORUM`` when too much waits for acceptance.  The command is
            not in the log then.
        """
        role = self._leader_role()
        index = leading.on_proposed(self._state, role, proposed, now)
        if index is None:
            raise CallFailedError(
                'this replica takes no more changes: it stops, or too many '
                'wait for a majority; try again',
                ResultCode.NO_QUORUM,
            )
        return index, self._take_effects()

    def read(self, asked: ReadAsked, now: float) -> Effects:
        """Start a linearizable read; see :meth:`propose` for errors."""
        role = self._leader_role()
        if not leading.on_read(self._state, role, asked.ticket, now):
            raise CallFailedError(
                'too many reads wait for a majority; try again',
                ResultCode.NO_QUORUM,
            )
        return self._take_effects()

    def step(self, event: Event, now: float) -> Effects:
        """Take one event and return what has to be done."""
        state = self._state
        match event:
            case Ticked():
                _tick(state, now)
            case Received(message=message):
                _receive(state, message, now)
            case Synced(index=index):
                _synced(state, index)
            case SnapshotTaken():
                _take_snapshot(state, event)
            case HandOverRequested():
                _hand_over(state)
            case PeersUpdated(peers=peers):
                resizing.note_peers(state, peers)
            case GroupFounded(group=group):
                joining.found(state, group)
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
            'no replica leads as far as this one knows: no majority of the '
            'control instances can be reached, or an election is under way',
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
            leading.on_tick(state, leader, now)
        case Follower(deadline=deadline) if now >= deadline:
            election.campaign(state, now, pre=True)
        case Candidate(deadline=deadline) if now >= deadline:
            election.campaign(state, now, pre=True)


def _look_for_group(state: ReplicaState, now: float) -> None:
    # A group that is resized is founded from outside.
    if now >= state.next_hello and not state.sizing.size:
        state.next_hello = now + state.timing.heartbeat
        joining.look_for_group(state)


def _receive(state: ReplicaState, message: ReplicaMessage, now: float) -> None:
    # In a group that is resized, the sender may have a place that this replica
    # has not heard of yet.
    if not state.sizing.size and message.sender.name not in state.others:
        return
    match message:
        case AppendEntries():
            following.on_entries(state, message, now)
        case SnapshotPart():
            following.on_part(state, message, now)
        case AppendAnswer():
            _append_answered(state, message, now)
        case VoteRequest():
            election.on_request(state, message, now)
        case VoteAnswer():
            election.on_answer(state, message, now)
        case TakeOver():
            election.on_take_over(state, message, now)
        case Hello() if not state.sizing.size:
            joining.on_hello(state, message)


def _append_answered(
    state: ReplicaState, answer: AppendAnswer, now: float
) -> None:
    if answer.term > state.term:
        state.remember(answer.term, '')
        state.follow(now)
        return
    if isinstance(state.role, Leader):
        leading.on_answer(state, state.role, answer, now)


def _synced(state: ReplicaState, index: int) -> None:
    if isinstance(state.role, Leader):
        leading.on_synced(state, state.role, index)


def _take_snapshot(state: ReplicaState, taken: SnapshotTaken) -> None:
    log = state.log
    if taken.index <= log.snapshot_index or log.is_joining_at(taken.index):
        # A snapshot names one group; a change under way ends within moments.
        return
    term = log.term_at(taken.index) or 0
    group = log.group_at(taken.index)
    snapshot = Snapshot(taken.index, term, group, taken.state)
    log.compact(snapshot, taken.kept)
    state.effects.snapshot = snapshot


def _hand_over(state: ReplicaState) -> None:
    if isinstance(state.role, Leader):
        leading.hand_over(state, state.role)
