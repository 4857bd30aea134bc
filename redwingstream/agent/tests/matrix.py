"""The fault matrix: every fault at every step of the protocol.

A cell runs one scenario until the first frame of its step is sent, does its
fault there, and goes on until all requests have an outcome and the feed lives.
"""

import functools
import itertools
from collections import Counter

import attrs

from redwingstream.agent.tests.exchange import Frame
from redwingstream.agent.tests.fake_caller import (
    SentRequest,
    FakeCaller,
    Watched,
)
from redwingstream.agent.tests.faults import FAULT_BY_NAME, PAIR_LOST
from redwingstream.agent.tests.pool import FakePool
from redwingstream.agent.tests.steps import BODY, STEPS, Step
from redwingstream.agent.tests.support import warm_up

PATIENCE = 80
"""Seconds after which a cell ends in any case."""

SETTLED_FOR = 6
"""Seconds that a cell goes on once every request has its outcome."""

FRESH_WITHIN = 3.0
POST_TIMES = (0, 0.04, 0.1, 0.5, 1, 2, 4)
"""When the caller makes its requests, in seconds after the scenario begins."""

_FILLING_TIME = 0.8


@attrs.define(eq=False)
class Cell:
    """One run: a step and a fault."""

    step: Step
    fault: str
    pool: FakePool = attrs.field(init=False)
    asked: list[SentRequest] = attrs.Factory(list)
    watched: Watched | None = None
    caller: FakeCaller | None = None
    happened_at: float | None = None
    is_carrier_lost: bool = False

    def run(self) -> 'CellResult':
        """Run the cell and return what came of it."""
        self._prepare()
        self.pool.exchange.inspect = self._inspect
        self._act()
        self._wait()
        return CellResult.of(self)

    def is_fresh(self) -> bool:
        """Whether the feed goes on, or has ended."""
        seen_at = self.watched.seen_at
        if self.watched.ended:
            return True
        now = self.pool.exchange.now
        return bool(seen_at) and now - seen_at[-1] < FRESH_WITHIN

    def excused_feed(self) -> str:
        """Return why the feed need not go on, if it does not."""
        watched = self.watched
        if not watched.seen_at and watched.ended:
            return 'refused'
        is_silent = not self.is_fresh()
        return 'lost' if is_silent and self.is_carrier_lost else ''

    def broken_feed(self) -> list[str]:
        """Return what is wrong with the feed."""
        if self.excused_feed():
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
        """Return a caller whose bucket the last host gets when it joins."""
        pool = self.pool
        numbers = itertools.count(1)
        caller = pool.caller(next(numbers))
        while pool.home_of_all(caller) != pool.hosts[-1]:
            caller = pool.caller(next(numbers))
        pool.callers.insert(0, caller)
        return caller

    def _act(self) -> None:
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
        number = len(self.asked)
        body = f'{BODY.decode()} {number}'.encode() if number else BODY
        self.asked.append(self.caller.post(body))

    def _fill_home(self) -> None:
        home = self.pool.pair(self.caller)[0]
        server = self.pool.server_by_host[home]
        server.run_time = _FILLING_TIME
        for _ in range(3):
            self.caller.get(b'map')
        self.pool.run(0.1)

    def _wait(self) -> None:
        pool = self.pool
        settled = 0
        while settled < SETTLED_FOR and pool.exchange.now < PATIENCE:
            pool.run(1)
            is_done = all(asked.answer is not None for asked in self.asked)
            settled = settled + 1 if is_done and self.is_fresh() else 0

    def _is_all_in_pair(self) -> bool:
        """Whether home and heir of the feed's bucket carry it alone."""
        pair = self.pool.pair(self.caller)
        others = set(self.pool.hosts) - set(pair)
        return not any(
            len(self.pool.agent(host).core.parts.feeds) for host in others
        )

    def _inspect(self, frame: Frame) -> tuple[float, ...] | None:
        if self.happened_at is not None or not self.step.matches(frame):
            return None
        self.happened_at = self.pool.exchange.now
        self.is_carrier_lost = (
            self.fault == PAIR_LOST and self._is_all_in_pair()
        )
        return FAULT_BY_NAME[self.fault](self.pool, frame)


@attrs.frozen
class CellResult:
    """What came of a cell.

    Parameters
    ----------
    happened : bool
        Whether the step was met at all.
    told : tuple of str
        What the caller was told of each request.
    violations : tuple of str
        Promises broken; none are allowed.
    gap : float
        Longest time in seconds without a fresh notification.
    feed : str
        ``refused`` or ``lost`` where the feed does not go on and need not.
    """

    happened: bool
    told: tuple[str, ...]
    violations: tuple[str, ...]
    gap: float
    feed: str = ''

    @classmethod
    def of(cls, cell: Cell) -> 'CellResult':
        """Judge a cell that has run."""
        broken = [each for asked in cell.asked for each in _broken(cell, asked)]
        broken.extend(cell.broken_feed())
        if cell.caller.wrong_answers:
            broken.append('an answer to another request')
        falls = sum(
            server.overloads for server in cell.pool.server_by_host.values()
        )
        if falls:
            broken.append('a server was above what it bears')
        return cls(
            happened=cell.happened_at is not None,
            told=tuple(asked.outcome for asked in cell.asked),
            violations=tuple(broken),
            gap=cell.watched.longest_gap(cell.pool.exchange.now),
            feed=cell.excused_feed(),
        )

    def counts(self) -> Counter[str]:
        """Return how many requests ended in which way."""
        return Counter(self.told)


def _broken(cell: Cell, asked: SentRequest) -> list[str]:
    runs = cell.pool.runs(asked.body)
    name = asked.body.decode()
    broken = []
    if runs > 1:
        broken.append(f'{name} ran {runs} times')
    if asked.outcome == 'not run' and runs:
        broken.append(f'{name} was told not run, and ran')
    if asked.outcome == 'answered' and not runs:
        broken.append(f'{name} was answered, and never ran')
    if asked.outcome == 'none':
        broken.append(f'{name} got no final answer')
    return broken


@functools.cache
def run_cell(step_name: str, fault: str) -> CellResult:
    """Run a cell, once in a process."""
    step = next(each for each in STEPS if each.name == step_name)
    return Cell(step, fault).run()
