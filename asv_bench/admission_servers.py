"""Simulated backend servers that queue, slow down and fall over."""

import random
from collections import deque
from collections.abc import Callable

import attrs

SLOTS = 2
# Seconds of service of a warm server, exponentially distributed.
SERVICE = 0.05
# A cold server takes so many times as long, until it has completed so many.
COLD_FACTOR = 5
WARM_UP = 40
# Runs in the server, waiting ones included, above which it falls over.
BEARS_WARM = 40
BEARS_COLD = 1
DOWN_TIME = 3
# Seconds after it has turned cold without a word for which it bears what it
# had: nobody outside can know at once.
GRACE = 0.5

Schedule = Callable[[float, Callable[[], None]], None]


@attrs.define
class Run:
    """A request in a server.

    Parameters
    ----------
    asked_at : float
        When its caller sent it.
    done : callable
        Called with whether it was answered.
    """

    asked_at: float
    done: Callable[[bool], None]


class Server:
    """Serves as many runs as it has slots; others wait in line.

    Parameters
    ----------
    schedule : callable
        Calls something after some seconds.
    drawn : random.Random
        For times of service.
    """

    def __init__(self, schedule: Schedule, drawn: random.Random) -> None:
        self.falls = 0
        self._schedule = schedule
        self._drawn = drawn
        self._completed = 0
        self._line: deque[Run] = deque()
        self._served: list[Run] = []
        self._is_down = False
        self._is_in_grace = False

    def start(self, run: Run) -> None:
        """Take a run; a server that is down loses it."""
        if self._is_down:
            run.done(False)
            return
        self._line.append(run)
        if len(self._line) + len(self._served) > self._bears:
            self._fall()
        else:
            self._serve()

    def turn_cold(self) -> None:
        """Lose all warmth without a word."""
        self._completed = 0
        self._is_in_grace = True
        self._schedule(GRACE, self._end_grace)

    def _end_grace(self) -> None:
        self._is_in_grace = False

    @property
    def _is_cold(self) -> bool:
        return self._completed < WARM_UP

    @property
    def _bears(self) -> int:
        is_weak = self._is_cold and not self._is_in_grace
        return BEARS_COLD if is_weak else BEARS_WARM

    def _serve(self) -> None:
        while self._line and len(self._served) < SLOTS:
            self._begin(self._line.popleft())

    def _begin(self, run: Run) -> None:
        self._served.append(run)
        service = self._drawn.expovariate(1 / SERVICE)
        if self._is_cold:
            service *= COLD_FACTOR
        self._schedule(service, lambda: self._end(run))

    def _end(self, run: Run) -> None:
        if run not in self._served:
            return
        self._served.remove(run)
        self._completed += 1
        run.done(True)
        self._serve()

    def _fall(self) -> None:
        lost = [*self._served, *self._line]
        self.falls += 1
        self._is_down = True
        self._served.clear()
        self._line.clear()
        self._schedule(DOWN_TIME, self._rise)
        for run in lost:
            run.done(False)

    def _rise(self) -> None:
        self._is_down = False
        self._completed = 0
