"""Changes of the group: voters replaced and added, one at a time.

A leader makes one change, waits until it is committed, and then decides on the
next one.  Majorities of both the group before a change and the group after it
have to agree, see :mod:`redwingstream.consensus.quorum`.
"""

from collections import Counter
from collections.abc import Iterable

from redwingstream.consensus.events import Peer
from redwingstream.consensus.messages import (
    UNKNOWN_IDENTITY,
    JoinReplica,
    ReadmitReplica,
    Voter,
)
from redwingstream.consensus.state import Leader, Progress, ReplicaState

# Only a replica that answered within this time in seconds becomes a voter: five
# heartbeats, so that one lost answer does not matter.
MAX_ANSWER_AGE = 0.5


def record_peers(state: ReplicaState, peers: Iterable[Peer]) -> None:
    """Store which other replicas run now."""
    state.peer_by_name = {peer.voter.name: peer for peer in peers}


def update_progress(state: ReplicaState, leader: Leader, now: float) -> None:
    """Add the progress of new replicas, and remove that of departed ones."""
    if not state.group_policy.size:
        return
    wanted = set(state.others)
    for name in wanted - leader.progress_by_name.keys():
        next_index = state.log.last_index + 1
        leader.progress_by_name[name] = Progress(next_index, heard_at=now)
    for name in leader.progress_by_name.keys() - wanted:
        leader.progress_by_name.pop(name)


def next_change(
    state: ReplicaState, leader: Leader, now: float
) -> JoinReplica | ReadmitReplica | None:
    """Return the next entry that changes the group, or None.

    Notes
    -----
    While a change waits to be committed there is no next one: with two changes
    at once, two majorities could share no replica.
    """
    if state.log.has_group_change_after(state.commit):
        return None
    if state.log.joining is not None:
        return state.log.joining
    ready = _ready_replicas(state, leader, now)
    for voter in ready:
        # A fixed group admits only replicas whose name is already in it.
        if not state.group_policy.size or state.has_voter_named(voter.name):
            return _join_command(voter)
    if not ready:
        return None
    return _resize(state, leader, ready, now)


def _ready_replicas(
    state: ReplicaState, leader: Leader, now: float
) -> list[Voter]:
    ready = []
    for name, progress in leader.progress_by_name.items():
        voter = Voter(name, progress.identity)
        recent = now - progress.heard_at <= MAX_ANSWER_AGE
        caught_up = progress.match_index >= state.commit
        known = progress.identity != UNKNOWN_IDENTITY and not state.is_voter(
            voter
        )
        if known and caught_up and recent:
            ready.append(voter)
    return ready


def _resize(
    state: ReplicaState, leader: Leader, ready: list[Voter], now: float
) -> JoinReplica | None:
    best = min(ready, key=lambda voter: _rank(state, voter))
    if len(state.log.group) < state.group_policy.size:
        return _join_command(best)
    silent = _silent_voters(state, leader, now)
    replaced = silent[0] if silent else _voter_in_crowded_zone(state, best)
    return _join_command(best, replaced) if replaced else None


def _join_command(voter: Voter, instead_of: str = '') -> JoinReplica:
    return JoinReplica(ReadmitReplica(voter, instead_of))


def _silent_voters(
    state: ReplicaState, leader: Leader, now: float
) -> list[str]:
    oldest = now - state.group_policy.replace_after
    return [
        name
        for name, progress in leader.progress_by_name.items()
        if state.has_voter_named(name) and progress.heard_at < oldest
    ]


def _voter_in_crowded_zone(state: ReplicaState, candidate: Voter) -> str:
    # The loss of a zone with two voters more than the candidate's zone would
    # cost the group more voters than necessary.
    by_zone = _voters_by_zone(state)
    zone = _zone_of(state, candidate.name)
    fullest = max(sorted(by_zone), key=lambda name: by_zone[name], default='')
    if by_zone[fullest] - by_zone[zone] < 2:
        return ''
    return next(
        (
            voter.name
            for voter in state.log.group
            if voter != state.myself and _zone_of(state, voter.name) == fullest
        ),
        '',
    )


def _rank(state: ReplicaState, voter: Voter) -> tuple[int, str]:
    zone = _zone_of(state, voter.name)
    return (_voters_by_zone(state)[zone], voter.name)


def _voters_by_zone(state: ReplicaState) -> Counter[str]:
    return Counter(_zone_of(state, voter.name) for voter in state.log.group)


def _zone_of(state: ReplicaState, name: str) -> str:
    if name == state.myself.name:
        return state.group_policy.zone
    peer = state.peer_by_name.get(name)
    return '' if peer is None else peer.zone
