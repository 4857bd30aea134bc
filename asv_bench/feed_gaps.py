"""Gaps between fresh states at callers when packets are lost both ways.

``python -m asv_bench.feed_gaps`` compares first waits for an ACK.  A seeded
simulation on a discrete clock: the real carrier of feeds, callers that
acknowledge, and a network that loses a fixed share of the packets.
"""

import heapq
import itertools
import random
from collections.abc import Iterator

import attrs

from redwingstream.flows.effects import FeedEffect, OpenFeed, SendToCaller
from redwingstream.flows.feed_state import FeedLimits
from redwingstream.flows.feeds import FeedCarrier
from redwingstream.flows.observe import is_newer
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.flows.return_paths import ReturnPaths
from redwingstream.wire import coap

SEED = 7
FEEDS = 20
SECONDS = 600
INTERVAL = 0.5
ONE_WAY = 0.005
LOSSES = (0, 0.02, 0.05, 0.1)
# First wait, longest wait and repeats; the first line is what there was before.
CANDIDATES = ((1.0, 16.0, 4), (0.4, 2.0, 12), (0.2, 2.0, 13))
SERVICE = '127.0.0.1:5683'
BALANCERS = ('127.0.1.1:7000', '127.0.1.2:7000', '127.0.1.3:7000')


@attrs.define(order=True)
class _Event:
    """Something that reaches one end at a time."""

    at: float
    serial: int
    effect: SendToCaller | None = attrs.field(order=False, default=None)
    reply: bytes = attrs.field(order=False, default=b'')
    caller: str = attrs.field(order=False, default='')


class Trial:
    """One run with one loss and one pair of limits.

    Parameters
    ----------
    loss : float
        Share of the packets lost, each way.
    ack_timeout : float
        Seconds that the first copy waits.
    max_ack_timeout : float
        Seconds that a copy waits at the most.
    max_repeats : int
        Repeats before a caller counts as gone.
    """

    def __init__(
        self,
        loss: float,
        ack_timeout: float,
        max_ack_timeout: float,
        max_repeats: int,
    ) -> None:
        self._rng = random.Random(SEED)
        self._loss = loss
        self._paths = ReturnPaths()
        limits = FeedLimits(
            ack_timeout=ack_timeout,
            max_ack_timeout=max_ack_timeout,
            max_repeats=max_repeats,
        )
        self.carrier = FeedCarrier(
            'host#1', 'pool', self._paths, random.Random(SEED), limits
        )
        self._serial = itertools.count()
        self._events: list[_Event] = []
        self._sources = []
        self._number_by_caller: dict[str, int] = {}
        self._seen_by_caller: dict[str, list[float]] = {}

    def run(self) -> list[float]:
        """Return all gaps between fresh states, in seconds."""
        self._open()
        now = float()
        while now < SECONDS:
            now += INTERVAL
            self._run_until(now)
            for source in self._sources:
                notification = coap.Message(code=coap.CONTENT, payload=b'31')
                notification.mtype = coap.CON
                notification.mid = 1
                notification.opt.observe = int(now / INTERVAL)
                self._perform(
                    self.carrier.handle_notification(source, notification, now),
                    now,
                )
        return [
            later - earlier
            for seen in self._seen_by_caller.values()
            for earlier, later in itertools.pairwise(seen)
        ]

    def _open(self) -> None:
        for balancer in BALANCERS:
            self._paths.record_heard(balancer, 0)
        for number in range(FEEDS):
            request = coap.Message(code=coap.GET, uri_path=('feed',))
            request.mtype = coap.NON
            request.mid = number
            request.token = bytes((number,))
            request.opt.observe = coap.OBSERVE_REGISTER
            key = FlowKey(f'10.0.0.{number}:1', SERVICE, request.token)
            record = FlowRecord(key, 'host#1', 0, coap.encode(request))
            self.carrier.register(record, request, BALANCERS[0], 0)
        opens: list[OpenFeed] = self.carrier.next_registrations(0, FEEDS)
        self._sources = [each.source for each in opens]

    def _run_until(self, end: float) -> None:
        for now in self._times(end):
            for balancer in BALANCERS:
                self._paths.record_heard(balancer, now)
            while self._events and self._events[0].at <= now:
                self._take(heapq.heappop(self._events), now)
            self._perform(self.carrier.poll(now), now)

    def _times(self, end: float) -> Iterator[float]:
        while True:
            due = self.carrier.next_due()
            coming = self._events[0].at if self._events else end
            now = min(end, coming, end if due is None else due)
            yield now
            if now >= end:
                return

    def _perform(self, effects: list[FeedEffect], now: float) -> None:
        for effect in effects:
            if isinstance(effect, SendToCaller):
                self._send(now, effect=effect)

    def _send(self, now: float, **what: object) -> None:
        if self._rng.random() >= self._loss:
            event = _Event(now + ONE_WAY, next(self._serial), **what)
            heapq.heappush(self._events, event)

    def _take(self, event: _Event, now: float) -> None:
        if event.effect is None:
            reply = coap.decode(event.reply)
            effects = self.carrier.handle_reply(
                event.caller, SERVICE, reply, now
            )
            self._perform(effects, now)
            return
        packet = coap.decode(event.effect.payload)
        caller = event.effect.caller
        ack = coap.encode(coap.empty(coap.ACK, packet.mid))
        self._send(now, reply=ack, caller=caller)
        number = packet.opt.observe
        known = self._number_by_caller.get(caller)
        if number is not None and (known is None or is_newer(number, known)):
            self._number_by_caller[caller] = number
            self._seen_by_caller.setdefault(caller, []).append(now)


def _longer(gaps: list[float], seconds: int) -> int:
    rounded = [round(gap, 2) for gap in gaps]
    return len([gap for gap in rounded if gap > seconds])


def main() -> None:
    """Print the table."""
    print('loss  first wait  repeats  >1 s  >3 s  longest  repeats sent  ended')
    for loss, waits in itertools.product(LOSSES, CANDIDATES):
        wait, _, repeats = waits
        trial = Trial(loss, *waits)
        gaps = trial.run()
        counters = trial.carrier.counters
        print(
            f'{loss:4.2f}  {wait:10.1f}  {repeats:7d}  '
            f'{_longer(gaps, 1):4d}  '
            f'{_longer(gaps, 3):4d}  {max(gaps):7.2f}  '
            f'{counters.repeats:12d}  {counters.unanswered:5d}',
        )


if __name__ == '__main__':
    main()
