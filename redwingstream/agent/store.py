"""Ledger, flows and transfers of an agent, bucket by bucket."""

from redwingstream.flows.blocks import Transfers
from redwingstream.flows.table import FlowTable
from redwingstream.placement.messages import BucketContents
from redwingstream.requests.ledger import Ledger
from redwingstream.requests.slots import Identity

LEDGER_CAPACITY = 65536
FLOW_CAPACITY = 65536
TRANSFER_CAPACITY = 8192
PLACEMENT_IDLE = 300.0
"""Seconds after which a placement elsewhere that is not used is forgotten."""


class AgentStore:
    """What must not be lost when a bucket moves.

    It is the :class:`~redwingstream.placement.fence.BucketStore` of the agent's
    keeper.

    Parameters
    ----------
    carrier : str
        How flow records name this agent.
    replay_horizon : float
        Seconds for which the ledger keeps an entry.

    Attributes
    ----------
    now : float
        Time of the event in hand; the core sets it before it hands an event
        to the keeper, which calls the store without a time.

    Notes
    -----
    A request that waits for its record is withheld from what the keeper gives
    away.  Once the keeper has given a bucket, it accepts no acknowledgement
    for it, so such a request can not take effect here any more; its next home
    may run it, and would answer *unknown* if it heard of it.  What the heir is
    given loses nothing either: the record itself follows.
    """

    def __init__(self, carrier: str, replay_horizon: float) -> None:
        self.now = float()
        self.ledger = Ledger(LEDGER_CAPACITY, replay_horizon)
        self.flows = FlowTable(FLOW_CAPACITY, PLACEMENT_IDLE)
        self.transfers = Transfers(carrier, TRANSFER_CAPACITY)
        self._horizon = replay_horizon
        self._withheld_at: dict[Identity, float] = {}

    def withhold(self, identity: Identity) -> None:
        """Keep a request to this agent, until it is released."""
        self._withheld_at[identity] = self.now

    def release(self, identity: Identity) -> None:
        """Let a request travel with its bucket again."""
        self._withheld_at.pop(identity, None)

    def export(self, bucket: int) -> BucketContents:
        """Return all that is remembered of a bucket."""
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
        """Add contents to those that are there."""
        self.ledger.merge(bucket, contents.entries, self.now)
        self.ledger.condensed.merge(bucket, contents.condensed, self.now)
        self.flows.merge(bucket, contents.flows, self.now)

    def drop(self, bucket: int) -> None:
        """Forget all contents of a bucket."""
        self.ledger.drop(bucket)
        self.flows.drop(bucket)

    def expire(self, now: float) -> None:
        """Forget what is too old to matter."""
        self.now = now
        self.ledger.expire(now)
        self.flows.expire(now)
        self.transfers.expire(now)
        while self._withheld_at:
            oldest = next(iter(self._withheld_at))
            if now - self._withheld_at[oldest] < self._horizon:
                return
            self._withheld_at.pop(oldest)
