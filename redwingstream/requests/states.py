"""Precedence of the states of a request when ledgers are merged."""

from types import MappingProxyType

from redwingstream.requests.records import RequestState

# A merge of two states gives the one of higher rank.  A maximum does not depend
# on the order in which ledgers exchange entries.
#
# STARTED supersedes ABANDONED: two homes can have received duplicates of one
# request, and what one home gave up may have run at the other.
# NOT_RUN supersedes STARTED and UNKNOWN: it is reported by the process that
# made the recorded run, and a recorded run is the only one.
# ANSWERED supersedes all: it proves that the request ran.  Together with
# NOT_RUN it is a contradiction, which is counted; *not run* would be false.
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


def supersedes(state: RequestState, other: RequestState) -> bool:
    """Whether a state takes precedence over the other one."""
    return _RANKS[state] > _RANKS[other]


def is_surely_not_run(state: RequestState) -> bool:
    """Whether a state allows telling the caller *not run*."""
    return state in _SURELY_NOT_RUN


def is_outcome_known(state: RequestState) -> bool:
    """Whether a state determines if the request ran."""
    return state in _OUTCOME_KNOWN


def is_contradiction(state: RequestState, other: RequestState) -> bool:
    """Whether one state means that the request ran and the other not."""
    pair = {state, other}
    return RequestState.ANSWERED in pair and not pair.isdisjoint(
        _SURELY_NOT_RUN
    )
