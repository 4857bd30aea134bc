"""A server that turns cold during runs without announcing it."""

import heapq

from redwingstream.admission.concurrency_limit import (
    ConcurrencyLimit,
    RunResult,
)
from redwingstream.admission.tests.fake_server import FakeServer

CALLERS = 8


class _Load:
    """Callers that request more than a server can handle."""

    def __init__(self, server: FakeServer) -> None:
        self.server = server
        self.limit = ConcurrencyLimit(server.slots)
        self.now = float(0)
        self.ends: list[tuple[float, float]] = []

    def ask(self, count: int) -> None:
        for _ in range(count):
            if self.limit.try_start(self.now):
                latency = self.server.start(self.now)
                heapq.heappush(self.ends, (self.now + latency, latency))

    def run_at_full_load(self, runs: int) -> None:
        for _ in range(runs):
            self.ask(CALLERS)
            when, latency = heapq.heappop(self.ends)
            self.now = when
            self.server.finish()
            self.limit.record_finished(latency, RunResult.COMPLETED, self.now)


class TestSilentCold:
    """Admission to a server that has turned cold without announcing it."""

    def test_runs_that_are_a_little_late_prove_nothing(self) -> None:
        """A server half-way through its warm-up is not overloaded.

        It turns cold while it runs two requests, which end in their usual time
        and warm it up by half.  The next two take 2.5 times as long, which is
        not a jump.  Guards against counting them as a proof that the server is
        warm: two more runs would start at once and overload it.
        """
        load = _Load(FakeServer(slots=2, warm_up=4, cold_factor=4))
        load.run_at_full_load(1)
        load.run_at_full_load(65)
        load.ask(1)
        load.server.turn_cold(load.now)
        load.run_at_full_load(4)
        assert not load.server.has_fallen
