"""When a leader last heard from a majority."""

from redwingstream.consensus.messages import UNKNOWN_IDENTITY, Voter
from redwingstream.consensus.quorum import quorum_value
from redwingstream.consensus.state import Leader, ReplicaState


def confirmed_at(state: ReplicaState, leader: Leader, now: float) -> float:
    """Return the time in seconds at which a majority last answered."""
    heard_at = {state.myself: now}
    for name, progress in leader.progress_by_name.items():
        heard_at[Voter(name, progress.identity)] = progress.heard_at
    return max(quorum_value(state.groups, heard_at), leader.elected_at)


def hears_majority(state: ReplicaState, leader: Leader, now: float) -> bool:
    """Whether a majority has answered within the longest election time-out."""
    heard_at = {state.myself: now}
    for group in state.groups:
        for voter in group:
            progress = leader.progress_by_name.get(voter.name)
            if progress and progress.identity in {
                UNKNOWN_IDENTITY,
                voter.identity,
            }:
                heard_at[voter] = progress.heard_at
    oldest = now - state.timing.election_max
    return quorum_value(state.groups, heard_at) >= oldest
