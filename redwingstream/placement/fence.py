"""One bucket at an heir or at an agent of an earlier pair, fenced by view.

The fence is the number of the highest view that this agent has applied or
received a request under.  It only rises.  A home that was frozen or cut off
still uses an older view when it runs again; its heir refuses all records of
that view, so that nothing can take effect at that home any more, whatever its
clock says.
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
    """Storage of the flows and requests in the buckets of a pool.

    Notes
    -----
    ``merge`` must be idempotent and must not replace newer state by older: a
    final request state stays, and so does a higher generation of a flow.
    """

    def export(self, bucket: int) -> BucketContents:
        """Return all contents of a bucket."""

    def merge(self, bucket: int, contents: BucketContents) -> None:
        """Add contents to those of a bucket."""

    def drop(self, bucket: int) -> None:
        """Delete all contents of a bucket."""


@attrs.frozen
class _Snapshot:
    """Contents at the first request of a new home under a view.

    Parameters
    ----------
    view : int
        Number of the view of the new home.
    parts : tuple of BucketContents
        The contents, in parts that fit a frame.
    covered : tuple of int
        Numbers of the earlier views whose records the contents include.
    """

    view: int
    parts: tuple[BucketContents, ...]
    covered: tuple[int, ...]


class FencedBucket:
    """Fence of a bucket, and the requests and records that it guards.

    Parameters
    ----------
    bucket : int
        Number of the bucket.
    identity : Identity
        Host and incarnation of this agent.
    store : BucketStore
        Storage of the contents.

    Attributes
    ----------
    fence : int
        View number; records of older views are refused.
    complete_views : set of int
        Numbers of earlier views whose records are all in the store, and under
        which no further record can be accepted.  At most as many as the
        applied view has unsettled views.
    """

    def __init__(
        self, bucket: int, identity: Identity, store: BucketStore
    ) -> None:
        self.fence = 0
        self.complete_views: set[int] = set()
        self._bucket = bucket
        self._identity = identity
        self._store = store
        self._applied_view = 0
        self._applied_ticket = 0
        self._snapshot: _Snapshot | None = None

    def apply_view(self, pairs: ViewPairs) -> None:
        """Apply a newer view: raise the fence and drop outdated contents.

        Contents from a view that has been settled since are outdated: merged
        again, they would restore flows that were closed.  Records of this view
        or a later one, which arrived before the tables did, are kept.
        """
        number = pairs.view.number
        self._raise_fence(number)
        own_views = pairs.earlier_views_with(self._bucket, self._identity)
        if not own_views:
            self._drop_older_than(number)
        self._release_snapshot(number)
        self.complete_views.intersection_update(pairs.earlier_numbers())
        # Nothing took effect under those views without this incarnation of the
        # agent, and its fence is above them now.
        self.complete_views.update(own_views)

    def apply_settled_view(self, pairs: ViewPairs) -> None:
        """Drop what is not needed any more once the applied view is settled."""
        next_number = pairs.view.number + 1
        self._release_snapshot(next_number)
        if not self._identity.is_in(pairs.newest_pair(self._bucket)):
            self._drop_older_than(next_number)

    def handle_record(self, record: Record) -> RecordAck | None:
        """Store a record as heir, or refuse it.

        Returns
        -------
        RecordAck or None
            None when the record is for another incarnation of this agent: that
            incarnation's fence is unknown here, so this one must not answer
            for it.
        """
        if record.asked_incarnation != self._identity.incarnation:
            return None
        accepted = record.view >= self.fence
        if accepted:
            self._raise_fence(record.view)
            self._apply(record)
        return RecordAck(
            pool=record.pool,
            bucket=record.bucket,
            view=record.view,
            ticket=record.ticket,
            accepted=accepted,
            fence=self.fence,
        )

    def handle_request(
        self, request: TakeBucket
    ) -> BucketGiven | RecordAck | None:
        """Fence the bucket and return the part that a new home requests.

        Returns
        -------
        BucketGiven, RecordAck or None
            A refusal when the view of the requesting home is itself outdated;
            None when the request is for another incarnation of this agent,
            which has ended and whose contents are lost.
        """
        if request.asked_incarnation != self._identity.incarnation:
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
        self._raise_fence(request.view)
        return self._part(request)

    def _raise_fence(self, view: int) -> None:
        self.fence = max(self.fence, view)

    def _release_snapshot(self, before: int) -> None:
        # The snapshot for a later view stays, because the home of that view
        # may have read only some of its parts.
        if self._snapshot is not None and self._snapshot.view < before:
            self._snapshot = None

    def _drop_older_than(self, view: int) -> None:
        if self._applied_view < view:
            self.complete_views.clear()
            self._store.drop(self._bucket)

    def _apply(self, record: Record) -> None:
        # A record that the network delivers late would restore a flow that a
        # later record has closed.  The home sends a ticket only after the one
        # before it was accepted, so a ticket that is not higher than the last
        # one applied under the same view has been applied already.
        if record.view == self._applied_view:
            if record.ticket <= self._applied_ticket:
                return
        self._applied_view = record.view
        self._applied_ticket = record.ticket
        self._store.merge(self._bucket, record.contents)

    def _part(self, request: TakeBucket) -> BucketGiven | None:
        # If the contents were split anew for each request, a change in between
        # could leave an entry out of all parts.  The first request under a view
        # therefore fixes the parts; no record of an older view is accepted
        # after it.  Only the snapshot of the highest view is kept; it holds
        # references to the items of the store.
        if self._snapshot is None or self._snapshot.view != request.view:
            parts = split(self._store.export(self._bucket))
            covered = tuple(sorted(self.complete_views))
            self._snapshot = _Snapshot(request.view, parts, covered)
        kept = self._snapshot
        if not 0 <= request.part < len(kept.parts):
            return None
        return BucketGiven(
            pool=request.pool,
            view=request.view,
            bucket=request.bucket,
            incarnation=self._identity.incarnation,
            part=request.part,
            parts=len(kept.parts),
            contents=kept.parts[request.part],
            covered=kept.covered,
        )
