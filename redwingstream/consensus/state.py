"""State of a replica, and its role."""

import random

import attrs

from redwingstream.consensus.events import (
    Effects,
    HardState,
    Outgoing,
    Peer,
)
from redwingstream.consensus.log import Group, Log, apply_group_change
from redwingstream.consensus.messages import ReplicaMessage, Voter

DEFAULT_HEARTBEAT = 0.1
DEFAULT_ELECTION_MIN = 0.5
DEFAULT_ELECTION_MAX = 1.0
# Time until the next pre-vote of a replica that has heard no leader since its
# start, or whose last pre-vote was not answered.  A pre-vote is harmless: it
# changes no term, and replicas that hear a leader refuse it.  A leader sends a
# heartbeat every 0.1 s, so a running one is heard before this time is over.
DEFAULT_ASK_MIN = 0.15
DEFAULT_ASK_MAX = 0.35
# Longer than an election and the restart of a process, so that a voter is not
# replaced because of a restart.  Shorter than the 4 s that users allow until a
# successor has caught up, with time left to commit two entries.
DEFAULT_REPLACE_AFTER = 2.5


@attrs.frozen
class Timing:
    """Timeouts in seconds; they affect liveness only, not safety.

    Parameters
    ----------
    heartbeat : float
        Interval between two heartbeats of a leader.
    election_min, election_max : float
        A follower that hears no leader starts an election after a random
        time between these; a leader that hears no majority for the longer
        one steps down.
    ask_min, ask_max : float
        A replica that has heard no leader repeats its pre-vote after a random
        time between these.
    """

    heartbeat: float = DEFAULT_HEARTBEAT
    election_min: float = DEFAULT_ELECTION_MIN
    election_max: float = DEFAULT_ELECTION_MAX
    ask_min: float = DEFAULT_ASK_MIN
    ask_max: float = DEFAULT_ASK_MAX


@attrs.frozen
class GroupPolicy:
    """How a group that the settings do not list chooses its voters.

    Parameters
    ----------
    size : int
        Number of voters; 0 for a fixed group that the settings list.
    zone : str
        This replica's availability zone.
    replace_after : float
        Seconds of silence after which another replica replaces a voter.
    """

    size: int = 0
    zone: str = ''
    replace_after: float = DEFAULT_REPLACE_AFTER


FIXED_GROUP = GroupPolicy()


@attrs.define
class Follower:
    """Role of a replica that follows a leader, or waits for one.

    Parameters
    ----------
    deadline : float
        Time in seconds at which it starts a pre-vote.
    leader : str
        Name of the leader; empty when unknown.
    heard_at : float
        Time in seconds at which the leader was last heard.
    caught_up_at : float
        Time in seconds at which it last held all entries that its leader knew
        to be committed, while the leader knew all that were committed before
        its term.
    """

    deadline: float
    leader: str = ''
    heard_at: float = float('-inf')
    caught_up_at: float = float('-inf')


@attrs.define
class Candidate:
    """Role of a replica that asks for votes.

    Parameters
    ----------
    deadline : float
        Time in seconds at which it gives up and tries again.
    pre : bool
        True during a pre-vote, which only asks whether it would be elected.
    granted : set of Voter
        Replicas that granted their vote, itself included.
    """

    deadline: float
    pre: bool
    granted: set[Voter] = attrs.field(factory=set)


@attrs.define
class Progress:
    """What a leader knows about another replica.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.
    identity : int
        Identity in its last answer; 0 before it has answered.
    match_index : int
        Index up to which its log is known to equal the leader's, and synced.
    answered_round : int
        Highest round that it has answered.
    heard_at, sent_at : float
        Times in seconds of its last answer and of the last message to it.
    awaits_answer : bool
        True while its answer to the last message is outstanding.
    snapshot_offset : int or None
        Position in bytes of the next part of the snapshot to send; None while
        entries are sent.
    """

    next_index: int
    identity: int = 0
    match_index: int = 0
    answered_round: int = 0
    heard_at: float = float('-inf')
    sent_at: float = float('-inf')
    awaits_answer: bool = False
    snapshot_offset: int | None = None


@attrs.frozen
class PendingRead:
    """A read that waits until a majority has answered its round."""

    ticket: int
    round: int


