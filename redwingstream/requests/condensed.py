"""Compact record of requests for which a ledger has no entry."""

from redwingstream.requests.filters import RequestFilters
from redwingstream.requests.records import CondensedRequests
from redwingstream.requests.slots import Slot
from redwingstream.requests.states import is_surely_not_run


class CondensedMemory:
    """Bloom filters of requests that were refused and of requests that ended.

    Parameters
    ----------
    horizon : float
        Minimum number of seconds for which a request is remembered.

    Attributes
    ----------
    refused : RequestFilters
        Requests that were certainly not run; replays get *not run*.
    ended : RequestFilters
        Requests that ran or may have run; replays get *unknown*.
    """

    def __init__(self, horizon: float) -> None:
        self.refused = RequestFilters(horizon)
        self.ended = RequestFilters(horizon)

    @property
    def size(self) -> int:
        """Size of all filters in bytes."""
        return self.refused.size + self.ended.size

    def condense(self, slot: Slot, now: float) -> bool:
        """Add an entry to a filter; False if it must stay in the ledger."""
        if is_surely_not_run(slot.state):
            # A false positive is told *not run*, and indeed is not run.
            self.refused.add(slot.bucket, *slot.identity, now)
            return True
        if self.ended.is_full(slot.bucket, now):
            return False
        self.ended.add(slot.bucket, *slot.identity, now)
        return True

    def export(self, bucket: int, now: float) -> CondensedRequests:
        """Return the filters of a bucket."""
        return CondensedRequests(
            self.refused.export(bucket, now), self.ended.export(bucket, now)
        )

    def merge(
        self, bucket: int, condensed: CondensedRequests, now: float
    ) -> None:
        """Add the filters of another ledger for a bucket."""
        self.refused.merge(bucket, condensed.refused, now)
        self.ended.merge(bucket, condensed.ended, now)

    def drop(self, bucket: int) -> None:
        """Remove the filters of a bucket."""
        self.refused.drop(bucket)
        self.ended.drop(bucket)
