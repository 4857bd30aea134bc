"""What it costs to hand buckets over when a pool's members change.

Keepers and their real stores, joined by a network that counts frames and loses
nothing.  Bytes are those of the sealed frames.
``python -m asv_bench.handoff``.
"""

import time
from collections import Counter, deque

import attrs

from asv_bench import fitting, memory, output
from redwingstream.agent.store import AgentStore
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.placement.effects import Effect, Send
from redwingstream.placement.keeper import BucketKeeper
from redwingstream.placement.rendezvous import PairTable
from redwingstream.requests.records import RequestKey, RequestState
from redwingstream.tables.rows import (
    DEFAULT_BUCKETS,
    EarlierView,
    PoolView,
    ViewMember,
)
from redwingstream.wire.frames import FrameCodec

POOL = 'sward-live'
BUCKETS = DEFAULT_BUCKETS
HORIZON = 300.0
SIZES = (250, 500, 1000, 2000)
"""Feeds, and as many ledger entries, of the whole pool."""

MEMBER_SIZES = (4, 8, 16, 32)
FEEDS_AT_SIZES = 1000
BUCKET_SIZES = (64, 128, 256, 512)
STEPS = (
    ('one joins seven', 7, 8),
    ('one of eight leaves', 8, 7),
    ('one of four leaves', 4, 3),
)
STEP = 0.05
MOST_STEPS = 400
MILLI = 1000


@attrs.define
class HandoffCount:
    """What went over the network.

    Parameters
    ----------
    frames, frame_bytes : int
        All of it.
    moved : int
        Buckets whose home is another one than before.
    seconds : float
        Processor time of all agents together.
    frames_by_kind : Counter
        Frames by class of message.
    """

    frames: int = 0
    frame_bytes: int = 0
    moved: int = 0
    seconds: float = 0
    frames_by_kind: Counter[str] = attrs.field(factory=Counter)


