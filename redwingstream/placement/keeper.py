"""Decides, for all buckets of one pool, what this agent holds and may record.

The keeper has neither I/O nor a clock: every call takes the current time and
returns effects for the caller to perform.  The protocol is described in
``docs/design/protocol.md``.
"""

import itertools

from redwingstream.errors import ResultCode
from redwingstream.placement.effects import (
    BucketStatus,
    Effect,
    FetchNeeded,
    NotHome,
    RecordRefused,
    Recovering,
    Send,
)
from redwingstream.placement.fence import BucketStore, FencedBucket
from redwingstream.placement.home_bucket import HomeAssignment, HomeBucket
from redwingstream.placement.messages import (
    BucketContents,
    BucketGiven,
    Record,
    RecordAck,
    TakeBucket,
)
from redwingstream.placement.outbox import Outbox
from redwingstream.placement.parts import RECORD_BYTES
from redwingstream.placement.pending import PendingRecord, make_pending_record
from redwingstream.placement.rendezvous import Pair
from redwingstream.placement.retries import RetryTiming
from redwingstream.placement.takeover import EarlierPair, Takeover
from redwingstream.placement.views import Identity, ViewPairs
from redwingstream.tables.rows import DEFAULT_BUCKETS, PoolView

KeeperMessage = Record | RecordAck | TakeBucket | BucketGiven


