"""What a replica is told, and what it wants done."""

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
    """A message of another replica has come."""

    message: ReplicaMessage


@attrs.frozen
class Synced:
    """Entries up to an index are durable here."""

    index: int


@attrs.frozen
class Proposed:
    """A command for the log.

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
class ReadAsked:
    """Somebody wants to read what is accepted as of now.

    Parameters
    ----------
    ticket : int
        Number by which the answer is known.
    """

    ticket: int


@attrs.frozen
class SnapshotTaken:
    """The state machine's state after an entry, to replace older entries.

    Parameters
    ----------
    index : int
        The last entry that it contains; it must have been applied.
    state : bytes
        The state.
    kept : int
        Entries below the index that stay in memory, so that a replica a
        little behind needs no snapshot.
    """

    index: int
    state: bytes
    kept: int


@attrs.frozen
class HandOverRequested:
    """This replica is about to stop."""


@attrs.frozen
class Peer:
    """Another replica with a disk, as it was heard lately.

    Parameters
    ----------
    voter : Voter
        Its name and identity.
    zone : str
        Its availability zone.
    """

    voter: Voter
    zone: str


@attrs.frozen
class PeersUpdated:
    """Which replicas with a disk run now, in a group that may be resized.

    Parameters
    ----------
    peers : tuple of Peer
        All that were heard lately, this replica left out.
    """

    peers: tuple[Peer, ...]


@attrs.frozen
class GroupFounded:
    """The first group was chosen, while nothing can have been accepted.

    Parameters
    ----------
    group : tuple of Voter
        Who is in it.
    """

    group: tuple[Voter, ...]


Event = (
    Ticked
    | Received
    | Synced
    | Proposed
    | ReadAsked
    | SnapshotTaken
    | HandOverRequested
    | PeersUpdated
    | GroupFounded
)


@attrs.frozen
class HardState:
    """What a replica must never forget besides its entries.

    Parameters
    ----------
    term : int
        Highest term it has seen.
    vote : str
        Name of the replica that got its vote in that term; empty for none.
    """

    term: int = 0
    vote: str = ''


@attrs.frozen
class Outgoing:
    """A message for another replica, by its name."""

    target: str
    message: ReplicaMessage


@attrs.frozen
class ReadReady:
    """A read may be answered once entries up to an index are applied."""

    ticket: int
    index: int


@attrs.define
class Effects:
    """What has to be done, in the order of the fields.

    Parameters
    ----------
    snapshot : Snapshot or None
        To store in place of older entries.
    install : bool
        True when the state machine has to load that snapshot.
    hard_state : HardState or None
        To store.
    entries : list of Entry
        To store; the first one replaces all entries from its index on.
    outgoing : list of Outgoing
        To send, and never before everything above is synced: an answer that
        leaves before the sync promises what a crash can still take back.
    committed : list of Entry
        To apply, in this order.
    reads : list of ReadReady
        Reads that may be answered.
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
        """Whether nothing has to be done; most looks at timers find nothing."""
        has_state = self.snapshot is not None or self.hard_state is not None
        has_entries = bool(self.entries or self.committed)
        return not (has_state or has_entries or self.outgoing or self.reads)
