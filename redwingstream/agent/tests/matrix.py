"""The fault matrix: every fault at every step of the protocol.

A cell runs one scenario until the first frame of its step is sent, injects its
fault there, and continues until all requests have an outcome and the feed is
fresh.
"""

import functools
import itertools
from collections import Counter

import attrs

from redwingstream.agent.tests.exchange import Frame
from redwingstream.agent.tests.fake_caller import (
    FakeCaller,
    SentRequest,
    WatchedFeed,
)
from redwingstream.agent.tests.faults import FAULT_BY_NAME, PAIR_LOST
from redwingstream.agent.tests.pool import FakePool
from redwingstream.agent.tests.steps import BODY, STEPS, Step
from redwingstream.agent.tests.support import warm_up

CELL_TIMEOUT = 80
"""Seconds after which a cell ends in any case."""

SETTLED_SECONDS = 6
"""Seconds that a cell continues after every request has its outcome."""

FRESHNESS_SECONDS = 3.0
"""Maximum age in seconds of the last notification of a fresh feed."""

POST_TIMES = (0, 0.04, 0.1, 0.5, 1, 2, 4)
"""Times of the caller's requests, in seconds after the scenario begins."""

_FILLING_TIME = 0.8
"""Duration in seconds of the runs that fill the server of the home."""


@attrs.define(eq=False)
class Cell:
    """One run of a scenario, with a fault at a step.

    Parameters
    ----------
    step : Step
        Step of the protocol at which the fault happens.
    fault : str
        Name of the fault.
    requests : list of SentRequest
        Requests of the caller.
    watched : WatchedFeed or None
        Feed of the caller, once it is registered.
    caller : FakeCaller or None
        Caller of the scenario.
    fault_at : float or None
        Time of the fault in seconds; None while the step is not reached.
    is_carrier_lost : bool
        Whether the fault takes home, heir and carrier of the feed at once.
    """

    step: Step
    fault: str
    pool: FakePool = attrs.field(init=False)
    requests: list[SentRequest] = attrs.Factory(list)
    watched: WatchedFeed | None = None
    caller: FakeCaller | None = None
    fault_at: float | None = None
    is_carrier_lost: bool = False

    def run(self) -> 'CellResult':
        """Run the cell and return its result."""
        self._prepare()
        self.pool.exchange.inspect = self._inspect
        self._run_scenario()
        self._wait()
        return CellResult.from_cell(self)

    def is_fresh(self) -> bool:
        """Whether the feed got a recent notification, or has ended."""
        seen_at = self.watched.seen_at
        if self.watched.ended:
            return True
        now = self.pool.exchange.now
        return bool(seen_at) and now - seen_at[-1] < FRESHNESS_SECONDS

    def feed_exemption(self) -> str:
        """Return why the feed may have stopped; empty if it must continue.

        The values are ``refused`` and ``lost``.
        """
        watched = self.watched
        if not watched.seen_at and watched.ended:
            return 'refused'
        is_silent = not self.is_fresh()
        return 'lost' if is_silent and self.is_carrier_lost else ''

    def feed_violations(self) -> list[str]:
        """Return the guarantees for the feed that are broken."""
        if self.feed_exemption():
            return []
        if self.watched.ended:
            return ['the feed was ended']
        return [] if self.is_fresh() else ['the feed is silent']

    def _prepare(self) -> None:
        started = 3 if self.step.scenario == 'join' else None
        pool = FakePool(4, 3, started)
        self.pool = pool
        pool.run(3)
        self.caller = self._choose_caller()
        warm_up(pool)
        if self.step.scenario != 'registration':
            self.watched = self.caller.watch()
            pool.run(2)

    def _choose_caller(self) -> FakeCaller:
        """Return a caller whose home is the last host once all agents serve."""
        pool = self.pool
        numbers = itertools.count(1)
        caller = pool.caller(next(numbers))
        while pool.home_of_all(caller) != pool.hosts[-1]:
            caller = pool.caller(next(numbers))
        pool.callers.insert(0, caller)
        return caller

    def _run_scenario(self) -> None:
        pool = self.pool
        scenario = self.step.scenario
        if scenario == 'registration':
            self.watched = self.caller.watch()
        if scenario == 'assigned':
            self._fill_home()
        if scenario == 'join':
            pool.start(pool.hosts[-1])
        if scenario == 'leave':
            pool.leave(pool.pair(self.caller)[0])
        for delay in POST_TIMES:
            pool.exchange.call_later(delay, self._post)
        pool.run(5)

    def _post(self) -> None:
        number = len(self.requests)
        body = f'{BODY.decode()} {number}'.encode() if number else BODY
        self.requests.append(self.caller.post(body))

    def _fill_home(self) -> None:
        home = self.pool.pair(self.caller)[0]
        server = self.pool.server_by_host[home]
        server.run_time = _FILLING_TIME
        for _ in range(3):
            self.caller.get(b'map')
        self.pool.run(0.1)

    def _wait(self) -> None:
        pool = self.pool
        settled_seconds = 0
        while (
            settled_seconds < SETTLED_SECONDS
            and pool.exchange.now < CELL_TIMEOUT
        ):
            pool.run(1)
            is_done = all(
                request.answer is not None for request in self.requests
            )
            settled_seconds = (
                settled_seconds + 1 if is_done and self.is_fresh() else 0
            )

    def _is_carried_by_pair(self) -> bool:
        """Whether home and heir of the feed's bucket carry it alone."""
        pair = self.pool.pair(self.caller)
        others = set(self.pool.hosts) - set(pair)
        return not any(
            len(self.pool.agent(host).core.parts.feeds) for host in others
        )

    def _inspect(self, frame: Frame) -> tuple[float, ...] | None:
        if self.fault_at is not None or not self.step.matches(frame):
            return None
        self.fault_at = self.pool.exchange.now
        self.is_carrier_lost = (
            self.fault == PAIR_LOST and self._is_carried_by_pair()
        )
        return FAULT_BY_NAME[self.fault](self.pool, frame)


