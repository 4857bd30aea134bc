"""Input events of a replica, and the effects that its driver carries out."""

import attrs

from redwingstream.consensus.messages import (
    Entry,
    ReplicaMessage,
    Snapshot,
    Voter,
)


@attrs.frozen
class Ticked:
    """Time has passed."""


@attrs.frozen
class Received:
    """A message of another replica has arrived."""

    message: ReplicaMessage


@attrs.frozen
class Synced:
    """Entries up to an index are durable on this replica's disk."""

    index: int


@attrs.frozen
class Proposed:
    """A command to append to the log.

    Parameters
    ----------
    kind : int
        Kind number of the command.
    body : bytes
        The encoded command.
    """

    kind: int
    body: bytes


@attrs.frozen
class ReadRequested:
    """A linearizable read is requested.

    Parameters
    ----------
    ticket : int
        Number that identifies the read in :class:`ReadReady`.
    """

    ticket: int


@attrs.frozen
class SnapshotTaken:
    """A snapshot of the state machine was taken, to replace older entries.

    Parameters
    ----------
    index : int
        Index of the last entry that it contains; it must have been applied.
    state : bytes
        Encoded state of the state machine.
    kept_entries : int
        Number of entries below the index that stay in memory, so that a
        replica that is slightly behind needs no snapshot.
    """

    index: int
    state: bytes
    kept_entries: int


@attrs.frozen
class HandOverRequested:
    """This replica is about to stop and should hand over its leadership."""


@attrs.frozen
class Peer:
    """Another replica that has a disk and was heard recently.

    Parameters
    ----------
    voter : Voter
        Name and identity of the replica.
    zone : str
        Its availability zone.
    """

    voter: Voter
    zone: str


@attrs.frozen
class PeersUpdated:
    """The set of running replicas with a disk, for a resizable group.

    Parameters
    ----------
    peers : tuple of Peer
        All that were heard recently, without this replica.
    """

    peers: tuple[Peer, ...]


@attrs.frozen
class GroupFounded:
    """The first group was chosen, before anything can have been committed.

    Parameters
    ----------
    group : tuple of Voter
        Its voters.
    """

    group: tuple[Voter, ...]


Event = (
    Ticked
    | Received
    | Synced
    | Proposed
    | ReadRequested
    | SnapshotTaken
    | HandOverRequested
    | PeersUpdated
    | GroupFounded
)


@attrs.frozen
class HardState:
    """Term and vote, which a replica has to keep durable as well as entries.

    Parameters
    ----------
    term : int
        Highest term it has seen.
    vote : str
        Name of the replica that it voted for in that term; empty for none.
    """

    term: int = 0
    vote: str = ''


@attrs.frozen
class Outgoing:
    """A message to send to another replica, given by its name."""

    target: str
    message: ReplicaMessage


@attrs.frozen
class ReadReady:
    """A read may be answered once entries up to an index are applied."""

    ticket: int
    index: int


@attrs.define
class Effects:
    """Work that the driver has to do, in the order of the fields.

    Parameters
    ----------
    snapshot : Snapshot or None
        Snapshot to store in place of older entries.
    install : bool
        True if the state machine has to load that snapshot.
    hard_state : HardState or None
        Term and vote to store.
    entries : list of Entry
        Entries to store; the first one replaces all from its index on.
    outgoing : list of Outgoing
        Messages to send, only after everything above is synced: an answer
        that is sent before the sync promises what a crash can still undo.
    committed : list of Entry
        Entries to apply, in this order.
    reads : list of ReadReady
        Reads that may be answered once ``committed`` is applied.
    """

    snapshot: Snapshot | None = None
    install: bool = False
    hard_state: HardState | None = None
    entries: list[Entry] = attrs.field(factory=list)
    outgoing: list[Outgoing] = attrs.field(factory=list)
    committed: list[Entry] = attrs.field(factory=list)
    reads: list[ReadReady] = attrs.field(factory=list)

    @property
    def is_empty(self) -> bool:
        """Whether nothing has to be done, as after most ticks."""
        has_state = self.snapshot is not None or self.hard_state is not None
        has_entries = bool(self.entries or self.committed)
        return not (has_state or has_entries or self.outgoing or self.reads)
