"""Decisions of a leader: replication, commits, reads and handing over."""

from redwingstream.consensus.events import (
    Proposed,
    ReadReady,
)
from redwingstream.consensus.group_changes import next_change, update_progress
from redwingstream.consensus.leader_contact import hears_majority
from redwingstream.consensus.leader_messages import send_next, send_to_idle
from redwingstream.consensus.log import (
    NO_OPERATION_BODY,
    NO_OPERATION_KIND,
)
from redwingstream.consensus.messages import (
    AppendAnswer,
    Entry,
    TakeOver,
    Voter,
)
from redwingstream.consensus.quorum import quorum_value
from redwingstream.consensus.state import (
    Leader,
    PendingRead,
    Progress,
    ReplicaState,
)
from redwingstream.wire import messages

MAX_PENDING_READS = 1024
MAX_UNCOMMITTED = 4096


def become_leader(state: ReplicaState, now: float) -> None:
    """Become leader, with a first entry of the new term.

    Notes
    -----
    Entries of earlier terms are committed only together with an entry of the
    leader's own term.  A majority that holds an entry of an earlier term is not
    enough: a later leader without that entry could still be elected.
    """
    next_index = state.log.last_index + 1
    progress_by_name = {name: Progress(next_index) for name in state.others}
    state.role = Leader(progress_by_name, next_index, now)
    for progress in progress_by_name.values():
        # The votes have just arrived; the time until the first answers must
        # not count as silence.
        progress.heard_at = now
    _append(state, state.role, NO_OPERATION_KIND, NO_OPERATION_BODY)
    send_to_idle(state, state.role, now)


def on_tick(state: ReplicaState, leader: Leader, now: float) -> None:
    """Send heartbeats; step down when no majority is heard."""
    update_progress(state, leader, now)
    if not hears_majority(state, leader, now):
        # This replica was partitioned or suspended.  Another one may lead by
        # now, and callers must be told that there is no quorum.
        state.become_follower(now)
        return
    for name, progress in leader.progress_by_name.items():
        if now - progress.sent_at >= state.timing.heartbeat:
            send_next(state, leader, name, now)
    _change_group(state, leader, now)
    _leave_if_replaced(state, leader)


def on_proposed(
    state: ReplicaState, leader: Leader, proposed: Proposed, now: float
) -> int | None:
    """Append a command; return its index, or None when it is rejected."""
    waiting = state.log.last_index - state.commit
    if leader.handing_over or waiting >= MAX_UNCOMMITTED:
        return None
    index = _append(state, leader, proposed.kind, proposed.body)
    send_to_idle(state, leader, now)
    return index


def on_synced(state: ReplicaState, leader: Leader, index: int) -> None:
    """Count the leader's own copy of the entries, once it is durable."""
    leader.synced_index = max(leader.synced_index, index)
    _advance_commit(state, leader)


def on_read(
    state: ReplicaState, leader: Leader, ticket: int, now: float
) -> bool:
    """Start a linearizable read; return False when it is rejected."""
    if len(leader.reads) >= MAX_PENDING_READS:
        return False
    leader.round += 1
    leader.reads.append(PendingRead(ticket, leader.round))
    send_to_idle(state, leader, now)
    _confirm_reads(state, leader)
    return True


def on_answer(
    state: ReplicaState, leader: Leader, answer: AppendAnswer, now: float
) -> None:
    """Update the progress of another replica, and act on it."""
    progress = leader.progress_by_name.get(answer.sender.name)
    if progress is None or answer.term != state.term:
        return
    if progress.identity != answer.sender.identity:
        # A replica under a new identity has lost what the former one synced.
        progress.identity = answer.sender.identity
        progress.match_index = 0
    progress.heard_at = now
    progress.answered_round = max(progress.answered_round, answer.round)
    progress.awaits_answer = False
    _record_answer(state, progress, answer)
    _advance_commit(state, leader)
    _confirm_reads(state, leader)
    _change_group(state, leader, now)
    if leader.handing_over:
        hand_over(state, leader)
    if progress.next_index <= state.log.last_index or _owes_round(
        leader, progress
    ):
        send_next(state, leader, answer.sender.name, now)


def hand_over(state: ReplicaState, leader: Leader) -> None:
    """Reject further commands; tell a voter with the whole log to take over."""
    leader.handing_over = True
    for name, progress in leader.progress_by_name.items():
        has_whole_log = progress.match_index == state.log.last_index
        if has_whole_log and Voter(name, progress.identity) in state.log.group:
            state.send(name, TakeOver(state.term, state.myself))
            return


def _append(state: ReplicaState, leader: Leader, kind: int, body: bytes) -> int:
    index = state.log.last_index + 1
    entry = Entry(index, state.term, kind, body)
    state.log.append((entry,))
    state.effects.entries.append(entry)
    return index


def _record_answer(
    state: ReplicaState, progress: Progress, answer: AppendAnswer
) -> None:
    if answer.wants_snapshot:
        progress.snapshot_offset = answer.received
        return
    progress.snapshot_offset = None
    if answer.accepted:
        progress.match_index = max(progress.match_index, answer.match)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        return
    progress.next_index = min(answer.match, state.log.last_index) + 1
    if progress.next_index <= state.log.base_index:
        progress.snapshot_offset = 0


def _advance_commit(state: ReplicaState, leader: Leader) -> None:
    match: dict[Voter, float] = {state.myself: leader.synced_index}
    for name, progress in leader.progress_by_name.items():
        match[Voter(name, progress.identity)] = progress.match_index
    index = quorum_value(state.groups, match)
    if index >= leader.first_index:
        state.commit_up_to(int(index))


def _confirm_reads(state: ReplicaState, leader: Leader) -> None:
    if state.commit < leader.first_index:
        return
    answered: dict[Voter, float] = {state.myself: leader.round}
    for name, progress in leader.progress_by_name.items():
        answered[Voter(name, progress.identity)] = progress.answered_round
    confirmed = quorum_value(state.groups, answered)
    while leader.reads and leader.reads[0].round <= confirmed:
        ready = ReadReady(leader.reads.pop(0).ticket, state.commit)
        state.effects.reads.append(ready)


def _owes_round(leader: Leader, progress: Progress) -> bool:
    return bool(leader.reads) and progress.answered_round < leader.round


def _leave_if_replaced(state: ReplicaState, leader: Leader) -> None:
    # A replaced replica may have remained leader, since only it held the
    # change.  Once the change is committed, a voter takes over.
    is_settled = not state.log.has_group_change_after(state.commit)
    if is_settled and not state.is_voter(state.myself):
        hand_over(state, leader)


def _change_group(state: ReplicaState, leader: Leader, now: float) -> None:
    if state.commit < leader.first_index or leader.handing_over:
        return
    change = next_change(state, leader, now)
    if change is not None:
        _append(state, leader, *messages.encode(change))
        send_to_idle(state, leader, now)