@attrs.frozen
class CellResult:
    """Result of a cell.

    Parameters
    ----------
    step_reached : bool
        Whether the step was reached.
    outcomes : tuple of str
        Outcome of each request as reported to the caller.
    violations : tuple of str
        Broken guarantees; none are allowed.
    gap : float
        Longest time in seconds without a fresh notification.
    feed : str
        ``refused`` or ``lost`` if the feed has stopped and may; else empty.
    """

    step_reached: bool
    outcomes: tuple[str, ...]
    violations: tuple[str, ...]
    gap: float
    feed: str = ''

    @classmethod
    def from_cell(cls, cell: Cell) -> 'CellResult':
        """Return the result of a cell that has run."""
        broken = [
            each
            for request in cell.requests
            for each in _request_violations(cell, request)
        ]
        broken.extend(cell.feed_violations())
        if cell.caller.wrong_answers:
            broken.append('an answer to another request')
        overloads = sum(
            server.overloads for server in cell.pool.server_by_host.values()
        )
        if overloads:
            broken.append('a server was above what it bears')
        return cls(
            step_reached=cell.fault_at is not None,
            outcomes=tuple(request.outcome for request in cell.requests),
            violations=tuple(broken),
            gap=cell.watched.longest_gap(cell.pool.exchange.now),
            feed=cell.feed_exemption(),
        )

    def counts(self) -> Counter[str]:
        """Return the count of requests by outcome."""
        return Counter(self.outcomes)


def _request_violations(cell: Cell, request: SentRequest) -> list[str]:
    runs = cell.pool.runs(request.body)
    name = request.body.decode()
    broken = []
    if runs > 1:
        broken.append(f'{name} ran {runs} times')
    if request.outcome == 'not run' and runs:
        broken.append(f'{name} was told not run, and ran')
    if request.outcome == 'answered' and not runs:
        broken.append(f'{name} was answered, and never ran')
    if request.outcome == 'none':
        broken.append(f'{name} got no final answer')
    return broken


@functools.cache
def run_cell(step_name: str, fault: str) -> CellResult:
    """Run a cell; later calls in the process return the same result."""
    step = next(each for each in STEPS if each.name == step_name)
    return Cell(step, fault).run()
