"""Useful answers and refusals under overload, with and without admission.

Seven hosts with two slots each, as sward-live has.  Callers give up after two
seconds and send again up to twice: at once when nothing came, after the time
that they were told when they were refused.  One of the servers turns cold in
the middle without a word, and later a crowd comes at once.

Run ``python -m asv_bench.admission_overload`` for the tables.
"""

import enum
import heapq
import itertools
import random
import sys
from collections import Counter
from collections.abc import Callable

import attrs

from asv_bench.admission_servers import SERVICE, SLOTS, Run, Server
from asv_bench.tables import markdown_table
from redwingstream.admission.concurrency_limit import (
    ConcurrencyLimit,
    RunResult,
)
from redwingstream.admission.peer_choice import PeerLoads
from redwingstream.admission.retry_delays import OverloadGauge, RetryDelays
from redwingstream.errors import ResultCode
from redwingstream.forwarding.messages import LoadReport

SEED = 7
HOSTS = 7
CAPACITY = HOSTS * SLOTS / SERVICE
PATIENCE = 2
ATTEMPTS = 3
DURATION = 90
COUNTED_FROM = 30
COLD_AT = 50
CROWD_AT = 70
CROWD = 2000
REPORT_INTERVAL = 0.25
FIXED_DELAY = 5
# Other agents that a home asks before it refuses.
CHOICES = 2
LOADS = (0.1, 0.3, 0.5, 0.8, 1, 2, 5)
PERCENT = 100


class Admission(enum.Enum):
    """What is compared."""

    NONE = 'none'
    FIXED_DELAY = 'limit, fixed come-back'
    SPREAD_DELAY = 'limit, spread come-back'


class Clock:
    """Simulated time."""

    def __init__(self) -> None:
        self.now = float(0)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, seconds: float, event: Callable[[], None]) -> None:
        """Call something later."""
        when = self.now + seconds
        heapq.heappush(self._events, (when, next(self._order), event))

    def run(self, until: float) -> None:
        """Call everything that is due before a time."""
        while self._events[0][0] < until:
            when, _, event = heapq.heappop(self._events)
            self.now = when
            event()


class Agent:
    """An agent, its server and what it knows of the others.

    Parameters
    ----------
    number : int
        Which host.
    clock : Clock
        Time.
    """

    def __init__(self, number: int, clock: Clock) -> None:
        drawn = random.Random(SEED + number)
        self.host = f'carse{number}'
        self.server = Server(clock.after, drawn)
        self.limit = ConcurrencyLimit(SLOTS)
        self.peers = PeerLoads(drawn)
        self._clock = clock

    def report(self) -> LoadReport:
        """Return its load as it stands."""
        limit = self.limit
        latency = 0 if limit.is_cold else limit.expected_latency or 0
        return LoadReport(
            self.host, 1, limit.in_flight, limit.limit, 0, latency
        )

    def try_run(self, run: Run) -> bool:
        """Run a request if the limit allows it."""
        started_at = self._clock.now
        if not self.limit.try_start(started_at):
            return False

        def ended(is_answered: bool) -> None:
            now = self._clock.now
            how = RunResult.COMPLETED if is_answered else RunResult.TIMED_OUT
            self.limit.record_finished(now - started_at, how, now)
            run.done(is_answered)

        self.server.start(Run(run.asked_at, ended))
        return True


@attrs.define
class Tally:
    """What was counted after the warm-up.

    Parameters
    ----------
    offered, useful, refused : int
        Requests for the first time, answers in time, and refusals.
    arrivals_by_second : Counter
        Packets of callers, repeated ones included.
    """

    offered: int = 0
    useful: int = 0
    refused: int = 0
    arrivals_by_second: Counter = attrs.field(factory=Counter)


@attrs.define
class Attempt:
    """A packet that a caller waits for an answer to.

    Parameters
    ----------
    sent_at : float
        Seconds.
    attempts : int
        How many there are with this one.
    is_over : bool
        Whether it was answered or given up.
    """

    sent_at: float
    attempts: int
    is_over: bool = False


