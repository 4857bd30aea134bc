"""Detects waiting records that contradict what another home has recorded."""

from collections.abc import Callable

from redwingstream.flows.records import FlowRecord
from redwingstream.placement.messages import BucketContents
from redwingstream.requests.records import RequestState

# A record in one of these states claims that no agent has run the request yet.
# The others report the outcome of a run that was recorded before.
_FIRST_STATES = frozenset((RequestState.STARTED, RequestState.NOT_RUN))


def conflicts_with(
    given: BucketContents,
) -> Callable[[BucketContents], bool]:
    """Return a predicate for contents that contradict the given contents.

    Parameters
    ----------
    given : BucketContents
        Contents that the home or heir of another view holds.

    Returns
    -------
    callable
        True for contents that start a request which is already in `given`, or
        that assign a flow to a carrier although `given` assigns it to another
        carrier under the same or a later generation.
    """
    request_keys = {entry.key for entry in given.entries}
    flow_by_key = {flow.key: flow for flow in given.flows}

    def flow_conflicts(flow: FlowRecord) -> bool:
        other = flow_by_key.get(flow.key)
        if other is None or other.carrier == flow.carrier:
            return False
        return other.generation >= flow.generation

    def contents_conflict(waiting: BucketContents) -> bool:
        starts = (
            entry.key in request_keys
            for entry in waiting.entries
            if entry.state in _FIRST_STATES
        )
        return any(starts) or any(map(flow_conflicts, waiting.flows))

    return contents_conflict
