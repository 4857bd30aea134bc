"""Decides, for all buckets of one pool, what this agent holds and may record.

A plain object without I/O and without a clock: every call takes the time in
seconds of the caller's clock and returns effects to carry out.  The rules are
those of ``docs/design/protocol.md``.
"""

import itertools

from redwingstream.errors import ResultCode
from redwingstream.placement.duty import HomeDuty, HomeTerm
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
from redwingstream.placement.messages import (
    BucketContents,
    BucketGiven,
    Record,
    RecordAck,
    TakeBucket,
)
from redwingstream.placement.outbox import Outbox
from redwingstream.placement.parts import RECORD_BYTES
from redwingstream.placement.pending import PendingRecord, pending_record
from redwingstream.placement.rendezvous import Pair
from redwingstream.placement.retries import RetryTiming
from redwingstream.placement.takeover import EarlierPair, Takeover
from redwingstream.placement.views import Identity, ViewPairs
from redwingstream.tables.rows import DEFAULT_BUCKETS, PoolView

KeeperMessage = Record | RecordAck | TakeBucket | BucketGiven


class BucketKeeper:
    """The buckets of one pool at one run of an agent.

    Parameters
    ----------
    host : str
        Name of this host.
    incarnation : int
        Which run of its agent this is.
    pool : str
        Name of the pool.
    store : BucketStore
        Where flows and requests are remembered.
    replay_horizon : float
        Longest time in seconds for which a caller may repeat a request.
    buckets : int
        How many buckets the pool has.

    Notes
    -----
    Memory: a fence for each bucket; for each bucket of which this agent is
    home at most 192000 bytes of waiting records, one message in flight and one
    list of items still to be handed over; for each bucket that a new home took
    under the newest view one list of the items that it was given.  Lists hold
    references to what the store holds.
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
        self._me = Identity(host, incarnation)
        self._pool = pool
        self._store = store
        self._horizon = replay_horizon
        self._timing = RetryTiming()
        self._pairs = ViewPairs(PoolView(pool, number=0, members=()))
        self._fenced_by_bucket = {
            bucket: FencedBucket(bucket, self._me, store)
            for bucket in range(buckets)
        }
        self._duty_by_bucket: dict[int, HomeDuty] = {}
        self._busy: set[int] = set()
        self._tickets = itertools.count(1)
        self._settled_view = 0

    def apply_view(self, view: PoolView, now: float) -> list[Effect]:
        """Follow a committed view; an older one than the last is ignored."""
        adopted = self._pairs.view
        if view.pool != self._pool or view.number < adopted.number:
            return []
        if view.number > adopted.number:
            return self._follow(ViewPairs(view, self._pairs), now)
        if adopted.unsettled and not view.unsettled:
            self._pairs = ViewPairs(view, self._pairs)
            for fenced in self._fenced_by_bucket.values():
                fenced.settle(self._pairs)
        return []

    def on_message(
        self, message: KeeperMessage, now: float, sender: str
    ) -> list[Effect]:
        """Take a message of another keeper of the pool.

        Parameters
        ----------
        message : Record, RecordAck, TakeBucket or BucketGiven
            What came; one of another pool or an unknown bucket is ignored.
        now : float
            Seconds.
        sender : str
            ``IP:PORT`` from which it came; answers go there.
        """
        fenced = self._fenced_by_bucket.get(message.bucket)
        if fenced is None or message.pool != self._pool:
            return []
        match message:
            case Record():
                return self._remember(message, fenced, sender)
            case TakeBucket():
                return self._reply(fenced.give(message), sender)
            case _:
                return self._hear(message, now, sender)

    def tick(self, now: float) -> list[Effect]:
        """Do everything that is due at this time."""
        effects: list[Effect] = []
        for bucket in sorted(self._busy):
            effects.extend(self._duty_by_bucket[bucket].advance(now))
            self._mark(bucket)
        return effects

    def record(
        self,
        bucket: int,
        contents: BucketContents,
        now: float,
        give_up_at: float,
    ) -> tuple[int, list[Effect]]:
        """Have home and heir hold something before it takes effect.

        Parameters
        ----------
        bucket : int
            Which bucket.
        contents : BucketContents
            What to hold, at most 24000 bytes in a frame.  The caller has
            looked for its keys in the store, and found none that forbids it.
        now : float
            Seconds.
        give_up_at : float
            Time in seconds from which it must not take effect; the longest
            replay time from now at most.

        Returns
        -------
        tuple of int and list of Effect
            The ticket, which one later effect names, either
            :class:`Recorded` or :class:`RecordRefused`; it may be among the
            effects that are returned here.
        """
        latest = min(give_up_at, now + self._horizon)
        pending = pending_record(next(self._tickets), contents, latest)
        duty = self._duty_by_bucket.get(bucket)
        reason = _admission(duty, pending, now)
        if duty is None or reason is not ResultCode.OK:
            return pending.ticket, [RecordRefused(pending.ticket, reason)]
        duty.outbox.pending.add(pending)
        effects = duty.advance(now)
        self._mark(bucket)
        return pending.ticket, effects

    def status(self, bucket: int) -> BucketStatus:
        """Return whether this agent is home of a bucket, and how far."""
        duty = self._duty_by_bucket.get(bucket)
        if duty is not None:
            return duty.status()
        if self._fenced_by_bucket[bucket].fence > self._pairs.view.number:
            return NotHome()
        return NotHome(self._pairs.newest(bucket).home)

    def settled_view(self) -> int:
        """Return the highest view in which this agent has settled its buckets.

        A bucket is settled once its home is in effect and its heir has
        acknowledged all of its contents.
        """
        duties = self._duty_by_bucket.values()
        if all(duty.settled() for duty in duties):
            self._settled_view = self._pairs.view.number
        return self._settled_view

    def _follow(self, pairs: ViewPairs, now: float) -> list[Effect]:
        self._pairs = pairs
        effects: list[Effect] = []
        for bucket, fenced in self._fenced_by_bucket.items():
            ruled = fenced.fence
            fenced.follow(pairs)
            effects.extend(self._change_duty(bucket, ruled, now))
        return effects

    def _change_duty(self, bucket: int, ruled: int, now: float) -> list[Effect]:
        former = self._duty_by_bucket.pop(bucket, None)
        self._busy.discard(bucket)
        pair = self._pairs.newest(bucket)
        if not self._me.is_run_of(pair.home):
            return [] if former is None else former.resign()
        duty = self._make_duty(bucket, former, ruled, now)
        self._duty_by_bucket[bucket] = duty
        effects = duty.advance(now)
        self._mark(bucket)
        return effects

    def _make_duty(
        self, bucket: int, former: HomeDuty | None, ruled: int, now: float
    ) -> HomeDuty:
        fenced = self._fenced_by_bucket[bucket]
        takeover = self._make_takeover(bucket, former, now)
        pair = self._pairs.newest(bucket)
        term = HomeTerm(
            pool=self._pool,
            view=self._pairs.view.number,
            bucket=bucket,
            pair=pair,
            since=now,
            heir_has_all=takeover.finished()
            and _heir_has_all(former, pair, ruled),
        )
        outbox = Outbox(self._timing) if former is None else former.outbox
        outbox.restart()
        return HomeDuty(term, takeover, outbox, fenced, self._store)

    def _make_takeover(
        self, bucket: int, former: HomeDuty | None, now: float
    ) -> Takeover:
        earlier = tuple(
            EarlierPair(
                number=number,
                members=self._pairs.living(pair),
                waited=0 if former is None else former.takeover.silence(number),
            )
            for number, pair in self._pairs.earlier(bucket).items()
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
            heard=self._fenced_by_bucket[bucket].heard,
            replay_horizon=self._horizon,
            timing=self._timing,
            now=now,
        )

    def _remember(
        self, record: Record, fenced: FencedBucket, sender: str
    ) -> list[Effect]:
        answer = fenced.take_record(record)
        effects = self._reply(answer, sender)
        duty = self._duty_by_bucket.get(record.bucket)
        if duty is not None and answer is not None and answer.accepted:
            effects.extend(duty.meet(record.contents))
            self._mark(record.bucket)
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

    def _hear(
        self, message: RecordAck | BucketGiven, now: float, sender: str
    ) -> list[Effect]:
        duty = self._duty_by_bucket.get(message.bucket)
        if duty is None:
            return []
        if isinstance(message, RecordAck):
            effects = duty.acknowledge(message, now, sender)
        else:
            effects = duty.hear(message, now)
        self._mark(message.bucket)
        return effects

    def _mark(self, bucket: int) -> None:
        if self._duty_by_bucket[bucket].idle():
            self._busy.discard(bucket)
        else:
            self._busy.add(bucket)


def _admission(
    duty: HomeDuty | None, pending: PendingRecord, now: float
) -> ResultCode:
    if duty is None:
        return ResultCode.STALE
    recovering = isinstance(duty.status(), Recovering)
    met_by_reason = {
        ResultCode.MALFORMED: pending.size > RECORD_BYTES,
        ResultCode.TIMED_OUT: now >= pending.give_up_at,
        ResultCode.RECOVERING: recovering and bool(pending.contents.entries),
        ResultCode.OVERLOADED: not duty.outbox.pending.has_room(pending.size),
    }
    return next(
        (reason for reason, met in met_by_reason.items() if met),
        ResultCode.OK,
    )


def _heir_has_all(former: HomeDuty | None, pair: Pair, ruled: int) -> bool:
    # Only a home that was in effect up to now knows what its heir has: one
    # that another home has fenced may have accepted records as that one's
    # heir, which its own former heir has never seen.
    if former is None or not former.settled():
        return False
    heir = former.term.pair.heir
    if heir is None or pair.heir is None or ruled > former.term.view:
        return False
    return heir.incarnation == pair.heir.incarnation
