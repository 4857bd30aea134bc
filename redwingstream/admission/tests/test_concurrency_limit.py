"""The concurrency limit with servers that fail when overloaded."""

import pytest

from redwingstream.admission.concurrency_limit import (
    COLD_LIMIT,
    ConcurrencyLimit,
    RunResult,
)
from redwingstream.admission.evidence import MIN_EVIDENCE_WITHOUT_REFERENCE
from redwingstream.admission.latency import PROOF_FACTOR
from redwingstream.admission.tests.fake_server import FakeServer, Simulation
from redwingstream.admission.warmth import JUMPS_TO_RELEARN, Warmth, WarmthSign

LATENCY = 0.05


class Driver:
    """Keeps a concurrency limit in full use, on a simulated clock."""

    def __init__(self, ceiling: int, expected: float | None = None) -> None:
        self.limit = ConcurrencyLimit(ceiling, expected)
        self.now = float(0)
        self.starts: list[float] = []

    def fill(self) -> int:
        """Start as many runs as the limit admits; return how many."""
        before = len(self.starts)
        while self.limit.try_start(self.now):
            self.starts.append(self.now)
        return len(self.starts) - before

    def end(self, latency=LATENCY, how=RunResult.COMPLETED) -> None:
        """End the oldest run after the given latency."""
        started_at = self.starts.pop(0)
        self.now = max(self.now, started_at + latency)
        self.limit.record_finished(self.now - started_at, how, self.now)

    def start(self) -> None:
        """Start one run."""
        assert self.limit.try_start(self.now)
        self.starts.append(self.now)

    def complete(self, count: int, latency=LATENCY) -> None:
        """Complete a number of runs while the limit is in full use."""
        for _ in range(count):
            self.fill()
            self.end(latency)
        while self.starts:
            self.end(0, RunResult.CANCELLED)


def warm(ceiling=3) -> Driver:
    driver = Driver(ceiling, LATENCY)
    driver.complete(200)
    assert driver.limit.limit == ceiling
    return driver


