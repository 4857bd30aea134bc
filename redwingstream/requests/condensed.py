"""What a ledger keeps of requests for which it has no entry."""

from redwingstream.requests.filters import RequestFilters
from redwingstream.requests.records import CondensedRequests
from redwingstream.requests.slots import Slot
from redwingstream.requests.states import is_surely_not_run


class CondensedMemory:
    """Requests of which only this is known: refused, or ended somehow.

    Parameters
    ----------
    horizon : float
        Seconds for which they are remembered at least.

    Attributes
    ----------
    refused : RequestFilters
        Surely not run; replays are told so.
    ended : RequestFilters
        Ran, or may have run; replays are told *unknown*.
    """

    def __init__(self, horizon: float) -> None:
        self.refused = RequestFilters(horizon)
        self.ended = RequestFilters(horizon)

    @property
    def size(self) -> int:
        """Bytes of all filters."""
        return self.refused.size + self.ended.size

    def take(self, slot: Slot, now: float) -> bool:
        """Remember an entry that is to go; False when it must stay."""
        if is_surely_not_run(slot.state):
            # One mistaken for another is told *not run*, and is not run.
            self.refused.add(slot.bucket, *slot.identity, now)
            return True
        if self.ended.is_full(slot.bucket, now):
            return False
        self.ended.add(slot.bucket, *slot.identity, now)
        return True

    def export(self, bucket: int, now: float) -> CondensedRequests:
        """Return what is known of a bucket."""
        return CondensedRequests(
            self.refused.export(bucket, now), self.ended.export(bucket, now)
        )

    def merge(
        self, bucket: int, condensed: CondensedRequests, now: float
    ) -> None:
        """Add what another ledger knows of a bucket."""
        self.refused.merge(bucket, condensed.refused, now)
        self.ended.merge(bucket, condensed.ended, now)

    def drop(self, bucket: int) -> None:
        """Forget a bucket."""
        self.refused.drop(bucket)
        self.ended.drop(bucket)
