"""Messages that a leader sends to the other replicas."""

from redwingstream.consensus.messages import (
    AppendEntries,
    Entry,
    Snapshot,
    SnapshotPart,
)
from redwingstream.consensus.state import Leader, Progress, ReplicaState

MAX_BATCH_BYTES = 16384
MAX_BATCH_ENTRIES = 128
SNAPSHOT_PART_BYTES = 16384


def send_to_idle(state: ReplicaState, leader: Leader, now: float) -> None:
    """Send to each replica that has answered its last message.

    Notes
    -----
    Each replica has one unanswered message at a time.  A slow replica thus
    takes no memory for queued messages, and gets the entries that have
    accumulated with its next message.
    """
    for name, progress in leader.progress_by_name.items():
        if not progress.awaits_answer:
            send_next(state, leader, name, now)


def send_next(
    state: ReplicaState, leader: Leader, name: str, now: float
) -> None:
    """Send a replica its next entries or the next part of a snapshot."""
    progress = leader.progress_by_name[name]
    progress.sent_at = now
    progress.awaits_answer = True
    if progress.snapshot_offset is None:
        state.send(name, _next_entries(state, leader, progress))
    else:
        state.send(name, _next_part(state, leader, progress))


def _next_entries(
    state: ReplicaState, leader: Leader, progress: Progress
) -> AppendEntries:
    log = state.log
    previous = max(progress.next_index - 1, log.base_index)
    return AppendEntries(
        state.term,
        state.myself,
        previous,
        log.term_at(previous) or 0,
        _batch(log.entries_from(previous + 1)),
        state.commit,
        leader.round,
    )


def _batch(entries: list[Entry]) -> tuple[Entry, ...]:
    batch: list[Entry] = []
    size = 0
    for entry in entries[:MAX_BATCH_ENTRIES]:
        size += len(entry.body)
        if batch and size > MAX_BATCH_BYTES:
            break
        batch.append(entry)
    return tuple(batch)


def _next_part(
    state: ReplicaState, leader: Leader, progress: Progress
) -> SnapshotPart:
    whole = state.log.snapshot
    offset = progress.snapshot_offset
    if offset > len(whole.state):
        offset = 0
    piece = whole.state[offset : offset + SNAPSHOT_PART_BYTES]
    part = Snapshot(whole.index, whole.term, whole.group, piece)
    return SnapshotPart(
        state.term, state.myself, part, offset, len(whole.state), leader.round
    )