class TestColdStart:
    @pytest.mark.parametrize('slots', [1, 2, 3, 8])
    @pytest.mark.parametrize('warm_up', [5, 20, 60])
    @pytest.mark.parametrize('cold_factor', [3, 8, 20])
    @pytest.mark.parametrize('load', [1, 5])
    def test_announced_server_is_never_above_what_it_bears(
        self, slots, warm_up, cold_factor, load
    ):
        """A server that has just started is not overloaded.

        It handles one request at a time until it has completed a few dozen,
        while callers arrive at its full rate or five times that.  Guards
        against load assigned by the server's share of the pool instead of by
        evidence: the server would fail and lose its feeds.
        """
        server = FakeServer(slots, warm_up, cold_factor)
        simulation = Simulation(server, ConcurrencyLimit(slots))
        simulation.offer(load * slots / server.warm_latency, until=120)
        simulation.run(until=120)
        assert not server.has_fallen
        assert simulation.limit.limit == slots

    @pytest.mark.parametrize('load', [0.5, 2])
    @pytest.mark.parametrize('offset', [0, 0.013, 0.031, 0.049])
    def test_server_that_turns_cold_unannounced(self, load, offset):
        """A server that turns cold under load is not overloaded.

        It turns cold without announcing it while all its slots are in use, and
        its endpoints do not show it.  Guards against reacting only to
        completed runs and not to overdue ones: runs would start at the warm
        rate until late answers arrive, after the server has failed.
        """
        server = FakeServer(slots=3)
        simulation = Simulation(server, ConcurrencyLimit(ceiling=3))
        simulation.offer(load * 3 / server.warm_latency, until=200)
        simulation.run(until=60 + offset)
        assert simulation.limit.limit == 3
        server.turn_cold(simulation.now)
        simulation.run(until=200)
        assert not server.has_fallen
        assert simulation.limit.limit == 3

    def test_idle_server_that_turned_cold_unannounced(self):
        """The first burst after an idle hour does not overload a server.

        The server may have turned cold in that hour without any run to show
        it.  Guards against filling all slots because the server could handle
        that load an hour ago.
        """
        driver = warm()
        driver.now += 3600
        assert driver.fill() == COLD_LIMIT
        driver.end()
        assert driver.fill() == 3

    def test_server_that_turns_cold_before_its_latency_is_known(self) -> None:
        """The first raise does not overload a server that turned cold again.

        The server has just become warm, and the latency of its requests is
        not known yet, when it turns cold without announcing it.  Guards
        against too short a window, in which one warm latency before fifteen
        falling ones looks like random variation.
        """
        server = FakeServer(slots=2, warm_up=42, cold_factor=3)
        limit = ConcurrencyLimit(2)
        now = float(0)
        for completed in range(80):
            if completed == 49:
                server.turn_cold(now)
            assert limit.try_start(now)
            latency = server.start(now)
            if limit.try_start(now):
                server.start(now)
            now += latency
            server.finish()
            limit.record_finished(latency, RunResult.COMPLETED, now)
        assert not server.has_fallen

    @pytest.mark.parametrize('warm_up', [20, 38, 60])
    @pytest.mark.parametrize('cold_factor', [2, 3])
    def test_known_server_that_restarts(self, warm_up, cold_factor):
        """A restarted server of known latency is not overloaded.

        It is nearly as fast as before the restart long before it handles the
        same load.  Guards against raising the limit as soon as latencies are
        close to the expected ones.
        """
        server = FakeServer(2, warm_up, cold_factor)
        simulation = Simulation(server, ConcurrencyLimit(2))
        simulation.offer(80, until=200)
        simulation.run(until=60)
        assert simulation.limit.limit == 2
        server.completed = 0
        simulation.limit.server_restarted(simulation.now)
        simulation.run(until=60 + server.latency)
        server.max_excess = 0
        simulation.run(until=200)
        assert server.max_excess == 0
        assert simulation.limit.limit == 2

    def test_end_of_a_run_proves_nothing_since_its_start(self):
        warmth = Warmth(LATENCY)
        bound = warmth.reference.bound
        took = PROOF_FACTOR * LATENCY
        assert warmth.classify(took, 10, is_cold=True) is WarmthSign.IN_TIME
        started = 10 - took
        assert warmth.is_proven_warm(10)
        assert warmth.is_proven_warm(started + bound)
        assert not warmth.is_proven_warm(started + 1.01 * bound)

    def test_a_run_that_is_nearly_late_proves_nothing(self):
        warmth = Warmth(LATENCY)
        bound = warmth.reference.bound
        assert warmth.classify(bound, 10, is_cold=True) is WarmthSign.IN_TIME
        assert not warmth.is_proven_warm(10)

    def test_restart_resets_to_the_cold_limit(self):
        driver = warm()
        driver.limit.server_restarted(driver.now)
        assert driver.limit.limit == COLD_LIMIT
        assert driver.fill() == COLD_LIMIT


