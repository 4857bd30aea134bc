"""A backend server on a simulated clock that fails when overloaded."""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from redwingstream.admission.concurrency_limit import (
    ConcurrencyLimit,
    RunResult,
)

# Multiple of the warm latency for which a server that has turned cold without
# announcing it still handles its former load; nobody can detect it sooner.
SILENT_GRACE_FACTOR = 3


@attrs.define
class FakeServer:
    """Handles one run at a time while cold, and all its slots once warm.

    It warms up by completing requests and is slower until then.  A start above
    its capacity makes it fail permanently; the limit is not told of it.

    Parameters
    ----------
    slots : int
        Concurrent runs that it handles when warm.
    warm_up : int
        Number of completed requests until it is warm.
    cold_factor : float
        Latency of the first request as a multiple of the warm one.
    warm_latency : float
        Latency of a request in seconds when warm.
    """

    slots: int = 2
    warm_up: int = 40
    cold_factor: float = 8
    warm_latency: float = 0.05
    completed: int = 0
    running: int = 0
    max_excess: int = 0
    has_fallen: bool = False
    _grace_until: float = 0

    @property
    def warmth(self) -> float:
        """Degree of warm-up, from 0 (cold) to 1 (warm)."""
        return min(1, self.completed / self.warm_up) if self.warm_up else 1

    @property
    def capacity(self) -> int:
        """Concurrent runs that it handles now."""
        return self.slots if self.warmth == 1 else 1

    @property
    def latency(self) -> float:
        """Latency in seconds of a request that starts now."""
        slower = (self.cold_factor - 1) * (1 - self.warmth)
        return self.warm_latency * (1 + slower)

    def start(self, now: float) -> float:
        """Start a run and return its latency."""
        self.running += 1
        above = self.running - self.capacity
        self.max_excess = max(self.max_excess, above)
        if above > 0 and now > self._grace_until:
            self.has_fallen = True
        return self.latency

    def finish(self) -> None:
        """End a run."""
        self.running -= 1
        self.completed += 1

    def turn_cold(self, now: float) -> None:
        """Turn cold without announcing it."""
        self.completed = 0
        self._grace_until = now + SILENT_GRACE_FACTOR * self.warm_latency


class Simulation:
    """Callers that request runs at a steady rate, on a simulated clock.

    Parameters
    ----------
    server : FakeServer
        Server that executes the runs.
    limit : ConcurrencyLimit
        Limit that admits them.
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

    def schedule(self, when: float, event: Callable[[], None]) -> None:
        """Schedule an event at a point in time."""
        heapq.heappush(self._events, (when, next(self._order), event))

    def offer(self, rate: float, until: float, seed: int | None = None):
        """Schedule requests at a rate per second, evenly or at random times."""
        drawn = random.Random(seed)
        when = self.now
        while when < until:
            self.offered += 1
            self.schedule(when, self.arrive)
            when += 1 / rate if seed is None else drawn.expovariate(rate)

    def arrive(self) -> None:
        """Request one run."""
        if not self.limit.try_start(self.now):
            self.refused += 1
            return
        latency = self.server.start(self.now)
        self.schedule(self.now + latency, lambda: self._complete(latency))

    def run(self, until: float) -> None:
        """Process events and advance the clock to a point in time."""
        while self._events and self._events[0][0] <= until:
            when, _, event = heapq.heappop(self._events)
            self.now = when
            event()
        self.now = until

    def _complete(self, latency: float) -> None:
        self.server.finish()
        self.answered += 1
        self.limit.record_finished(latency, RunResult.COMPLETED, self.now)