class Pool:
    """Agents of one pool as far as buckets go.

    Parameters
    ----------
    members : tuple of ViewMember
        All that will ever be in a view.
    buckets : int
        Of the pool.
    """

    def __init__(
        self, members: tuple[ViewMember, ...], buckets: int = BUCKETS
    ) -> None:
        self.buckets = buckets
        self.store_by_endpoint = {
            member.endpoint: AgentStore(member.host, HORIZON)
            for member in members
        }
        self.keeper_by_endpoint = {
            member.endpoint: BucketKeeper(
                member.host,
                member.incarnation,
                POOL,
                self.store_by_endpoint[member.endpoint],
                HORIZON,
                buckets,
            )
            for member in members
        }
        self.count = HandoffCount()
        self._codec = FrameCodec(b'k' * 32)
        self._held: deque[tuple[str, Send]] = deque()
        self._now = float()

    def adopt(self, view: PoolView) -> None:
        """Let everyone adopt a view, and run until all have settled it."""
        started = time.process_time()
        for endpoint, keeper in self.keeper_by_endpoint.items():
            self._hold(endpoint, keeper.apply_view(view, self._now))
        self._deliver()
        for _ in range(MOST_STEPS):
            if self._is_settled(view):
                break
            self._now += STEP
            for endpoint, keeper in self.keeper_by_endpoint.items():
                self._hold(endpoint, keeper.tick(self._now))
            self._deliver()
        else:
            raise RuntimeError('the view has not settled')
        self.count.seconds = time.process_time() - started

    def _is_settled(self, view: PoolView) -> bool:
        return all(
            self.keeper_by_endpoint[member.endpoint].settled_view()
            == view.number
            for member in view.members
        )

    def _hold(self, source: str, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._held.append((source, effect))

    def _deliver(self) -> None:
        while self._held:
            source, send = self._held.popleft()
            self.count.frames += 1
            self.count.frame_bytes += len(self._codec.seal(send.message))
            self.count.frames_by_kind[type(send.message).__name__] += 1
            keeper = self.keeper_by_endpoint[send.endpoint]
            effects = keeper.on_message(send.message, self._now, source)
            self._hold(send.endpoint, effects)


def members_of(number: int) -> tuple[ViewMember, ...]:
    """Return agents in three zones."""
    return tuple(
        ViewMember(f'h{each}', 1, f'10.0.0.{each + 1}:7000', f'z{each % 3}')
        for each in range(number)
    )


def measure(
    before: int, after: int, feeds: int, buckets: int = BUCKETS
) -> HandoffCount:
    """Change the number of members of a pool that holds feeds."""
    members = members_of(max(before, after))
    pool = Pool(members, buckets)
    old = PoolView(POOL, 1, members[:before])
    pool.adopt(old)
    settled = attrs.evolve(old, unsettled=())
    _fill(pool, settled, feeds)
    pool.count = HandoffCount()
    earlier = EarlierView(1, old.members)
    new = PoolView(POOL, 2, members[:after], (earlier,))
    pool.adopt(new)
    former, latest = PairTable.from_view(old), PairTable.from_view(new)
    pool.count.moved = sum(
        former.pair(bucket).home != latest.pair(bucket).home
        for bucket in range(buckets)
    )
    return pool.count


def main() -> None:
    """Measure by the contents and by the size of the pool."""
    report = output.Report('handoff')
    flags = output.read_flags('handoff')
    rows = [
        _row(title, size, measure(before, after, size))
        for title, before, after in STEPS
        for size in SIZES
    ]
    report.add('one host; feeds and ledger entries of the pool', rows)
    report.add('slopes by feeds', _slopes(rows, 'size'))
    rows = [
        _row('leaves', size, measure(size, size - 1, FEEDS_AT_SIZES))
        for size in MEMBER_SIZES
    ]
    report.add('one leaves, 1000 feeds; members of the pool', rows)
    rows = [
        _row('third leaves', size, measure(size, size * 2 // 3, FEEDS_AT_SIZES))
        for size in (6, 12, 24)
    ]
    report.add('a third of the members leaves at once', rows)
    rows = [
        _row('joins', buckets, measure(7, 8, FEEDS_AT_SIZES, buckets))
        for buckets in BUCKET_SIZES
    ]
    report.add('one joins seven, 1000 feeds; buckets of the pool', rows)
    report.finish(flags.json)


def _fill(pool: Pool, view: PoolView, feeds: int) -> None:
    pairs = PairTable.from_view(view)
    for number in range(feeds):
        bucket = number % pool.buckets
        caller = memory.caller(number)
        token = number.to_bytes(4)
        key = FlowKey(caller, memory.SERVICE, token)
        record = FlowRecord(
            key, 'h1#1', registration=memory.REGISTRATION + token
        )
        request = RequestKey(caller, memory.SERVICE, number, token)
        for member in pairs.pair(bucket).members():
            store = pool.store_by_endpoint[member.endpoint]
            store.flows.put(bucket, record, 0)
            store.ledger.begin(bucket, request, token, 0)
            store.ledger.finish(
                request, token, RequestState.ANSWERED, memory.ANSWER, 0
            )


def _row(title: str, size: int, count: HandoffCount) -> dict[str, object]:
    return {
        'change': title,
        'size': size,
        'buckets moved': count.moved,
        'frames': count.frames,
        'bytes': count.frame_bytes,
        'ms of all agents': count.seconds * MILLI,
        'bytes a moved bucket': count.frame_bytes / max(count.moved, 1),
        'frames by kind': dict(count.frames_by_kind),
    }


def _slopes(
    rows: list[dict[str, object]], column: str
) -> list[dict[str, object]]:
    slopes = []
    for title, _, _ in STEPS:
        chosen = [row for row in rows if row['change'] == title]
        sizes = [row[column] for row in chosen]
        line = fitting.fit(sizes, [row['bytes'] for row in chosen])
        slopes.append({'change': title, **attrs.asdict(line)})
    return slopes


if __name__ == '__main__':
    main()
