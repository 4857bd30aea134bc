"""Admission as a state machine, with what a server bears as the invariant."""

import heapq

from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from properties.seeds import seed_of
from redwingstream.admission.concurrency_limit import (
    ConcurrencyLimit,
    RunResult,
)
from redwingstream.admission.feed_limit import COLD_FEEDS, FeedLimit
from redwingstream.admission.tests.fake_server import FakeServer


@seed(seed_of('admission.ConcurrencyMachine'))
class ConcurrencyMachine(RuleBasedStateMachine):
    """Callers, a server that turns cold at any time, and the limit."""

    @initialize(
        slots=st.integers(1, 4),
        warm_up=st.integers(1, 60),
        cold_factor=st.floats(3, 20),
    )
    def server_announces_itself(self, slots, warm_up, cold_factor):
        self.now = float(0)
        self.ends = []
        self.server = FakeServer(slots, warm_up, cold_factor)
        self.limit = ConcurrencyLimit(slots)

    @rule(count=st.integers(1, 8))
    def callers_ask(self, count):
        for _ in range(count):
            if self.limit.try_start(self.now):
                assert self.limit.in_flight <= self.limit.limit
                latency = self.server.start(self.now)
                heapq.heappush(self.ends, (self.now + latency, latency))

    @rule(seconds=st.floats(0.001, 2))
    def time_passes(self, seconds):
        until = self.now + seconds
        while self.ends and self.ends[0][0] <= until:
            self._complete_next()
        self.now = until

    @rule(count=st.integers(1, 80))
    def load_is_full_for_a_while(self, count):
        for _ in range(count):
            self.callers_ask(8)
            if self.ends:
                self._complete_next()

    @rule()
    def server_turns_cold_without_a_word(self):
        self.server.turn_cold(self.now)

    @rule()
    def server_restarts(self):
        """It announces itself again; what it was running is lost."""
        for _, latency in self.ends:
            self.limit.record_finished(latency, RunResult.TIMED_OUT, self.now)
        self.ends.clear()
        self.server.running = 0
        self.server.completed = 0
        self.limit.server_restarted(self.now)

    @invariant()
    def server_is_never_above_what_it_bears(self):
        assert not getattr(self, 'server', FakeServer()).has_fallen

    def _complete_next(self):
        when, latency = heapq.heappop(self.ends)
        self.now = when
        self.server.finish()
        self.limit.record_finished(latency, RunResult.COMPLETED, self.now)


@seed(seed_of('admission.FeedMachine'))
class FeedMachine(RuleBasedStateMachine):
    """Feeds are opened, end and are lost with their server."""

    def __init__(self):
        super().__init__()
        self.now = float(0)
        self.feeds = FeedLimit(100)
        self.most_carried = 0

    @rule(seconds=st.floats(0, 10))
    def time_passes(self, seconds):
        self.now += seconds

    @rule(count=st.integers(1, 50), is_answered=st.booleans())
    def callers_register(self, count, is_answered):
        for _ in range(count):
            if self.feeds.try_open(self.now) and is_answered:
                self.feeds.record_opened()
        self.most_carried = max(self.most_carried, self.feeds.open_count)

    @rule()
    def registration_fails(self):
        if self.feeds.opening_count:
            self.feeds.record_failed()

    @rule()
    def feed_ends(self):
        if self.feeds.open_count:
            self.feeds.record_closed()

    @rule()
    def server_restarts(self):
        self.feeds.server_restarted(self.now)
        self.most_carried = 0

    @rule()
    def server_turns_cold(self):
        self.feeds.reset_to_cold(self.now)

    @invariant()
    def limit_grows_on_evidence_only(self):
        assert self.feeds.limit <= max(COLD_FEEDS, 2 * self.most_carried)
        assert self.feeds.open_count + self.feeds.opening_count <= 100


TestConcurrency = ConcurrencyMachine.TestCase
TestConcurrency.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
TestFeeds = FeedMachine.TestCase
TestFeeds.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
