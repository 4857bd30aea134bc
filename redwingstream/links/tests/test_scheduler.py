"""Urgent and bulk packets on the link of a balancer."""

import attrs

from redwingstream.links.bulk_admission import RETRANSMISSION_SECONDS
from redwingstream.links.bulk_queue import MAX_AGE
from redwingstream.links.events import LinkFull, LinkHasCapacity
from redwingstream.links.scheduler import (
    BURST_SECONDS,
    HEADER_BYTES,
    LINK_QUEUE_SECONDS,
    RATE_FRACTION,
    LinkScheduler,
)
from redwingstream.packets.effects import BulkToPeer
from redwingstream.packets.flow import FlowId, address_of

RATE = 256_250  # bytes per second of a link of 2.05 Mbit/s
AGENT = address_of('10.1.0.1', 8172)
PAYLOAD = bytes(1272)
URGENT = 200  # bytes


def _window(flow: int, first: int = 0, count: int = 16) -> list[BulkToPeer]:
    return [
        BulkToPeer(PAYLOAD, AGENT, FlowId(flow), first + number, 1232)
        for number in range(count)
    ]


def _urgent_load(rate: float, seconds: float) -> list[tuple[float, int]]:
    pause = (URGENT + HEADER_BYTES) / rate
    return [(pause * number, URGENT) for number in range(int(seconds / pause))]


@attrs.define
class Link:
    """A link that queues 50 ms of packets, behind a scheduler."""

    log: list[object] = attrs.field(factory=list)
    scheduler: LinkScheduler | None = None
    sent_at: float = 0
    delivered: list[tuple[float, BulkToPeer | int]] = attrs.field(factory=list)
    lost: list[BulkToPeer | int] = attrs.field(factory=list)
    max_waiting: int = 0

    def run(
        self, arrivals: list[tuple[float, BulkToPeer | int]], until: float = 3
    ) -> 'Link':
        """Send packets that arrive at the given times."""
        drain_at = None
        for now, item in sorted(arrivals, key=lambda one: one[0]):
            drain_at = self._drain(drain_at, now)
            if self._is_sent_at_once(item, now):
                self._transmit(item, now)
            if self.scheduler is not None:
                drain_at = drain_at or self.scheduler.next_drain(now)
        self._drain(drain_at, until)
        return self

    def bulk(self) -> list[BulkToPeer]:
        """Return the bulk packets in the order of their delivery."""
        return [one for _, one in self.delivered if isinstance(one, BulkToPeer)]

    def _drain(self, drain_at: float | None, until: float) -> float | None:
        while drain_at is not None and drain_at <= until:
            self.max_waiting = max(self.max_waiting, self.scheduler.queue.size)
            for due in self.scheduler.pop_due(drain_at):
                self._transmit(due, drain_at)
            drain_at = self.scheduler.next_drain(drain_at)
        return drain_at

    def _is_sent_at_once(self, item: BulkToPeer | int, now: float) -> bool:
        if self.scheduler is None:
            return True
        if isinstance(item, BulkToPeer):
            return self.scheduler.admit_bulk(item, now)
        self.scheduler.record_urgent(item, now)
        return True

    def _transmit(self, item: BulkToPeer | int, now: float) -> None:
        size = item if isinstance(item, int) else len(item.payload)
        begin = max(self.sent_at, now)
        if begin - now > LINK_QUEUE_SECONDS:
            self.lost.append(item)
            return
        self.sent_at = begin + (size + HEADER_BYTES) / RATE
        self.delivered.append((self.sent_at, item))


def _scheduled() -> Link:
    log: list[object] = []
    return Link(log, LinkScheduler(RATE, log.append))


