"""The concurrency limit against servers that fall over."""

import pytest

from redwingstream.admission.evidence import FIRST_EVIDENCE
from redwingstream.admission.latency import PROOF_FACTOR
from redwingstream.admission.limit import (
    COLD_LIMIT,
    ConcurrencyLimit,
    RunResult,
)
from redwingstream.admission.tests.fake_server import FakeServer, Simulation
from redwingstream.admission.warmth import JUMPS_TO_RELEARN, Sign, Warmth

LATENCY = 0.05


class Driver:
    """Keeps a limit in full use, on a clock of its own."""

    def __init__(self, ceiling: int, expected: float | None = None) -> None:
        self.limit = ConcurrencyLimit(ceiling, expected)
        self.now = float(0)
        self.starts: list[float] = []

    def fill(self) -> int:
        """Start as many runs as may be; return how many."""
        before = len(self.starts)
        while self.limit.try_start(self.now):
            self.starts.append(self.now)
        return len(self.starts) - before

    def end(self, latency=LATENCY, how=RunResult.COMPLETED) -> None:
        """End the oldest run when it has taken so long."""
        started_at = self.starts.pop(0)
        self.now = max(self.now, started_at + latency)
        self.limit.record_finished(self.now - started_at, how, self.now)

    def start(self) -> None:
        """Start one run."""
        assert self.limit.try_start(self.now)
        self.starts.append(self.now)

    def complete(self, count: int, latency=LATENCY) -> None:
        """Complete so many runs while the limit is in full use."""
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
        """A server that has just started falls over and takes its feeds along.

        It announces itself, callers come at full rate or five times that, and
        it bears one request at a time until it has completed a few dozen.
        Cause: load given by share of the pool, not by evidence.
        """
        server = FakeServer(slots, warm_up, cold_factor)
        simulation = Simulation(server, ConcurrencyLimit(slots))
        simulation.offer(load * slots / server.warm_latency, until=120)
        simulation.run(until=120)
        assert not server.has_fallen
        assert simulation.limit.limit == slots

    @pytest.mark.parametrize('load', [0.5, 2])
    @pytest.mark.parametrize('offset', [0, 0.013, 0.031, 0.049])
    def test_server_that_turns_cold_without_a_word(self, load, offset):
        """A warm server stops answering in the middle of the evening.

        It turns cold without a word while all its slots are in use; its
        endpoints say nothing.  Starts go on at the warm rate until answers
        come late, and the late answers come after the server has fallen over.
        Cause: reacting to completed runs only, not to overdue ones.
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

    def test_idle_server_that_turned_cold_without_a_word(self):
        """A server is brought down by the first callers after a quiet hour.

        It turned cold in that hour, when nothing could show it, and the first
        burst fills all its slots.  Cause: trust in what it bore an hour ago.
        """
        driver = warm()
        driver.now += 3600
        assert driver.fill() == COLD_LIMIT
        driver.end()
        assert driver.fill() == 3

    def test_server_that_turns_cold_before_its_latency_is_known(self) -> None:
        """A server falls over right after its first raise.

        It has just become warm; nothing is known yet of how long requests
        take there.  It turns cold without a word, and one warm latency before
        fifteen falling ones passed for chance (found by the state machine).
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
        """A server falls over a second time just after its restart.

        It is nearly as fast as it was long before it bears what it did.
        Cause: latencies close to the expected ones taken for enough.
        """
        server = FakeServer(2, warm_up, cold_factor)
        simulation = Simulation(server, ConcurrencyLimit(2))
        simulation.offer(80, until=200)
        simulation.run(until=60)
        assert simulation.limit.limit == 2
        server.completed = 0
        simulation.limit.server_restarted(simulation.now)
        simulation.run(until=60 + server.latency)
        server.most_above = 0
        simulation.run(until=200)
        assert server.most_above == 0
        assert simulation.limit.limit == 2

    def test_end_of_a_run_proves_nothing_since_its_start(self):
        warmth = Warmth(LATENCY)
        bound = warmth.reference.bound
        took = PROOF_FACTOR * LATENCY
        assert warmth.judge(took, 10, is_cold=True) is Sign.IN_TIME
        started = 10 - took
        assert warmth.is_proven(10)
        assert warmth.is_proven(started + bound)
        assert not warmth.is_proven(started + 1.01 * bound)

    def test_a_run_that_is_nearly_late_proves_nothing(self):
        warmth = Warmth(LATENCY)
        bound = warmth.reference.bound
        assert warmth.judge(bound, 10, is_cold=True) is Sign.IN_TIME
        assert not warmth.is_proven(10)

    def test_restart_gives_the_least_whatever_was_reached(self):
        driver = warm()
        driver.limit.server_restarted(driver.now)
        assert driver.limit.limit == COLD_LIMIT
        assert driver.fill() == COLD_LIMIT


class TestGrowth:
    @pytest.mark.parametrize(('slots', 'needed'), [(2, 16), (3, 32)])
    def test_completed_requests_to_the_full_share(self, slots, needed):
        """The figures that docs/design/admission.md gives."""
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
        driver.complete(FIRST_EVIDENCE - 1)
        assert driver.limit.limit == COLD_LIMIT
        driver.complete(1)
        assert driver.limit.limit == 2

    def test_latency_of_peers_is_taken_while_none_is_known(self):
        driver = Driver(2)
        driver.limit.set_expected_latency(LATENCY)
        driver.limit.set_expected_latency(8 * LATENCY)
        driver.complete(FIRST_EVIDENCE - 1, latency=8 * LATENCY)
        assert driver.limit.limit == COLD_LIMIT

    def test_slow_server_is_held_against_the_expected_latency(self):
        driver = Driver(2, LATENCY)
        driver.complete(JUMPS_TO_RELEARN - 1, latency=8 * LATENCY)
        assert driver.limit.limit == COLD_LIMIT

    def test_server_that_is_slower_for_good_gets_its_share_again(self):
        driver = warm(ceiling=2)
        driver.complete(2, latency=8 * LATENCY)
        assert driver.limit.limit == COLD_LIMIT
        relearned = JUMPS_TO_RELEARN + FIRST_EVIDENCE
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
    def test_a_host_alone_is_used_as_far_as_it_can_be(self, load, least_use):
        """At twice and five times the capacity nobody gets an answer.

        Requests wait in line until their callers have given up, and the server
        works for nobody.  Cause: queueing in place of refusing at once.
        Without a line two slots carry what Erlang's loss formula says: 0.6,
        0.77 and 0.9 of the capacity.  Several hosts together carry more.
        """
        server = FakeServer(slots=2, warm_up=0)
        simulation = Simulation(server, ConcurrencyLimit(ceiling=2))
        capacity = server.slots / server.warm_latency
        simulation.offer(load * capacity, until=60, seed=3)
        simulation.run(until=60)
        assert simulation.answered >= least_use * capacity * 60
        # Everything that was not let through was refused on arrival.
        let_through = simulation.answered + server.running
        assert simulation.refused + let_through == simulation.offered
