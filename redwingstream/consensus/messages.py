"""Messages between replicas, and the log entries that they replicate."""

import attrs

from redwingstream.wire.messages import message

UNKNOWN_IDENTITY = 0
"""Identity of a replica that has not sent any message yet."""


@attrs.frozen
class Voter:
    """A replica that counts towards a majority.

    Parameters
    ----------
    name : str
        ``IP:PORT`` of its process.
    identity : int
        Random number drawn when its data folder was created.  A replica
        that lost its disk returns under another one, so that it is not
        mistaken for the replica that remembers its votes and entries.
    """

    name: str
    identity: int


@attrs.frozen
class Entry:
    """One entry of the replicated log.

    Parameters
    ----------
    index : int
        Position in the log, from 1.
    term : int
        Term of the leader that appended it.
    kind : int
        Kind number of the command.
    body : bytes
        The command as encoded by :mod:`redwingstream.wire.messages`.
    """

    index: int
    term: int
    kind: int
    body: bytes


@attrs.frozen
class Snapshot:
    """State after an entry; replaces all entries up to that one.

    Parameters
    ----------
    index, term : int
        Index and term of the last entry that it contains; 0 for a group that
        has just been formed.
    group : tuple of Voter
        Voters after that entry.
    state : bytes
        Encoded state of the state machine.
    """

    index: int
    term: int
    group: tuple[Voter, ...]
    state: bytes


@message(kind=32)
class VoteRequest:
    """Request for a vote, or for a pre-vote.

    Parameters
    ----------
    term : int
        Term in which the sender wants to lead.
    sender : Voter
        The candidate.
    last_index, last_term : int
        Index and term of the candidate's last entry.
    pre : bool
        True for a pre-vote: it only asks whether a vote would be granted, and
        changes no replica's term or vote.
    handed_over : bool
        True when the former leader has handed its leadership over to the
        sender.
    """

    term: int
    sender: Voter
    last_index: int
    last_term: int
    pre: bool
    handed_over: bool = False


@message(kind=33)
class VoteAnswer:
    """Answer to a :class:`VoteRequest`."""

    term: int
    sender: Voter
    pre: bool
    granted: bool


@message(kind=34)
class AppendEntries:
    """Entries of the leader, or a heartbeat without any.

    Parameters
    ----------
    term : int
        The leader's term.
    sender : Voter
        The leader.
    previous_index, previous_term : int
        Index and term of the entry before the first one sent.
    entries : tuple of Entry
        Entries without gaps.
    commit : int
        Index up to which the leader knows entries to be committed.
    round : int
        Number that the answer repeats; confirms linearizable reads.
    """

    term: int
    sender: Voter
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


@message(kind=35)
class AppendAnswer:
    """Answer to :class:`AppendEntries` and :class:`SnapshotPart`.

    Parameters
    ----------
    term : int
        The answering replica's term.
    sender : Voter
        The answering replica.
    accepted : bool
        False when the answering replica's log lacks the entry before the first
        one, or when its term is newer.
    match : int
        Synced index up to which its log equals the leader's; if not accepted,
        the index of the entry after which the leader should try next.
    round : int
        Round of the message that is answered.
    wants_snapshot : bool
        True for a replica that knows no group yet, or whose snapshot is
        incomplete.
    received : int
        Bytes of the snapshot that it has received so far.
    """

    term: int
    sender: Voter
    accepted: bool
    match: int
    round: int
    wants_snapshot: bool = False
    received: int = 0


@message(kind=36)
class SnapshotPart:
    """One part of the leader's snapshot.

    Parameters
    ----------
    term : int
        The leader's term.
    sender : Voter
        The leader.
    snapshot : Snapshot
        The snapshot, with only this part of its state.
    offset, size : int
        Position of the part in the state, and size of the whole state, in
        bytes.
    round : int
        As in :class:`AppendEntries`.
    """

    term: int
    sender: Voter
    snapshot: Snapshot
    offset: int
    size: int
    round: int


@message(kind=37)
class TakeOver:
    """Tells a replica to start an election at once, since the leader stops."""

    term: int
    sender: Voter


@message(kind=38)
class Hello:
    """Request for the group, or the answer to one.

    Parameters
    ----------
    sender : Voter
        The sending replica.
    group : tuple of Voter
        Group that the sender knows; empty when it knows none.
    """

    sender: Voter
    group: tuple[Voter, ...]


@message(kind=40)
class NoOperation:
    """First entry of a term; commits the entries of earlier terms with it."""


@message(kind=41)
class ReadmitReplica:
    """Completes a change of the group; follows a committed ``JoinReplica``.

    Parameters
    ----------
    voter : Voter
        New voter.  It replaces the voter of the same name; if there is none
        and ``instead_of`` is empty, the group grows by one.
    instead_of : str
        Name of the voter that it replaces; empty for the one of its own name.
    """

    voter: Voter
    instead_of: str = ''


@message(kind=58)
class JoinReplica:
    """Starts a change of the group, once the new voter has caught up.

    From this entry on, the group before the change and the one after it have
    to agree.

    Parameters
    ----------
    change : ReadmitReplica
        Entry that completes the change.
    """

    change: ReadmitReplica


ReplicaMessage = (
    VoteRequest
    | VoteAnswer
    | AppendEntries
    | AppendAnswer
    | SnapshotPart
    | TakeOver
    | Hello
)
