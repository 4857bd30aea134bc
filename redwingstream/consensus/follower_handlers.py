"""Handling of a leader's entries and snapshots by a follower."""

from redwingstream.consensus.messages import (
    AppendAnswer,
    AppendEntries,
    Entry,
    Snapshot,
    SnapshotPart,
)
from redwingstream.consensus.state import (
    Follower,
    IncomingSnapshot,
    ReplicaState,
)

MAX_SNAPSHOT_BYTES = 67108864


def on_entries(state: ReplicaState, sent: AppendEntries, now: float) -> None:
    """Append the leader's entries if they follow the own log."""
    if not _accept_leader(state, sent, now):
        _answer(state, sent, accepted=False, match=0)
        return
    if state.log.snapshot is None:
        _request_snapshot(state, sent)
        return
    if sent.previous_index < state.log.base_index:
        # Entries below the base are committed, and so are equal everywhere.
        _answer(state, sent, accepted=True, match=state.log.base_index)
        return
    if state.log.term_at(sent.previous_index) != sent.previous_term:
        _answer(state, sent, accepted=False, match=_retry_index(state, sent))
        return
    _append_entries(state, sent)
    _record_caught_up(state, sent, now)


def on_snapshot_part(
    state: ReplicaState, part: SnapshotPart, now: float
) -> None:
    """Store a part of the leader's snapshot; install it once complete."""
    if not _accept_leader(state, part, now):
        _answer(state, part, accepted=False, match=0)
        return
    snapshot = part.snapshot
    if state.log.snapshot is not None and snapshot.index <= state.commit:
        _answer(state, part, accepted=True, match=state.commit)
        return
    incoming = _collect(state, part)
    if len(incoming.state) < part.size:
        _answer_received(state, part, len(incoming.state))
        return
    _install(state, snapshot, bytes(incoming.state))
    _answer(state, part, accepted=True, match=snapshot.index)


def _accept_leader(
    state: ReplicaState, sent: AppendEntries | SnapshotPart, now: float
) -> bool:
    if sent.term < state.term:
        return False
    if sent.term > state.term or not state.vote:
        # The vote of this term goes to its leader, so that a replica that has
        # lost its disk and is readmitted in the same term votes for no other.
        state.store_vote(sent.term, sent.sender.name)
    match state.role:
        case Follower() as follower if follower.leader == sent.sender.name:
            follower.heard_at = now
            follower.deadline = now + state.election_timeout()
        case _:
            state.become_follower(now, sent.sender.name)
    return True


def _append_entries(state: ReplicaState, sent: AppendEntries) -> None:
    fresh = _without_known(state, sent.entries)
    if fresh:
        state.log.append(fresh)
        state.effects.entries.extend(fresh)
    match = sent.previous_index + len(sent.entries)
    state.commit_up_to(min(sent.commit, match))
    _answer(state, sent, accepted=True, match=match)


def _record_caught_up(
    state: ReplicaState, sent: AppendEntries, now: float
) -> None:
    # A leader that was just elected may not know all committed entries yet.  It
    # knows them once an entry of its own term is committed.
    has_all_committed = state.commit >= sent.commit
    if has_all_committed and state.log.term_at(state.commit) == state.term:
        state.role.caught_up_at = now


def _without_known(
    state: ReplicaState, entries: tuple[Entry, ...]
) -> tuple[Entry, ...]:
    # A delayed message repeats entries that the log holds already.  Truncating
    # the log at its first entry would drop later, acknowledged entries.
    for position, entry in enumerate(entries):
        if state.log.term_at(entry.index) != entry.term:
            return entries[position:]
    return ()


def _retry_index(state: ReplicaState, sent: AppendEntries) -> int:
    log = state.log
    index = min(sent.previous_index - 1, log.last_index)
    term = log.term_at(index)
    while index > state.commit and log.term_at(index - 1) == term:
        index -= 1
    return max(index, state.commit, log.base_index)


def _collect(state: ReplicaState, part: SnapshotPart) -> IncomingSnapshot:
    wanted = (part.snapshot.index, part.snapshot.term)
    incoming = state.incoming
    if incoming is None or (incoming.index, incoming.term) != wanted:
        incoming = IncomingSnapshot(*wanted, state=bytearray())
        state.incoming = incoming
    fits = (
        part.offset == len(incoming.state) and part.size <= MAX_SNAPSHOT_BYTES
    )
    if fits:
        incoming.state.extend(part.snapshot.state)
    return incoming


def _install(state: ReplicaState, part: Snapshot, contents: bytes) -> None:
    snapshot = Snapshot(part.index, part.term, part.group, contents)
    state.incoming = None
    state.log.install(snapshot)
    state.commit = snapshot.index
    state.applied = snapshot.index
    state.effects.snapshot = snapshot
    state.effects.install = True


def _request_snapshot(state: ReplicaState, sent: AppendEntries) -> None:
    received = 0 if state.incoming is None else len(state.incoming.state)
    state.send(
        sent.sender.name,
        AppendAnswer(
            state.term,
            state.myself,
            accepted=False,
            match=0,
            round=sent.round,
            wants_snapshot=True,
            received=received,
        ),
    )


def _answer(
    state: ReplicaState,
    sent: AppendEntries | SnapshotPart,
    *,
    accepted: bool,
    match: int,
) -> None:
    answer = AppendAnswer(state.term, state.myself, accepted, match, sent.round)
    state.send(sent.sender.name, answer)


def _answer_received(
    state: ReplicaState, part: SnapshotPart, received: int
) -> None:
    answer = AppendAnswer(
        state.term,
        state.myself,
        accepted=False,
        match=0,
        round=part.round,
        wants_snapshot=True,
        received=received,
    )
    state.send(part.sender.name, answer)
