"""One bucket whose home is this agent, under the view that it has applied.

The home first fetches the contents from the pairs of the earlier views; then
the bucket is in effect, and new records are replicated to the heir.
"""

import attrs

from redwingstream.errors import ResultCode
from redwingstream.placement.conflicts import conflicts_with
from redwingstream.placement.effects import (
    BucketInEffect,
    BucketStatus,
    Effect,
    FetchNeeded,
    InEffect,
    NotHome,
    Recorded,
    Recovering,
    Taking,
)
from redwingstream.placement.fence import BucketStore, FencedBucket
from redwingstream.placement.messages import (
    BucketContents,
    BucketGiven,
    RecordAck,
)
from redwingstream.placement.outbox import HeirLink, Outbox
from redwingstream.placement.pending import PendingRecord
from redwingstream.placement.rendezvous import Pair
from redwingstream.placement.takeover import Takeover


@attrs.frozen
class HomeAssignment:
    """The view and the heir with which this agent is home of a bucket.

    Parameters
    ----------
    pool : str
        Name of the pool.
    view : int
        Number of the view.
    bucket : int
        Number of the bucket.
    pair : Pair
        Home of the bucket, which is this agent, and its heir.
    assigned_at : float
        When this agent applied the view, in seconds by the event loop's clock.
    heir_has_all : bool
        Whether this incarnation of the heir has acknowledged all contents
        already, under the view before.
    """

    pool: str
    view: int
    bucket: int
    pair: Pair
    assigned_at: float
    heir_has_all: bool = False

    def heir_link(self) -> HeirLink | None:
        """Return the link to the heir; None when the view has no heir."""
        if self.pair.heir is None:
            return None
        return HeirLink(self.pool, self.bucket, self.view, self.pair.heir)


class HomeBucket:
    """Takes over a bucket from earlier pairs, then replicates its records.

    Parameters
    ----------
    assignment : HomeAssignment
        View, home and heir.
    takeover : Takeover
        Requests to the pairs of earlier views.
    outbox : Outbox
        Records that wait for the heir, including those that were left over
        under the view before.
    fenced : FencedBucket
        Fence of the bucket at this agent.
    store : BucketStore
        Storage of the contents.
    """

    def __init__(
        self,
        assignment: HomeAssignment,
        takeover: Takeover,
        outbox: Outbox,
        fenced: FencedBucket,
        store: BucketStore,
    ) -> None:
        self.assignment = assignment
        self.takeover = takeover
        self.outbox = outbox
        self._fenced = fenced
        self._store = store
        self._in_effect = False
        self._recovering = False

    def status(self) -> BucketStatus:
        """Return how far this agent has become home of the bucket."""
        if not self._is_unfenced():
            return NotHome()
        if self._in_effect:
            return InEffect()
        if self._recovering:
            return Recovering(self.assignment.assigned_at)
        return Taking(self.assignment.assigned_at)

    def is_settled(self) -> bool:
        """Whether the bucket is in effect and its heir holds all contents."""
        return self._in_effect and self.outbox.synced

    def is_idle(self) -> bool:
        """Whether there is nothing to do until the next event."""
        return self._in_effect and self.outbox.is_idle()

    def advance(self, now: float) -> list[Effect]:
        """Refuse expired records, then advance the takeover and the outbox."""
        effects = self.outbox.pending.refuse_expired(now)
        if not self._is_unfenced():
            return effects
        if not self._in_effect:
            effects.extend(self._advance_takeover(now))
        if self._in_effect or self._recovering:
            effects.extend(self._advance_outbox(now))
        return effects

    def handle_part(self, given: BucketGiven, now: float) -> list[Effect]:
        """Merge a part of the contents from an agent of an earlier pair."""
        if not self.takeover.expects(given):
            return []
        self._store.merge(self.assignment.bucket, given.contents)
        effects = self.refuse_conflicting(given.contents)
        effects.extend(self.takeover.handle_part(given))
        return effects + self.advance(now)

    def refuse_conflicting(self, contents: BucketContents) -> list[Effect]:
        """Refuse waiting records that contradict contents of another home.

        Guards against a home that skipped a view: under that view another home
        may have run a request that still waits here, and sending its record
        again under the next view would run it twice.  All contents from other
        homes are checked here before the bucket is in effect again.
        """
        is_conflicting = conflicts_with(contents)
        return self.outbox.pending.refuse_matching(
            ResultCode.OUTCOME_UNKNOWN,
            lambda pending: is_conflicting(pending.contents),
        )

    def handle_ack(
        self, ack: RecordAck, now: float, sender: str
    ) -> list[Effect]:
        """Handle the heir's answer to a record, or a refused takeover request.

        A home that was fenced after it had sent the record ignores the
        answer: the new home may have read this agent's contents before the
        heir accepted the record, and would not know of it.
        """
        if ack.fence > self.assignment.view:
            self.takeover.is_outdated = True
            return [FetchNeeded(sender)]
        effects = self.outbox.pending.refuse_expired(now)
        if not self._is_unfenced() or ack.view != self.assignment.view:
            return effects
        effects.extend(self._record(self.outbox.handle_ack(ack)))
        return effects + self.advance(now)

    def refuse_all(self) -> list[Effect]:
        """Refuse all waiting records because another agent is home now."""
        return self.outbox.pending.refuse_matching(
            ResultCode.STALE, _any_record
        )

    def _is_unfenced(self) -> bool:
        return self._fenced.fence <= self.assignment.view

    def _advance_takeover(self, now: float) -> list[Effect]:
        self.takeover.give_up_lost(now)
        if self.takeover.is_finished():
            return self._enter_effect()
        effects = self.takeover.due_requests(now)
        if not self._recovering and self.takeover.is_recovering():
            self._recovering = True
            refused = self.outbox.pending.refuse_matching(
                ResultCode.RECOVERING, _has_entries
            )
            effects.extend(refused)
        return effects

    def _enter_effect(self) -> list[Effect]:
        self._in_effect = True
        self._recovering = False
        contents = BucketContents()
        if not self.assignment.heir_has_all:
            contents = self._store.export(self.assignment.bucket)
        self.outbox.begin_sync(contents)
        return [BucketInEffect(self.assignment.bucket, self.takeover.lost)]

    def _advance_outbox(self, now: float) -> list[Effect]:
        link = self.assignment.heir_link()
        if link is None:
            return self._record(self.outbox.pop_all())
        return self.outbox.due_sends(link, now)

    def _record(self, accepted: list[PendingRecord]) -> list[Effect]:
        effects: list[Effect] = []
        for pending in accepted:
            self._store.merge(self.assignment.bucket, pending.contents)
            effects.append(Recorded(pending.ticket))
        return effects


def _any_record(pending: PendingRecord) -> bool:
    return True


def _has_entries(pending: PendingRecord) -> bool:
    return bool(pending.contents.entries)