class TestLowBandwidthLink:
    """Uploads of 16 packets at a time and requests on a 2.05 Mbit/s link."""

    def test_loses_no_urgent_packet(self) -> None:
        """Guards against uploads that make the link drop opening packets."""
        packets = [*_window(1), *_window(2), *_window(3)]
        load = [(0.1 + at / 500, one) for at, one in enumerate(packets)]
        load += _urgent_load(0.3 * RATE, 0.5)
        assert URGENT in Link().run(load).lost
        link = _scheduled().run(load)
        assert not link.lost
        assert len(link.bulk()) == len(packets)

    def test_sends_urgent_packets_first(self) -> None:
        """Guards against requests that wait behind a whole window."""
        link = _scheduled().run(
            [*((0, one) for one in _window(1)), (0.03, URGENT)]
        )
        sent_at = next(at for at, item in link.delivered if item == URGENT)
        assert sent_at <= 0.03 + BURST_SECONDS + 0.01

    def test_two_uploads_share_it_fairly(self) -> None:
        """Guards against an upload that waits for the whole of another one."""
        load = [(0, one) for one in _window(1)]
        load += [(0.001, one) for one in _window(2)]
        flows = [packet.flow for packet in _scheduled().run(load).bulk()]
        assert flows[:20].count(2) >= 7
        assert len(flows) == 32

    def test_passes_a_window_whole(self) -> None:
        """Guards against retransmissions of an upload that is alone."""
        link = _scheduled().run([(0, one) for one in _window(1)])
        assert [packet.sequence for packet in link.bulk()] == list(range(16))
        assert link.sent_at < RETRANSMISSION_SECONDS


class TestDuplicates:
    """Retransmissions of packets that are queued or were sent."""

    def test_suppresses_a_queued_duplicate(self) -> None:
        """Guards against a load that grows with the time packets wait."""
        load = [(0, one) for one in _window(1) * 2]
        link = _scheduled().run(load)
        suppressed = link.scheduler.queue.counters.duplicates
        assert suppressed > 8
        assert len(link.bulk()) == 32 - suppressed

    def test_sends_a_retransmission_of_a_sent_packet(self) -> None:
        """Guards against a packet lost on the way that is never resent."""
        load = [(at, _window(1)[0]) for at in (0, 0.2)]
        assert len(_scheduled().run(load).bulk()) == 2


class TestStarvation:
    """Urgent traffic below and above the rate, with more bulk than fits."""

    def _bulk_load(self) -> list[tuple[float, BulkToPeer]]:
        return [
            (step / 10, one)
            for step in range(20)
            for one in _window(step % 3, first=48 * step, count=48)
        ]

    def test_bulk_gets_what_urgent_traffic_leaves(self) -> None:
        """Guards against bulk that stops while the link has capacity."""
        urgent = _urgent_load(0.5 * RATE, 2)
        link = _scheduled().run([*urgent, *self._bulk_load()], 2)
        left = (RATE_FRACTION - 0.5) * RATE * 2
        assert link.scheduler.counters.bulk_bytes > 0.9 * left
        assert URGENT not in link.lost

    def test_bulk_is_dropped_while_urgent_exceeds_the_rate(self) -> None:
        """Guards against a queue that grows, or is sent long after."""
        urgent = _urgent_load(1.2 * RATE, 2)
        link = _scheduled().run([*urgent, *self._bulk_load()], 2)
        queue = link.scheduler.queue
        assert queue.counters.expired > 0
        assert queue.counters.overflowed > 0
        assert link.max_waiting <= RATE * MAX_AGE
        assert queue.oldest_wait(2) <= MAX_AGE + 0.01
        drained = link.scheduler.pop_due(2.3)
        assert drained


class TestFailures:
    """The drain timer runs late because the process did not run."""

    def test_a_late_timer_sends_one_burst(self) -> None:
        """Guards against overflowing the link with all that has waited."""
        scheduler = LinkScheduler(RATE, print)
        for packet in _window(1):
            scheduler.admit_bulk(packet, 0)
        sent = len(scheduler.pop_due(0.4)) * len(PAYLOAD)
        assert 0 < sent <= BURST_SECONDS * RATE + len(PAYLOAD)

    def test_a_timer_later_than_the_age_limit_sends_nothing(self) -> None:
        """Guards against sending what was retransmitted in the meantime."""
        scheduler = LinkScheduler(RATE, print)
        for packet in _window(1):
            scheduler.admit_bulk(packet, 0)
        assert not scheduler.pop_due(MAX_AGE + 0.1)
        assert scheduler.next_drain(MAX_AGE + 0.1) is None
        assert not scheduler.queue.size


class TestFullness:
    """The log of a link that is full again and again within a second."""

    def test_logs_each_change_once(self) -> None:
        """Guards against two log lines for each window of an upload."""
        link = _scheduled()
        link.run(
            [(at / 10, one) for at in range(5) for one in _window(1, 16 * at)]
        )
        link.scheduler.check(2)
        assert [type(one) for one in link.log] == [LinkFull, LinkHasCapacity]
