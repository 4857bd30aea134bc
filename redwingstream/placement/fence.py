"""One bucket as an earlier holder or an heir sees it: fenced by view number.

The fence is the number of the highest view that this agent has adopted or been
asked under.  It only rises.  A home that was frozen or cut off still believes
in an older view when it comes back; its heir refuses whatever it wants to
record, so nothing can take effect there any more, whatever its clock says.
"""

from typing import Protocol

import attrs

from redwingstream.placement.messages import (
    BucketContents,
    BucketGiven,
    Record,
    RecordAck,
    TakeBucket,
)
from redwingstream.placement.parts import split
from redwingstream.placement.views import Identity, ViewPairs


class BucketStore(Protocol):
    """Where flows and requests of the pool's buckets are remembered.

    Notes
    -----
    ``merge`` must be idempotent and must never go back: a final request state
    stays, a higher generation of a flow stays.
    """

    def export(self, bucket: int) -> BucketContents:
        """Return all that is remembered of a bucket."""

    def merge(self, bucket: int, contents: BucketContents) -> None:
        """Add contents to those that are there."""

    def drop(self, bucket: int) -> None:
        """Forget all contents of a bucket."""


@attrs.frozen
class _Snapshot:
    """Contents as they were when a new home first asked under a view."""

    view: int
    parts: tuple[BucketContents, ...]
    covered: tuple[int, ...]


class FencedBucket:
    """The fence of a bucket and what hangs on it.

    Parameters
    ----------
    bucket : int
        Which bucket.
    me : Identity
        The run of this agent.
    store : BucketStore
        Where the contents are.

    Attributes
    ----------
    fence : int
        View number; records of older views are refused.
    heard : set of int
        Earlier views whose records are all in the store, and whose pair can
        add none.  At most as many as the adopted view has unsettled ones.
    """

    def __init__(self, bucket: int, me: Identity, store: BucketStore) -> None:
        self.fence = 0
        self.heard: set[int] = set()
        self._bucket = bucket
        self._me = me
        self._store = store
        self._applied_view = 0
        self._applied_ticket = 0
        self._snapshot: _Snapshot | None = None

    def follow(self, pairs: ViewPairs) -> None:
        """Adopt a newer view: raise the fence, forget what is out of date.

        What this agent holds from a view that has been settled since is out of
        date: merged again it would bring back flows that were closed.  Records
        of this view or a later one, which came before the tables did, are not.
        """
        number = pairs.view.number
        self._raise_to(number)
        mine = pairs.earlier_of(self._bucket, self._me)
        if not mine:
            self._forget_before(number)
        self._release_snapshot(number)
        self.heard.intersection_update(pairs.earlier_numbers())
        # Nothing took effect under those views without this run of the agent,
        # and its fence is above them now.
        self.heard.update(mine)

    def settle(self, pairs: ViewPairs) -> None:
        """Let go of what the adopted view, now settled, no longer needs."""
        following = pairs.view.number + 1
        self._release_snapshot(following)
        if not self._me.is_in(pairs.newest(self._bucket)):
            self._forget_before(following)

    def take_record(self, record: Record) -> RecordAck | None:
        """Remember a record as heir, or refuse it.

        Returns
        -------
        RecordAck or None
            None when another run of this agent was meant: that run's fence is
            not known to this one, and its silence is the truth.
        """
        if record.asked_incarnation != self._me.incarnation:
            return None
        accepted = record.view >= self.fence
        if accepted:
            self._raise_to(record.view)
            self._apply(record)
        return RecordAck(
            pool=record.pool,
            bucket=record.bucket,
            view=record.view,
            ticket=record.ticket,
            accepted=accepted,
            fence=self.fence,
        )

    def give(self, request: TakeBucket) -> BucketGiven | RecordAck | None:
        """Fence the bucket and return the part that a new home asks for.

        Returns
        -------
        BucketGiven, RecordAck or None
            A refusal when the asking home is itself out of date; None when
            another run was meant, which is gone with all that it knew.
        """
        if request.asked_incarnation != self._me.incarnation:
            return None
        if request.view < self.fence:
            return RecordAck(
                pool=request.pool,
                bucket=request.bucket,
                view=request.view,
                ticket=0,
                accepted=False,
                fence=self.fence,
            )
        self._raise_to(request.view)
        return self._part(request)

    def _raise_to(self, view: int) -> None:
        self.fence = max(self.fence, view)

    def _release_snapshot(self, before: int) -> None:
        # One for a later view stays: its home may have read some parts only.
        if self._snapshot is not None and self._snapshot.view < before:
            self._snapshot = None

    def _forget_before(self, view: int) -> None:
        if self._applied_view < view:
            self.heard.clear()
            self._store.drop(self._bucket)

    def _apply(self, record: Record) -> None:
        # A record that the network delivers late would bring back a flow that
        # a later record has closed.  The home sends a ticket only after the
        # one before it was accepted, so a number that is not higher than the
        # last one applied under the same view has been applied already.
        if record.view == self._applied_view:
            if record.ticket <= self._applied_ticket:
                return
        self._applied_view = record.view
        self._applied_ticket = record.ticket
        self._store.merge(self._bucket, record.contents)

    def _part(self, request: TakeBucket) -> BucketGiven | None:
        # Parts cut from contents that change in between could leave an entry
        # out of all of them.  The first request under a view fixes the parts;
        # nothing older than that view is accepted after it.  One snapshot is
        # kept, of the highest view; its items are those of the store.
        if self._snapshot is None or self._snapshot.view != request.view:
            parts = split(self._store.export(self._bucket))
            covered = tuple(sorted(self.heard))
            self._snapshot = _Snapshot(request.view, parts, covered)
        kept = self._snapshot
        if not 0 <= request.part < len(kept.parts):
            return None
        return BucketGiven(
            pool=request.pool,
            view=request.view,
            bucket=request.bucket,
            incarnation=self._me.incarnation,
            part=request.part,
            parts=len(kept.parts),
            contents=kept.parts[request.part],
            covered=kept.covered,
        )
