"""Everything that a replica knows, and its role."""

import random

import attrs

from redwingstream.consensus.events import (
    Effects,
    HardState,
    Outgoing,
    Peer,
)
from redwingstream.consensus.log import Group, Log, changed_group
from redwingstream.consensus.messages import ReplicaMessage, Voter

DEFAULT_HEARTBEAT = 0.1
DEFAULT_ELECTION_MIN = 0.5
DEFAULT_ELECTION_MAX = 1.0
# A replica that has heard no leader since its start, or whose question whether
# it would be elected had no answer, asks again after such a time.  Asking is
# harmless: nobody's term changes, and who hears a leader says no.  A leader is
# heard each 0.1 s, so one that runs is heard before.
DEFAULT_ASK_MIN = 0.15
DEFAULT_ASK_MAX = 0.35
# Longer than an election and a restarted process take, so that a restart does
# not cost a replica its place; shorter than what users allow a successor to
# catch up (4 s), with the time for two entries left.
DEFAULT_REPLACE_AFTER = 2.5


@attrs.frozen
class Timing:
    """Timeouts in seconds; they detect, and no promise hangs on them.

    Parameters
    ----------
    heartbeat : float
        Between two signs of life of a leader.
    election_min, election_max : float
        A follower that hears no leader stands for election after a random
        time between these; a leader that hears no majority for the longer
        one stops leading.
    ask_min, ask_max : float
        Times between which a replica asks whether it would be elected, while
        it has heard no leader at all.
    """

    heartbeat: float = DEFAULT_HEARTBEAT
    election_min: float = DEFAULT_ELECTION_MIN
    election_max: float = DEFAULT_ELECTION_MAX
    ask_min: float = DEFAULT_ASK_MIN
    ask_max: float = DEFAULT_ASK_MAX


@attrs.frozen
class GroupPolicy:
    """How a group that is not named by the settings chooses its members.

    Parameters
    ----------
    size : int
        How many replicas count; 0 for a group that the settings name.
    zone : str
        This replica's availability zone.
    replace_after : float
        Seconds of silence after which another replica takes a place.
    """

    size: int = 0
    zone: str = ''
    replace_after: float = DEFAULT_REPLACE_AFTER


FIXED_GROUP = GroupPolicy()


@attrs.define
class Follower:
    """Follows a leader, or waits for one.

    Parameters
    ----------
    deadline : float
        When it stands for election.
    leader : str
        Name of the leader; empty when unknown.
    heard_at : float
        When the leader was last heard.
    current_at : float
        When it last held all that its leader knew as accepted, and the leader
        knew all that was accepted before its term.
    """

    deadline: float
    leader: str = ''
    heard_at: float = float('-inf')
    current_at: float = float('-inf')


@attrs.define
class Candidate:
    """Asks for votes.

    Parameters
    ----------
    deadline : float
        When it gives up and tries again.
    pre : bool
        True while it only asks whether it would be elected.
    granted : set of Voter
        Who said yes, itself included.
    """

    deadline: float
    pre: bool
    granted: set[Voter] = attrs.field(factory=set)


@attrs.define
class Progress:
    """What a leader knows of another replica.

    Parameters
    ----------
    following : int
        Index of the next entry to send.
    identity : int
        As it last named itself; 0 before it was heard.
    match : int
        Index up to which its log is known to be the leader's, and synced.
    round : int
        Highest round that it has answered.
    heard_at, sent_at : float
        Times of its last answer and of the last message to it.
    waiting : bool
        True while an answer is outstanding.
    snapshot_offset : int or None
        Where the next part of the snapshot begins; None while it gets
        entries.
    """

    following: int
    identity: int = 0
    match: int = 0
    round: int = 0
    heard_at: float = float('-inf')
    sent_at: float = float('-inf')
    waiting: bool = False
    snapshot_offset: int | None = None


@attrs.frozen
class PendingRead:
    """A read that waits until a majority has answered its round."""

    ticket: int
    round: int


