"""One bucket of which this agent is home under its own view."""

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
class HomeTerm:
    """Under which view, and with whom, this agent is home of a bucket.

    Parameters
    ----------
    pool : str
        Name of the pool.
    view : int
        Number of the view.
    bucket : int
        Which bucket.
    pair : Pair
        Its home, which is this agent, and its heir.
    since : float
        When this agent adopted the view, in seconds.
    heir_has_all : bool
        Whether this run of the heir has acknowledged all contents already.
    """

    pool: str
    view: int
    bucket: int
    pair: Pair
    since: float
    heir_has_all: bool = False

    def link(self) -> HeirLink | None:
        """Return the way to the heir; None when there is no heir."""
        if self.pair.heir is None:
            return None
        return HeirLink(self.pool, self.bucket, self.view, self.pair.heir)


class HomeDuty:
    """Takes a bucket over, then records for it.

    Parameters
    ----------
    term : HomeTerm
        View and pair.
    takeover : Takeover
        Whom to hear first.
    outbox : Outbox
        Records that wait; those of the term before are still in it.
    fenced : FencedBucket
        Fence of the bucket at this agent.
    store : BucketStore
        Where the contents are.
    """

    def __init__(
        self,
        term: HomeTerm,
        takeover: Takeover,
        outbox: Outbox,
        fenced: FencedBucket,
        store: BucketStore,
    ) -> None:
        self.term = term
        self.takeover = takeover
        self.outbox = outbox
        self._fenced = fenced
        self._store = store
        self._in_effect = False
        self._recovering = False

    def status(self) -> BucketStatus:
        """Return whether this agent may record and decide for the bucket."""
        if not self._is_ruling():
            return NotHome()
        if self._in_effect:
            return InEffect()
        if self._recovering:
            return Recovering(self.term.since)
        return Taking(self.term.since)

    def settled(self) -> bool:
        """Whether the bucket is in effect and its heir holds all of it."""
        return self._in_effect and self.outbox.synced

    def idle(self) -> bool:
        """Whether there is nothing to do before another event."""
        return self._in_effect and self.outbox.idle()

    def advance(self, now: float) -> list[Effect]:
        """Do what is due: give up, ask, send, come into effect."""
        effects = self.outbox.pending.expire(now)
        if not self._is_ruling():
            return effects
        if not self._in_effect:
            effects.extend(self._advance_takeover(now))
        if self._in_effect or self._recovering:
            effects.extend(self._advance_outbox(now))
        return effects

    def hear(self, given: BucketGiven, now: float) -> list[Effect]:
        """Merge a part from one of an earlier pair."""
        if not self.takeover.expects(given):
            return []
        self._store.merge(self.term.bucket, given.contents)
        effects = self.meet(given.contents)
        effects.extend(self.takeover.hear(given))
        return effects + self.advance(now)

    def meet(self, contents: BucketContents) -> list[Effect]:
        """Refuse what waits here and has happened at another home.

        Guards against a home that skipped a view: under that view another home
        may have run a request that still waits here, and repeating its record
        under the next view would run it again.  Every content from another
        home passes here before the bucket comes into effect again.
        """
        met = conflicts_with(contents)
        return self.outbox.pending.refuse(
            ResultCode.OUTCOME_UNKNOWN,
            lambda pending: met(pending.contents),
        )

    def acknowledge(
        self, ack: RecordAck, now: float, sender: str
    ) -> list[Effect]:
        """Take the heir's answer to a record, or a refusal to be asked.

        A home that was fenced after it had sent the record ignores the
        answer: the new home may have read this agent's contents before the
        heir accepted, and would not know of the record.
        """
        if ack.fence > self.term.view:
            self.takeover.overtaken = True
            return [FetchNeeded(sender)]
        effects = self.outbox.pending.expire(now)
        if not self._is_ruling() or ack.view != self.term.view:
            return effects
        effects.extend(self._record(self.outbox.acknowledge(ack)))
        return effects + self.advance(now)

    def resign(self) -> list[Effect]:
        """Refuse all that waits: another agent is home now."""
        return self.outbox.pending.refuse(ResultCode.STALE, _everything)

    def _is_ruling(self) -> bool:
        return self._fenced.fence <= self.term.view

    def _advance_takeover(self, now: float) -> list[Effect]:
        self.takeover.give_up_lost(now)
        if self.takeover.finished():
            return self._enter_effect()
        effects = self.takeover.due_requests(now)
        if not self._recovering and self.takeover.recovering():
            self._recovering = True
            refused = self.outbox.pending.refuse(
                ResultCode.RECOVERING, _has_entries
            )
            effects.extend(refused)
        return effects

    def _enter_effect(self) -> list[Effect]:
        self._in_effect = True
        self._recovering = False
        contents = BucketContents()
        if not self.term.heir_has_all:
            contents = self._store.export(self.term.bucket)
        self.outbox.begin_sync(contents)
        return [BucketInEffect(self.term.bucket, self.takeover.lost)]

    def _advance_outbox(self, now: float) -> list[Effect]:
        link = self.term.link()
        if link is None:
            return self._record(self.outbox.accept_all())
        return self.outbox.due_sends(link, now)

    def _record(self, accepted: list[PendingRecord]) -> list[Effect]:
        effects: list[Effect] = []
        for pending in accepted:
            self._store.merge(self.term.bucket, pending.contents)
            effects.append(Recorded(pending.ticket))
        return effects


def _everything(pending: PendingRecord) -> bool:
    return True


def _has_entries(pending: PendingRecord) -> bool:
    return bool(pending.contents.entries)
