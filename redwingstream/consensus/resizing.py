"""Which replicas count: places vacated, filled and added, one at a time.

A leader makes one change, waits until it is accepted, and then looks for the
next one.  Majorities before and after each change share a replica:

* to *vacate* a place keeps the group's size, so that a majority after it is
  one before it as well;
* to *fill* a vacant place adds one replica to those that may vote, and so does
  to *add* a place.
"""

from collections import Counter
from collections.abc import Iterable

from redwingstream.consensus.events import Peer
from redwingstream.consensus.messages import VACANT, ReadmitReplica, Voter
from redwingstream.consensus.state import Leader, Progress, ReplicaState

# A place is given only to a replica that answered within this time in seconds:
# five heartbeats, so that one lost answer does not matter.
HEARD_LATELY = 0.5


def note_peers(state: ReplicaState, peers: Iterable[Peer]) -> None:
    """Remember which replicas run now."""
    state.peer_by_name = {peer.voter.name: peer for peer in peers}


def update_progress(state: ReplicaState, leader: Leader, now: float) -> None:
    """Begin with replicas that are new, and end with those that are gone."""
    if not state.sizing.size:
        return
    wanted = set(state.others)
    for name in wanted - leader.progress_by_name.keys():
        following = state.log.last_index + 1
        leader.progress_by_name[name] = Progress(following, heard_at=now)
    for name in leader.progress_by_name.keys() - wanted:
        leader.progress_by_name.pop(name)


def counts(state: ReplicaState, name: str, progress: Progress) -> bool:
    """Whether a replica, as it last named itself, counts for a majority."""
    return state.is_voter(Voter(name, progress.identity))


def next_change(
    state: ReplicaState, leader: Leader, now: float
) -> ReadmitReplica | None:
    """Return the next change of the group, or None when it is as wanted.

    Notes
    -----
    One change at a time: while one waits to be accepted there is no next one.
    Two at once could leave two majorities that share no replica.
    """
    if state.log.group_change_after(state.commit):
        return None
    ready = _ready_replicas(state, leader, now)
    for voter in ready:
        # The settings of a fixed group name those who have a place in it.
        if not state.sizing.size or _has_place(state, voter.name):
            return _readmit(state, voter)
    if not ready:
        return None
    return _resize(state, leader, ready, now)


def _ready_replicas(
    state: ReplicaState, leader: Leader, now: float
) -> list[Voter]:
    ready = []
    for name, progress in leader.progress_by_name.items():
        voter = Voter(name, progress.identity)
        lately = now - progress.heard_at <= HEARD_LATELY
        caught_up = progress.match >= state.commit
        known = progress.identity != VACANT and not state.is_voter(voter)
        if known and caught_up and lately:
            ready.append(voter)
    return ready


def _has_place(state: ReplicaState, name: str) -> bool:
    return any(voter.name == name for voter in state.log.group)


def _readmit(state: ReplicaState, voter: Voter) -> ReadmitReplica:
    # The lost replica may have helped to elect a leader that this one does
    # not know of.  Were the new identity to count at once, this leader and it
    # could accept entries that the other leader replaces.  So the place is
    # vacated first, which takes a majority of the remaining replicas, and
    # filled by a second entry, one change at a time.
    if state.is_taken(voter.name):
        return _vacate(voter.name)
    return ReadmitReplica(voter)


def _resize(
    state: ReplicaState, leader: Leader, ready: list[Voter], now: float
) -> ReadmitReplica | None:
    group = state.log.group
    best = min(ready, key=lambda voter: _rank(state, voter))
    vacant = [voter.name for voter in group if voter.identity == VACANT]
    if vacant:
        return ReadmitReplica(best, instead_of=vacant[0])
    if len(group) < state.sizing.size:
        return ReadmitReplica(best)
    silent = _silent_voters(state, leader, now)
    if silent:
        return _vacate(silent[0])
    crowded = _crowded_voter(state, best)
    return _vacate(crowded) if crowded else None


def _vacate(name: str) -> ReadmitReplica:
    return ReadmitReplica(Voter(name, VACANT))


def _silent_voters(
    state: ReplicaState, leader: Leader, now: float
) -> list[str]:
    oldest = now - state.sizing.replace_after
    return [
        name
        for name, progress in leader.progress_by_name.items()
        if state.is_taken(name) and progress.heard_at < oldest
    ]


def _crowded_voter(state: ReplicaState, candidate: Voter) -> str:
    # A zone with two places more than the candidate's takes a needless share
    # of the group with it when it is lost.
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
    return Counter(
        _zone_of(state, voter.name)
        for voter in state.log.group
        if voter.identity != VACANT
    )


def _zone_of(state: ReplicaState, name: str) -> str:
    if name == state.myself.name:
        return state.sizing.zone
    peer = state.peer_by_name.get(name)
    return '' if peer is None else peer.zone