class Simulation:
    """Callers and a pool.

    Parameters
    ----------
    admission : Admission
        How work is admitted.
    load : float
        Requests offered for the first time, as a multiple of the capacity.
    """

    def __init__(self, admission: Admission, load: float) -> None:
        self.tally = Tally()
        self.clock = Clock()
        self.agents = [Agent(number, self.clock) for number in range(HOSTS)]
        self._by_host = {agent.host: agent for agent in self.agents}
        self._admission = admission
        self._rate = load * CAPACITY
        self._drawn = random.Random(SEED)
        self._come_back = RetryDelays(self._drawn)
        self._gauge = OverloadGauge()

    def run(self) -> dict:
        """Run all of it and return a row of the table."""
        self._offer()
        self._report()
        self.clock.after(COLD_AT, self.agents[0].server.turn_cold)
        self.clock.after(CROWD_AT, self._crowd)
        self.clock.run(DURATION)
        return self._row()

    @property
    def _is_counted(self) -> bool:
        return self.clock.now >= COUNTED_FROM

    def _offer(self) -> None:
        self.tally.offered += self._is_counted
        self._send(ATTEMPTS)
        self.clock.after(self._drawn.expovariate(self._rate), self._offer)

    def _crowd(self) -> None:
        for _ in range(CROWD):
            self._send(ATTEMPTS)

    def _send(self, attempts: int) -> None:
        now = self.clock.now
        if self._is_counted:
            self.tally.arrivals_by_second[int(now)] += 1
        attempt = Attempt(now, attempts)
        run = Run(now, lambda is_answered: self._done(attempt, is_answered))
        if self._place(run):
            self._gauge.record_served(now)
            self.clock.after(PATIENCE, lambda: self._give_up(attempt))
        else:
            self._refuse(attempts)

    def _done(self, attempt: Attempt, is_answered: bool) -> None:
        if is_answered and not attempt.is_over:
            attempt.is_over = True
            self.tally.useful += self._is_counted

    def _give_up(self, attempt: Attempt) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        if attempt.attempts > 1:
            self._send(attempt.attempts - 1)

    def _refuse(self, attempts: int) -> None:
        self._gauge.record_refused(self.clock.now)
        self.tally.refused += self._is_counted
        delay = FIXED_DELAY
        if self._admission is Admission.SPREAD_DELAY:
            overload = self._gauge.overload(self.clock.now)
            delay = self._come_back.delay(ResultCode.OVERLOADED, overload)
        if attempts > 1:
            self.clock.after(delay, lambda: self._send(attempts - 1))

    def _place(self, run: Run) -> bool:
        home = self._drawn.choice(self.agents)
        if self._admission is Admission.NONE:
            home.server.start(run)
            return True
        if home.try_run(run):
            return True
        excluded = {home.host}
        for _ in range(CHOICES):
            run_time = home.limit.expected_latency or SERVICE
            chosen = home.peers.choose(
                frozenset(excluded), self.clock.now, run_time
            )
            if chosen is None:
                return False
            if self._by_host[chosen].try_run(run):
                return True
            excluded.add(chosen)
        return False

    def _report(self) -> None:
        for agent, other in itertools.permutations(self.agents, 2):
            other.peers.handle_report(agent.report(), self.clock.now)
        for agent in self.agents:
            expected = agent.peers.expected_latency(self.clock.now)
            if expected is not None:
                agent.limit.set_expected_latency(expected)
        self.clock.after(REPORT_INTERVAL, self._report)

    def _row(self) -> dict:
        seconds = DURATION - COUNTED_FROM
        arrivals = self.tally.arrivals_by_second
        mean = arrivals.total() / seconds
        useful = self.tally.useful / seconds / CAPACITY
        return {
            'admission': self._admission.value,
            'load': self._rate / CAPACITY,
            'useful answers, % of capacity': round(PERCENT * useful),
            'refusals, % of packets': round(
                PERCENT * self.tally.refused / arrivals.total(), 1
            ),
            'packets/s': round(mean),
            'most packets/s after the crowd': max(
                arrivals[second] for second in range(CROWD_AT + 1, DURATION)
            ),
            'servers fallen over': sum(
                agent.server.overloads for agent in self.agents
            ),
        }


class UsefulAnswers:
    """Regression bound for asv."""

    params = LOADS

    def track_useful_answers(self, load: float) -> float:
        """Useful answers in percent of the capacity."""
        row = Simulation(Admission.SPREAD_DELAY, load).run()
        return row['useful answers, % of capacity']


def main() -> None:
    """Print the table."""
    rows = [
        Simulation(admission, load).run()
        for admission in Admission
        for load in LOADS
    ]
    sys.stdout.write(f'{markdown_table(rows)}\n')


if __name__ == '__main__':
    main()
