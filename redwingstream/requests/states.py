"""Which of two states of a request is the better knowledge."""

from types import MappingProxyType

from redwingstream.requests.records import RequestState

# What a merge makes of two states: the higher one.  A maximum gives the same
# result in whichever order ledgers exchange entries.
#
# STARTED beats ABANDONED: two homes can have seen duplicates of one request,
# and what one gave up the other may have run.
# NOT_RUN beats STARTED and UNKNOWN: it is reported by whoever made the
# recorded run, and a recorded run has no second one beside it.
# ANSWERED beats all: there is proof that it ran.  Against NOT_RUN that is a
# contradiction, which is counted; to go on saying *not run* would be false.
_RANKS = MappingProxyType(
    {
        RequestState.ABANDONED: 0,
        RequestState.STARTED: 1,
        RequestState.UNKNOWN: 2,
        RequestState.NOT_RUN: 3,
        RequestState.ANSWERED: 4,
    }
)
_SURELY_NOT_RUN = frozenset((RequestState.ABANDONED, RequestState.NOT_RUN))
_OUTCOME_KNOWN = frozenset((RequestState.NOT_RUN, RequestState.ANSWERED))


def beats(state: RequestState, other: RequestState) -> bool:
    """Whether a state is better knowledge than the other one."""
    return _RANKS[state] > _RANKS[other]


def is_surely_not_run(state: RequestState) -> bool:
    """Whether the caller may be told *not run*."""
    return state in _SURELY_NOT_RUN


def is_outcome_known(state: RequestState) -> bool:
    """Whether the state says if the request ran."""
    return state in _OUTCOME_KNOWN


def is_contradiction(state: RequestState, other: RequestState) -> bool:
    """Whether one state says *ran* and the other one *not run*."""
    pair = {state, other}
    return RequestState.ANSWERED in pair and not pair.isdisjoint(
        _SURELY_NOT_RUN
    )