class TestGrowth:
    @pytest.mark.parametrize(('slots', 'needed'), [(2, 16), (3, 32)])
    def test_completed_requests_until_the_full_limit(self, slots, needed):
        """The number of completed requests matches docs/design/admission.md."""
        driver = Driver(slots, LATENCY)
        driver.complete(needed - 1)
        assert driver.limit.limit == slots - 1
        driver.complete(1)
        assert driver.limit.limit == slots

    def test_no_growth_while_the_limit_is_not_in_use(self):
        driver = Driver(8, LATENCY)
        driver.complete(16)
        for _ in range(100):
            driver.start()
            driver.end()
        assert driver.limit.limit == 2

    def test_no_growth_while_latencies_fall(self):
        driver = Driver(2)
        for number in range(100):
            driver.complete(1, latency=1 - number / 110)
        assert driver.limit.limit == COLD_LIMIT

    def test_without_an_expected_latency_more_is_needed(self):
        driver = Driver(2)
        driver.complete(MIN_EVIDENCE_WITHOUT_REFERENCE - 1)
        assert driver.limit.limit == COLD_LIMIT
        driver.complete(1)
        assert driver.limit.limit == 2

    def test_latency_of_peers_is_taken_while_none_is_known(self):
        driver = Driver(2)
        driver.limit.set_expected_latency(LATENCY)
        driver.limit.set_expected_latency(8 * LATENCY)
        driver.complete(MIN_EVIDENCE_WITHOUT_REFERENCE - 1, latency=8 * LATENCY)
        assert driver.limit.limit == COLD_LIMIT

    def test_slow_server_is_compared_with_the_expected_latency(self):
        driver = Driver(2, LATENCY)
        driver.complete(JUMPS_TO_RELEARN - 1, latency=8 * LATENCY)
        assert driver.limit.limit == COLD_LIMIT

    def test_permanently_slower_server_reaches_its_limit_again(self):
        driver = warm(ceiling=2)
        driver.complete(2, latency=8 * LATENCY)
        assert driver.limit.limit == COLD_LIMIT
        relearned = JUMPS_TO_RELEARN + MIN_EVIDENCE_WITHOUT_REFERENCE
        driver.complete(relearned, latency=8 * LATENCY)
        assert driver.limit.limit == 2


class TestShrinking:
    def test_one_long_request_holds_the_limit_and_costs_nothing_after(self):
        driver = warm()
        driver.start()
        driver.now += 10
        assert driver.fill() == 0
        driver.end(10)
        assert driver.fill() == COLD_LIMIT
        driver.end()
        assert driver.fill() == 3

    def test_timeout_is_a_sign_of_a_cold_start(self):
        driver = warm()
        driver.start()
        driver.end(2, RunResult.TIMED_OUT)
        assert driver.limit.limit == COLD_LIMIT

    def test_refusals_shrink_and_then_pause(self):
        driver = warm()
        for _ in range(2):
            driver.start()
            driver.end(0, RunResult.REFUSED)
            assert driver.limit.limit == COLD_LIMIT
        assert not driver.limit.try_start(driver.now + 0.4)
        assert driver.limit.try_start(driver.now + 0.5)

    def test_refused_raise_asks_for_twice_the_evidence(self):
        driver = warm(ceiling=2)
        driver.start()
        driver.end(0, RunResult.REFUSED)
        driver.complete(31)
        assert driver.limit.limit == 1
        driver.complete(1)
        assert driver.limit.limit == 2

    def test_cancelled_run_says_nothing(self):
        driver = warm()
        driver.start()
        driver.end(9, RunResult.CANCELLED)
        assert driver.limit.limit == 3
        assert driver.limit.in_flight == 0

    def test_draining_starts_nothing_and_lets_runs_finish(self):
        driver = warm()
        assert driver.fill() == 3
        driver.limit.drain()
        driver.end()
        assert driver.fill() == 0
        assert driver.limit.limit == 0
        assert driver.limit.in_flight == 2
        driver.limit.resume(driver.now)
        assert driver.limit.limit == COLD_LIMIT


class TestOverload:
    @pytest.mark.parametrize(
        ('load', 'least_use'), [(1, 0.55), (2, 0.72), (5, 0.87)]
    )
    def test_utilization_of_a_single_host(self, load, least_use):
        """Requests above the limit are refused at once, and the rest answered.

        Guards against queueing at twice and five times the capacity: requests
        would wait until their callers have given up, and the server would run
        them in vain.  Without a queue two slots carry the fraction of the
        capacity given by Erlang's loss formula: 0.6, 0.77 and 0.9 at these
        loads.  Several hosts together carry more.
        """
        server = FakeServer(slots=2, warm_up=0)
        simulation = Simulation(server, ConcurrencyLimit(ceiling=2))
        capacity = server.slots / server.warm_latency
        simulation.offer(load * capacity, until=60, seed=3)
        simulation.run(until=60)
        assert simulation.answered >= least_use * capacity * 60
        # Every request that was not admitted was refused on arrival.
        let_through = simulation.answered + server.running
        assert simulation.refused + let_through == simulation.offered
