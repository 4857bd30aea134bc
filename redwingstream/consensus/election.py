"""Elections: requests for votes and pre-votes, and the answers."""

from redwingstream.consensus import leader_handlers
from redwingstream.consensus.messages import (
    TakeOver,
    VoteAnswer,
    Voter,
    VoteRequest,
)
from redwingstream.consensus.quorum import quorum_value
from redwingstream.consensus.state import (
    Candidate,
    Follower,
    Leader,
    ReplicaState,
)


def campaign(state: ReplicaState, now: float, *, pre: bool) -> None:
    """Start an election, or a pre-vote for one.

    Notes
    -----
    A replica that was partitioned would otherwise return with a higher term
    after each attempt and make a working leader step down.  A pre-vote changes
    no term, and replicas that hear a leader refuse it.
    """
    if not state.is_voter(state.myself) or _defers_to_first_voter(state):
        state.become_follower(now)
        return
    _start_election(state, now, pre=pre, handed_over=False)


def on_take_over(state: ReplicaState, request: TakeOver, now: float) -> None:
    """Start an election at once, since the leader of this term stops."""
    if request.term == state.term and state.is_voter(state.myself):
        _start_election(state, now, pre=False, handed_over=True)


def on_request(state: ReplicaState, request: VoteRequest, now: float) -> None:
    """Answer a request for a vote or a pre-vote."""
    if not state.log.group:
        # A replica without any entries may have lost its disk.
        return
    # Otherwise it votes even if its own log does not name it: the entry that
    # made it a voter may be on other replicas only.  A candidate counts a vote
    # by the voter's identity, so a vote of a replica that is none, or that has
    # voted under a former identity, has no effect.
    if not request.handed_over and _hears_leader(state, now):
        _answer(state, request, granted=False)
        return
    if request.pre:
        granted = request.term > state.term and _is_up_to_date(state, request)
        _answer(state, request, granted=granted)
        return
    _vote(state, request, now)


def on_answer(state: ReplicaState, answer: VoteAnswer, now: float) -> None:
    """Count an answer to a vote request."""
    if answer.term > state.term and not answer.granted:
        state.store_vote(answer.term, '')
        state.become_follower(now)
        return
    role = state.role
    if not isinstance(role, Candidate) or not answer.granted:
        return
    if answer.pre != role.pre or answer.term != _wanted_term(state, role):
        return
    role.granted.add(answer.sender)
    _check_won(state, role, now)


def _start_election(
    state: ReplicaState, now: float, *, pre: bool, handed_over: bool
) -> None:
    timeout = state.pre_vote_timeout() if pre else state.election_timeout()
    role = Candidate(now + timeout, pre, {state.myself})
    state.role = role
    if not pre:
        state.store_vote(state.term + 1, state.myself.name)
    request = VoteRequest(
        _wanted_term(state, role),
        state.myself,
        state.log.last_index,
        state.log.last_term,
        pre,
        handed_over,
    )
    for name in state.others:
        state.send(name, request)
    _check_won(state, role, now)


def _defers_to_first_voter(state: ReplicaState) -> bool:
    # The first election of a group needs the votes of all.  If every replica
    # started one, split votes would delay it by up to 4.5 s.
    return state.log.last_index == 0 and state.myself != state.log.group[0]


def _wanted_term(state: ReplicaState, role: Candidate) -> int:
    return state.term + 1 if role.pre else state.term


def _check_won(state: ReplicaState, role: Candidate, now: float) -> None:
    if not _is_elected(state, role.granted):
        return
    if role.pre:
        _start_election(state, now, pre=False, handed_over=False)
        return
    leader_handlers.become_leader(state, now)


def _is_elected(state: ReplicaState, granted: set[Voter]) -> bool:
    # Before the first entry every replica has to vote.  Otherwise some could
    # form a group and commit entries before another one knows of it.  If they
    # then lost their disks, that one would form a second group with them, and
    # committed entries would be lost.
    if state.log.last_index == 0:
        return granted.issuperset(state.log.group)
    return quorum_value(state.groups, dict.fromkeys(granted, 1)) > 0


def _hears_leader(state: ReplicaState, now: float) -> bool:
    match state.role:
        case Leader():
            return True
        case Follower(leader=leader, heard_at=heard_at) if leader:
            return now - heard_at < state.timing.election_min
        case _:
            return False


def _vote(state: ReplicaState, request: VoteRequest, now: float) -> None:
    if request.term > state.term:
        state.store_vote(request.term, '')
        state.become_follower(now)
    free = state.vote in {'', request.sender.name}
    granted = (
        request.term == state.term and free and _is_up_to_date(state, request)
    )
    if granted:
        state.store_vote(request.term, request.sender.name)
        state.become_follower(now)
    _answer(state, request, granted=granted)


def _is_up_to_date(state: ReplicaState, request: VoteRequest) -> bool:
    theirs = (request.last_term, request.last_index)
    return theirs >= (state.log.last_term, state.log.last_index)


def _answer(
    state: ReplicaState, request: VoteRequest, *, granted: bool
) -> None:
    term = request.term if granted else state.term
    answer = VoteAnswer(term, state.myself, request.pre, granted)
    state.send(request.sender.name, answer)