class BucketKeeper:
    """The buckets of one pool at one incarnation of an agent.

    Parameters
    ----------
    host : str
        Name of this host.
    incarnation : int
        Incarnation of its agent.
    pool : str
        Name of the pool.
    store : BucketStore
        Storage of flows and requests.
    replay_horizon : float
        Longest time in seconds for which a caller may repeat a request.
    buckets : int
        Number of buckets of the pool.

    Notes
    -----
    Memory: a fence for each bucket; for each bucket of which this agent is
    home at most 192000 bytes of waiting records, one message in flight and one
    list of items that the heir still lacks; for each bucket that a new home
    has requested under the newest view one list of the items sent to it.  The
    lists hold references to items of the store.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        pool: str,
        store: BucketStore,
        replay_horizon: float,
        buckets: int = DEFAULT_BUCKETS,
    ) -> None:
        self._identity = Identity(host, incarnation)
        self._pool = pool
        self._store = store
        self._replay_horizon = replay_horizon
        self._timing = RetryTiming()
        self._pairs = ViewPairs(PoolView(pool, number=0, members=()))
        self._fenced_by_bucket = {
            bucket: FencedBucket(bucket, self._identity, store)
            for bucket in range(buckets)
        }
        self._home_by_bucket: dict[int, HomeBucket] = {}
        self._busy: set[int] = set()
        self._tickets = itertools.count(1)
        self._settled_view = 0

    def apply_view(self, view: PoolView, now: float) -> list[Effect]:
        """Apply a committed view; one older than the last is ignored.

        Parameters
        ----------
        view : PoolView
            The committed view.
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        list of Effect
            What the caller has to perform.
        """
        applied = self._pairs.view
        if view.pool != self._pool or view.number < applied.number:
            return []
        if view.number > applied.number:
            return self._apply_newer_view(ViewPairs(view, self._pairs), now)
        if applied.unsettled and not view.unsettled:
            self._pairs = ViewPairs(view, self._pairs)
            for fenced in self._fenced_by_bucket.values():
                fenced.apply_settled_view(self._pairs)
        return []

    def on_message(
        self, message: KeeperMessage, now: float, sender: str
    ) -> list[Effect]:
        """Handle a message from the keeper of another agent of the pool.

        Parameters
        ----------
        message : Record, RecordAck, TakeBucket or BucketGiven
            The message; one for another pool or an unknown bucket is ignored.
        now : float
            Current time in seconds, by the event loop's clock.
        sender : str
            ``IP:PORT`` of the sender; answers go there.
        """
        fenced = self._fenced_by_bucket.get(message.bucket)
        if fenced is None or message.pool != self._pool:
            return []
        match message:
            case Record():
                return self._handle_record(message, fenced, sender)
            case TakeBucket():
                return self._reply(fenced.handle_request(message), sender)
            case _:
                return self._handle_answer(message, now, sender)

    def tick(self, now: float) -> list[Effect]:
        """Advance every bucket that has something due at this time."""
        effects: list[Effect] = []
        for bucket in sorted(self._busy):
            effects.extend(self._home_by_bucket[bucket].advance(now))
            self._update_busy(bucket)
        return effects

    def record(
        self,
        bucket: int,
        contents: BucketContents,
        now: float,
        give_up_at: float,
    ) -> tuple[int, list[Effect]]:
        """Store contents at home and heir before they take effect.

        Parameters
        ----------
        bucket : int
            Number of the bucket.
        contents : BucketContents
            Contents to store, at most 24000 bytes in a frame.  The caller has
            looked up their keys in the store and found no entry that forbids
            them.
        now : float
            Current time in seconds, by the event loop's clock.
        give_up_at : float
            Time in seconds from which the contents must not take effect;
            limited to the longest replay time from now.

        Returns
        -------
        tuple of int and list of Effect
            The ticket and the effects to perform.  Exactly one effect, now or
            later, names the ticket: :class:`Recorded` or
            :class:`RecordRefused`.
        """
        latest = min(give_up_at, now + self._replay_horizon)
        pending = make_pending_record(next(self._tickets), contents, latest)
        home_bucket = self._home_by_bucket.get(bucket)
        reason = _refusal_reason(home_bucket, pending, now)
        if home_bucket is None or reason is not ResultCode.OK:
            return pending.ticket, [RecordRefused(pending.ticket, reason)]
        home_bucket.outbox.pending.add(pending)
        effects = home_bucket.advance(now)
        self._update_busy(bucket)
        return pending.ticket, effects

    def status(self, bucket: int) -> BucketStatus:
        """Return whether this agent is home of a bucket and may decide."""
        home_bucket = self._home_by_bucket.get(bucket)
        if home_bucket is not None:
            return home_bucket.status()
        if self._fenced_by_bucket[bucket].fence > self._pairs.view.number:
            return NotHome()
        return NotHome(self._pairs.newest_pair(bucket).home)

    def settled_view(self) -> int:
        """Return the highest view in which this agent has settled its buckets.

        A bucket is settled once it is in effect at its home and the heir has
        acknowledged all of its contents.
        """
        home_buckets = self._home_by_bucket.values()
        if all(home_bucket.is_settled() for home_bucket in home_buckets):
            self._settled_view = self._pairs.view.number
        return self._settled_view

    def _apply_newer_view(self, pairs: ViewPairs, now: float) -> list[Effect]:
        self._pairs = pairs
        effects: list[Effect] = []
        for bucket, fenced in self._fenced_by_bucket.items():
            former_fence = fenced.fence
            fenced.apply_view(pairs)
            effects.extend(self._update_home_bucket(bucket, former_fence, now))
        return effects

    def _update_home_bucket(
        self, bucket: int, former_fence: int, now: float
    ) -> list[Effect]:
        former = self._home_by_bucket.pop(bucket, None)
        self._busy.discard(bucket)
        pair = self._pairs.newest_pair(bucket)
        if not self._identity.is_run_of(pair.home):
            return [] if former is None else former.refuse_all()
        home_bucket = self._make_home_bucket(bucket, former, former_fence, now)
        self._home_by_bucket[bucket] = home_bucket
        effects = home_bucket.advance(now)
        self._update_busy(bucket)
        return effects

    def _make_home_bucket(
        self,
        bucket: int,
        former: HomeBucket | None,
        former_fence: int,
        now: float,
    ) -> HomeBucket:
        fenced = self._fenced_by_bucket[bucket]
        takeover = self._make_takeover(bucket, former, now)
        pair = self._pairs.newest_pair(bucket)
        assignment = HomeAssignment(
            pool=self._pool,
            view=self._pairs.view.number,
            bucket=bucket,
            pair=pair,
            assigned_at=now,
            heir_has_all=takeover.is_finished()
            and _heir_has_all(former, pair, former_fence),
        )
        outbox = Outbox(self._timing) if former is None else former.outbox
        outbox.restart()
        return HomeBucket(assignment, takeover, outbox, fenced, self._store)

    def _make_takeover(
        self, bucket: int, former: HomeBucket | None, now: float
    ) -> Takeover:
        earlier = tuple(
            EarlierPair(
                number=number,
                members=self._pairs.possibly_alive(pair),
                silent_seconds=0
                if former is None
                else former.takeover.silence_to_carry_over(number),
            )
            for number, pair in self._pairs.earlier_pairs(bucket).items()
        )
        request = TakeBucket(
            pool=self._pool,
            view=self._pairs.view.number,
            bucket=bucket,
            asked_incarnation=0,
        )
        return Takeover(
            request=request,
            earlier=earlier,
            complete_views=self._fenced_by_bucket[bucket].complete_views,
            replay_horizon=self._replay_horizon,
            timing=self._timing,
            now=now,
        )

    def _handle_record(
        self, record: Record, fenced: FencedBucket, sender: str
    ) -> list[Effect]:
        answer = fenced.handle_record(record)
        effects = self._reply(answer, sender)
        home_bucket = self._home_by_bucket.get(record.bucket)
        if home_bucket is not None and answer is not None and answer.accepted:
            effects.extend(home_bucket.refuse_conflicting(record.contents))
            self._update_busy(record.bucket)
        return effects

    def _reply(
        self, answer: RecordAck | BucketGiven | None, sender: str
    ) -> list[Effect]:
        if answer is None:
            return []
        effects: list[Effect] = [Send(sender, answer)]
        if answer.view > self._pairs.view.number:
            effects.append(FetchNeeded(sender))
        return effects

    def _handle_answer(
        self, message: RecordAck | BucketGiven, now: float, sender: str
    ) -> list[Effect]:
        home_bucket = self._home_by_bucket.get(message.bucket)
        if home_bucket is None:
            return []
        if isinstance(message, RecordAck):
            effects = home_bucket.handle_ack(message, now, sender)
        else:
            effects = home_bucket.handle_part(message, now)
        self._update_busy(message.bucket)
        return effects

    def _update_busy(self, bucket: int) -> None:
        if self._home_by_bucket[bucket].is_idle():
            self._busy.discard(bucket)
        else:
            self._busy.add(bucket)


def _refusal_reason(
    home_bucket: HomeBucket | None, pending: PendingRecord, now: float
) -> ResultCode:
    if home_bucket is None:
        return ResultCode.STALE
    recovering = isinstance(home_bucket.status(), Recovering)
    met_by_reason = {
        ResultCode.MALFORMED: pending.size > RECORD_BYTES,
        ResultCode.TIMED_OUT: now >= pending.give_up_at,
        ResultCode.RECOVERING: recovering and bool(pending.contents.entries),
        ResultCode.OVERLOADED: not home_bucket.outbox.pending.has_room(
            pending.size
        ),
    }
    return next(
        (reason for reason, met in met_by_reason.items() if met),
        ResultCode.OK,
    )


def _heir_has_all(
    former: HomeBucket | None, pair: Pair, former_fence: int
) -> bool:
    # Only a home that was in effect until now knows what its heir holds.  A
    # home that another home has fenced may have accepted records as the heir
    # of that one, which its own former heir has never received.
    if former is None or not former.is_settled():
        return False
    heir = former.assignment.pair.heir
    if (
        heir is None
        or pair.heir is None
        or former_fence > former.assignment.view
    ):
        return False
    return heir.incarnation == pair.heir.incarnation