@attrs.define
class Leader:
    """Role of the leader of a term.

    Parameters
    ----------
    progress_by_name : dict
        Progress of each other replica.
    first_index : int
        Index of the first entry of its term.
    elected_at : float
        Time in seconds at which it was elected.
    synced_index : int
        Index up to which its own entries are durable.
    round : int
        Number of its current round of messages.
    reads : list of PendingRead
        Reads that wait for a majority, oldest first.
    handing_over : bool
        True once it hands its leadership over; it rejects commands then.
    """

    progress_by_name: dict[str, Progress]
    first_index: int
    elected_at: float
    synced_index: int = 0
    round: int = 1
    reads: list[PendingRead] = attrs.field(factory=list)
    handing_over: bool = False


@attrs.define
class IncomingSnapshot:
    """The received parts of a leader's snapshot."""

    index: int
    term: int
    state: bytearray


@attrs.define
class ReplicaState:
    """All state of a replica.

    Parameters
    ----------
    myself : Voter
        Its name and identity.
    names : tuple of str
        All replicas in the settings, itself included; empty for a resizable
        group.
    group_policy : GroupPolicy
        How the group chooses its voters.
    timing : Timing
        Timeouts.
    jitter : random.Random
        Draws election timeouts.
    log : Log
        Entries and snapshot.
    term, vote
        See :class:`~redwingstream.consensus.events.HardState`.
    commit : int
        Index up to which entries are known to be committed.
    applied : int
        Index up to which entries were passed to the driver to be applied.
    role : Follower, Candidate or Leader
        Its role in the current term.
    fresh_by_name : dict
        Replicas without a group that were heard, while it has none itself.
    peer_by_name : dict
        Other replicas that run now, for a resizable group.
    incoming : IncomingSnapshot or None
        A snapshot that is being received.
    next_hello : float
        Time in seconds at which it asks for the group again, while it knows
        none.
    effects : Effects
        Effects collected during the current step.
    """

    myself: Voter
    names: tuple[str, ...]
    group_policy: GroupPolicy
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
        if not self.group_policy.size:
            return tuple(
                name for name in self.names if name != self.myself.name
            )
        voters = {voter.name for group in self.groups for voter in group}
        return tuple(
            sorted((voters | self.peer_by_name.keys()) - {self.myself.name})
        )

    @property
    def groups(self) -> tuple[Group, ...]:
        """Groups that have to agree; two while a change is in progress."""
        group = self.log.group
        joining = self.log.joining
        if joining is None:
            return (group,)
        return (group, apply_group_change(group, joining))

    def is_voter(self, voter: Voter) -> bool:
        """Whether a replica is a voter under its present identity."""
        return any(voter in group for group in self.groups)

    def has_voter_named(self, name: str) -> bool:
        """Whether a replica of this name is a voter, under any identity."""
        return any(voter.name == name for voter in self.log.group)

    def send(self, target: str, message: ReplicaMessage) -> None:
        """Queue a message to be sent once this step is durable."""
        self.effects.outgoing.append(Outgoing(target, message))

    def store_vote(self, term: int, vote: str) -> None:
        """Set term and vote, and request that they are stored."""
        self.term = term
        self.vote = vote
        self.effects.hard_state = HardState(term, vote)

    def become_follower(self, now: float, leader: str = '') -> None:
        """Become a follower, or remain one, with a new deadline."""
        heard_at = now if leader else float('-inf')
        deadline = now + self.election_timeout()
        self.role = Follower(deadline, leader, heard_at)

    def election_timeout(self) -> float:
        """Draw a random time in seconds, so that elections rarely collide."""
        timing = self.timing
        return self.jitter.uniform(timing.election_min, timing.election_max)

    def pre_vote_timeout(self) -> float:
        """Draw a random time in seconds until the next pre-vote."""
        return self.jitter.uniform(self.timing.ask_min, self.timing.ask_max)

    def commit_up_to(self, index: int) -> None:
        """Pass on the entries that are now known to be committed."""
        if index <= self.commit:
            return
        self.commit = index
        wanted = index - self.applied
        fresh = self.log.entries_from(self.applied + 1)[:wanted]
        self.effects.committed.extend(fresh)
        self.applied = index
