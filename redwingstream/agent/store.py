"""Ledger, flows and transfers of an agent, stored by bucket."""

from redwingstream.flows.block_transfers import BlockTransfers
from redwingstream.flows.table import FlowTable
from redwingstream.placement.messages import BucketContents
from redwingstream.requests.ledger import Ledger
from redwingstream.requests.slots import Identity

# Capacities in entries, for all buckets together.
LEDGER_CAPACITY = 65536
FLOW_CAPACITY = 65536
TRANSFER_CAPACITY = 8192
PLACEMENT_IDLE_TIMEOUT = 300.0
"""Seconds after which an unused placement at another agent is evicted."""


class AgentStore:
    """Contents of buckets, which move with them to other agents.

    It is the :class:`~redwingstream.placement.fence.BucketStore` of the agent's
    keeper.

    Parameters
    ----------
    carrier : str
        Name of this agent's run in flow records.
    replay_horizon : float
        Seconds for which the ledger keeps an entry.

    Attributes
    ----------
    now : float
        Time of the current event in seconds, by the event loop's clock.  The
        core sets it before each event, because the keeper calls the store
        without a time.

    Notes
    -----
    A request whose record is not acknowledged yet is withheld from exported
    buckets.  After the keeper has exported a bucket to a new home, it accepts
    no acknowledgement for it, so the request cannot run here any more.  The
    new home may run it; with the entry it would answer *unknown* instead.
    An export to the heir misses nothing either: the record itself follows.
    """

    def __init__(self, carrier: str, replay_horizon: float) -> None:
        self.now = float()
        self.ledger = Ledger(LEDGER_CAPACITY, replay_horizon)
        self.flows = FlowTable(FLOW_CAPACITY, PLACEMENT_IDLE_TIMEOUT)
        self.transfers = BlockTransfers(carrier, TRANSFER_CAPACITY)
        self._horizon = replay_horizon
        self._withheld_at: dict[Identity, float] = {}

    def withhold(self, identity: Identity) -> None:
        """Exclude a request from exported buckets until it is released."""
        self._withheld_at[identity] = self.now

    def release(self, identity: Identity) -> None:
        """Include a request in exported buckets again."""
        self._withheld_at.pop(identity, None)

    def export(self, bucket: int) -> BucketContents:
        """Return the contents of a bucket, except withheld requests."""
        placements = self.transfers.placements(bucket, self.now)
        entries = self.ledger.export(bucket, self.now)
        return BucketContents(
            entries=tuple(
                entry
                for entry in entries
                if (entry.key, entry.checksum) not in self._withheld_at
            ),
            flows=self.flows.export(bucket) + placements,
            condensed=self.ledger.condensed.export(bucket, self.now),
        )

    def merge(self, bucket: int, contents: BucketContents) -> None:
        """Merge received contents into a bucket."""
        self.ledger.merge(bucket, contents.entries, self.now)
        self.ledger.condensed.merge(bucket, contents.condensed, self.now)
        self.flows.merge(bucket, contents.flows, self.now)

    def drop(self, bucket: int) -> None:
        """Drop the contents of a bucket."""
        self.ledger.drop(bucket)
        self.flows.drop_bucket(bucket)

    def evict_expired(self, now: float) -> None:
        """Evict expired entries; release requests withheld for too long."""
        self.now = now
        self.ledger.evict_expired(now)
        self.flows.evict_expired(now)
        self.transfers.evict_expired(now)
        while self._withheld_at:
            oldest = next(iter(self._withheld_at))
            if now - self._withheld_at[oldest] < self._horizon:
                return
            self._withheld_at.pop(oldest)
