"""A server that turns cold without a word, while it runs what it was given."""

import heapq

from redwingstream.admission.limit import ConcurrencyLimit, RunResult
from redwingstream.admission.tests.fake_server import FakeServer

ASKING = 8


class _Load:
    """Callers who ask for more than a server bears."""

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

    def be_full_for(self, runs: int) -> None:
        for _ in range(runs):
            self.ask(ASKING)
            when, latency = heapq.heappop(self.ends)
            self.now = when
            self.server.finish()
            self.limit.record_finished(latency, RunResult.COMPLETED, self.now)


class TestSilentCold:
    """What a server is given that has turned cold without a word."""

    def test_runs_that_are_a_little_late_prove_nothing(self) -> None:
        """Callers lose a server that was half-way through its warm-up.

        A server turns cold while it runs two requests; they end in their usual
        time and warm it half.  The next two take 2.5 times as long, which was
        still in time.  Taken for a proof that it is warm, they let two more
        start at once, under which it falls over.
        """
        load = _Load(FakeServer(slots=2, warm_up=4, cold_factor=4))
        load.be_full_for(1)
        load.be_full_for(65)
        load.ask(1)
        load.server.turn_cold(load.now)
        load.be_full_for(4)
        assert not load.server.has_fallen