@attrs.define
class Leader:
    """Leads a term.

    Parameters
    ----------
    progress_by_name : dict
        The other replicas.
    first_index : int
        Index of the first entry of its term.
    since : float
        When it was elected.
    synced : int
        Index up to which its own entries are durable.
    round : int
        Number of its current round of messages.
    reads : list of PendingRead
        Oldest first.
    handing_over : bool
        True once it has been told to stop; it takes no commands any more.
    """

    progress_by_name: dict[str, Progress]
    first_index: int
    since: float
    synced: int = 0
    round: int = 1
    reads: list[PendingRead] = attrs.field(factory=list)
    handing_over: bool = False


@attrs.define
class IncomingSnapshot:
    """A leader's snapshot as far as it has arrived."""

    index: int
    term: int
    state: bytearray


@attrs.define
class ReplicaState:
    """Everything that a replica knows.

    Parameters
    ----------
    myself : Voter
        Its name and identity.
    names : tuple of str
        All replicas of the settings, itself included; empty when the group
        is resized among those that are heard.
    sizing : Sizing
        How the group is resized.
    timing : Timing
        Timeouts.
    jitter : random.Random
        Spreads elections.
    log : Log
        Entries and snapshot.
    term, vote
        See :class:`~redwingstream.consensus.events.HardState`.
    commit : int
        Index up to which entries are known as accepted.
    applied : int
        Index up to which they were handed out to be applied.
    role : Follower, Candidate or Leader
        What it does.
    fresh_by_name : dict
        Replicas without a group that were heard, while it has none itself.
    peer_by_name : dict
        Replicas that run now, in a group that is resized.
    incoming : IncomingSnapshot or None
        A snapshot under way.
    next_hello : float
        When it asks for a group again, while it knows none.
    effects : Effects
        What the current step wants done.
    """

    myself: Voter
    names: tuple[str, ...]
    sizing: GroupPolicy
    timing: Timing
    jitter: random.Random
    log: Log
    role: Follower | Candidate | Leader
    term: int = 0
    vote: str = ''
    commit: int = 0
    applied: int = 0
    fresh_by_name: dict[str, Voter] = attrs.field(factory=dict)
    peer_by_name: dict[str, Peer] = attrs.field(factory=dict)
    incoming: IncomingSnapshot | None = None
    next_hello: float = 0
    effects: Effects = attrs.field(factory=Effects)

    @property
    def others(self) -> tuple[str, ...]:
        """Names of the other replicas."""
        if not self.sizing.size:
            return tuple(
                name for name in self.names if name != self.myself.name
            )
        counting = {voter.name for group in self.groups for voter in group}
        return tuple(
            sorted((counting | self.peer_by_name.keys()) - {self.myself.name})
        )

    @property
    def groups(self) -> tuple[Group, ...]:
        """The groups that have to agree; two while a change is under way."""
        group = self.log.group
        joining = self.log.joining
        if joining is None:
            return (group,)
        return (group, changed_group(group, joining))

    def is_voter(self, voter: Voter) -> bool:
        """Whether a replica counts under its present identity."""
        return any(voter in group for group in self.groups)

    def has_place(self, name: str) -> bool:
        """Whether a replica's name has a place, under whichever identity."""
        return any(voter.name == name for voter in self.log.group)

    def send(self, target: str, message: ReplicaMessage) -> None:
        """Have a message sent once this step is durable."""
        self.effects.outgoing.append(Outgoing(target, message))

    def remember(self, term: int, vote: str) -> None:
        """Set term and vote, and have them stored."""
        self.term = term
        self.vote = vote
        self.effects.hard_state = HardState(term, vote)

    def follow(self, now: float, leader: str = '') -> None:
        """Become a follower, or stay one, with a new deadline."""
        heard_at = now if leader else float('-inf')
        deadline = now + self.election_timeout()
        self.role = Follower(deadline, leader, heard_at)

    def election_timeout(self) -> float:
        """Draw a random time in seconds, so that elections seldom collide."""
        timing = self.timing
        return self.jitter.uniform(timing.election_min, timing.election_max)

    def ask_timeout(self) -> float:
        """Draw a random time in seconds until it is asked for votes again."""
        return self.jitter.uniform(self.timing.ask_min, self.timing.ask_max)

    def commit_up_to(self, index: int) -> None:
        """Hand out the entries that are now known as accepted."""
        if index <= self.commit:
            return
        self.commit = index
        wanted = index - self.applied
        fresh = self.log.from_index(self.applied + 1)[:wanted]
        self.effects.committed.extend(fresh)
        self.applied = index
