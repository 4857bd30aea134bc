"""Decides when a balancer sends each packet, by the rate of its link."""

from collections.abc import Callable
from typing import Any

import attrs

from redwingstream.links.bulk_queue import MAX_AGE, BulkQueue
from redwingstream.links.fullness import Fullness
from redwingstream.packets.effects import BulkToPeer

RATE_FRACTION = 0.9
"""Fraction of the link's rate that is scheduled.  The rest is left for control
traffic and the headers of the link layer, which are not counted."""

LINK_QUEUE_SECONDS = 0.05
"""Seconds of packets that the link of an instance queues; it drops any that
arrive beyond that."""

BURST_SECONDS = 0.02
"""Seconds of packets in the link's queue up to which bulk packets are sent.
The rest of the queue is left for bursts of urgent packets."""

DRAIN_PAUSE = 0.01
"""Minimum seconds between two runs of the drain timer.  Half of the burst, so
that the link is never idle while packets wait, and a fast link does not cause
a wake-up for each packet."""

MAX_QUEUED_BYTES = 262144
"""Maximum number of bytes that wait on a fast link."""

FULL_AFTER = 0.05
"""Seconds for which a bulk packet waits before the link counts as full."""

HEADER_BYTES = 28
"""Bytes of the IP and UDP headers of a packet."""


@attrs.define
class LinkCounters:
    """Counts of bytes sent, with IP and UDP headers."""

    urgent_bytes: int = 0
    bulk_bytes: int = 0


class LinkScheduler:
    """Sends urgent packets at once, bulk packets as the rate allows.

    Parameters
    ----------
    link_rate : float
        Bytes per second that the link carries; finite.
    log : callable
        Writes a log event.

    Notes
    -----
    The token bucket is kept as the time at which the link will have sent all
    packets that it was given.  This takes one assignment per packet and no
    periodic refill.
    """

    def __init__(self, link_rate: float, log: Callable[[Any], None]) -> None:
        rate = link_rate * RATE_FRACTION
        self.counters = LinkCounters()
        self.queue = BulkQueue(min(MAX_QUEUED_BYTES, int(rate * MAX_AGE)))
        self.fullness = Fullness(log)
        self._seconds_per_byte = 1 / rate
        self._sent_at = float('-inf')

    def record_urgent(self, size: int, now: float) -> None:
        """Record that an urgent packet of some bytes is sent."""
        size += HEADER_BYTES
        self.counters.urgent_bytes += size
        sent_at = max(self._sent_at, now) + size * self._seconds_per_byte
        # The link drops what exceeds its queue, so that does not delay bulk.
        limit = now + LINK_QUEUE_SECONDS
        if sent_at > limit:
            sent_at = limit
            self.fullness.record_full('urgent packets exceed its rate', now)
        self._sent_at = sent_at

    def admit_bulk(self, packet: BulkToPeer, now: float) -> bool:
        """Whether to send a bulk packet at once; otherwise it is queued."""
        if self.queue or not self._may_send(now):
            self.queue.add(packet, now)
            return False
        self._record_bulk(packet, now)
        return True

    def pop_due(self, now: float) -> list[BulkToPeer]:
        """Remove and return the queued packets that are to be sent now."""
        self._check_wait(now)
        self.queue.expire(now)
        due = []
        while self.queue and self._may_send(now):
            packet = self.queue.pop()
            self._record_bulk(packet, now)
            due.append(packet)
        return due

    def next_drain(self, now: float) -> float | None:
        """Return when to call :meth:`pop_due`, or None if nothing waits."""
        if not self.queue:
            return None
        return max(now + DRAIN_PAUSE, self._sent_at - BURST_SECONDS)

    def full_at(self, now: float) -> float:
        """Return the last time at which the link was full."""
        self._check_wait(now)
        return self.fullness.full_at

    def check(self, now: float) -> None:
        """Log whether the link is full; to be called periodically."""
        self._check_wait(now)
        self.fullness.check(now)

    def _may_send(self, now: float) -> bool:
        return self._sent_at <= now + BURST_SECONDS

    def _record_bulk(self, packet: BulkToPeer, now: float) -> None:
        size = len(packet.payload) + HEADER_BYTES
        self.counters.bulk_bytes += size
        self._sent_at = max(self._sent_at, now) + size * self._seconds_per_byte

    def _check_wait(self, now: float) -> None:
        if self.queue.oldest_wait(now) > FULL_AFTER:
            self.fullness.record_full('bulk packets wait', now)
