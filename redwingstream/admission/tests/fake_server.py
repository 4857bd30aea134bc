"""A backend server on a simulated clock that falls over when overloaded."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from redwingstream.admission.limit import ConcurrencyLimit, RunResult

# Multiples of the warm latency for which a server that has turned cold without
# a word bears the load that it had.  Nobody outside can know sooner.
SILENT_GRACE = 3


@attrs.define
class FakeServer:
    """Bears one run at a time while cold, all its slots once warm.

    It warms up by completing requests and is slower until then.  A start above
    what it bears makes it fall over for good; nothing tells the limit so.

    Parameters
    ----------
    slots : int
        What it bears when warm.
    warm_up : int
        Completed requests until it is warm.
    cold_factor : float
        Latency of the first request as a multiple of the warm one.
    warm_latency : float
        Seconds.
    """

    slots: int = 2
    warm_up: int = 40
    cold_factor: float = 8
    warm_latency: float = 0.05
    completed: int = 0
    running: int = 0
    most_above: int = 0
    has_fallen: bool = False
    _grace_until: float = 0

    @property
    def warmth(self) -> float:
        """From 0, cold, to 1."""
        return min(1, self.completed / self.warm_up) if self.warm_up else 1

    @property
    def bears(self) -> int:
        """Runs that it bears at once."""
        return self.slots if self.warmth == 1 else 1

    @property
    def latency(self) -> float:
        """Seconds that a request takes which starts now."""
        slower = (self.cold_factor - 1) * (1 - self.warmth)
        return self.warm_latency * (1 + slower)

    def start(self, now: float) -> float:
        """Start a run and return its latency."""
        self.running += 1
        above = self.running - self.bears
        self.most_above = max(self.most_above, above)
        if above > 0 and now > self._grace_until:
            self.has_fallen = True
        return self.latency

    def finish(self) -> None:
        """End a run."""
        self.running -= 1
        self.completed += 1

    def turn_cold(self, now: float) -> None:
        """Lose all warmth without a word."""
        self.completed = 0
        self._grace_until = now + SILENT_GRACE * self.warm_latency


class Simulation:
    """Callers that ask for a run at a steady rate, on a simulated clock.

    Parameters
    ----------
    server : FakeServer
        What carries the runs.
    limit : ConcurrencyLimit
        What lets them through.
    """

    def __init__(self, server: FakeServer, limit: ConcurrencyLimit) -> None:
        self.server = server
        self.limit = limit
        self.now = float(0)
        self.offered = 0
        self.refused = 0
        self.answered = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, event: Callable[[], None]) -> None:
        """Run something at a time."""
        heapq.heappush(self._events, (when, next(self._order), event))

    def offer(self, rate: float, until: float, seed: int | None = None):
        """Ask for runs, so many a second, in step or at random times."""
        drawn = random.Random(seed)
        when = self.now
        while when < until:
            self.offered += 1
            self.at(when, self.arrive)
            when += 1 / rate if seed is None else drawn.expovariate(rate)

    def arrive(self) -> None:
        """Ask for one run."""
        if not self.limit.try_start(self.now):
            self.refused += 1
            return
        latency = self.server.start(self.now)
        self.at(self.now + latency, lambda: self._complete(latency))

    def run(self, until: float) -> None:
        """Advance the clock."""
        while self._events and self._events[0][0] <= until:
            when, _, event = heapq.heappop(self._events)
            self.now = when
            event()
        self.now = until

    def _complete(self, latency: float) -> None:
        self.server.finish()
        self.answered += 1
        self.limit.record_finished(latency, RunResult.COMPLETED, self.now)
