"""What a short wait for a free slot is worth, against refusing at once.

Callers ask one backend server for runs at random times.  Its agent's real
concurrency limit and wait queue decide; the baseline has no room.  Both get
the same arrivals and service times.

Run ``python -m asv_bench.wait_queue`` for the table.
"""

import heapq
import itertools
import random
import statistics
import sys
from collections.abc import Callable

import attrs

from asv_bench.tables import markdown_table
from redwingstream.admission.concurrency_limit import (
    ConcurrencyLimit,
    RunResult,
)
from redwingstream.agent.wait_queue import Waiter, WaitQueue

SEED = 7252
MEAN_RUN = 0.05
PATIENCE = 20.0
WARM_UP = 60.0
MEASURED = 240.0
LOADS = (0.5, 1, 2, 5)
SLOTS = (2, 3)
TICK = 0.02
PERCENTILE = 99


@attrs.frozen(order=True)
class _Event:
    due: float
    serial: int
    action: Callable[[], None] = attrs.field(order=False)


@attrs.define(eq=False)
class _Request:
    arrived_at: float
    run_time: float


class Bench:
    """One server, its limit, and perhaps a wait queue.

    Parameters
    ----------
    slots : int
        What the server bears.
    load : float
        Requests that arrive, as a multiple of what the server can answer.
    has_room : bool
        Whether requests may wait.
    """

    def __init__(self, slots: int, load: float, *, has_room: bool) -> None:
        self.now = float()
        self.answered = 0
        self.refused = 0
        self.most_running = 0
        self.waits: list[float] = []
        self._running = 0
        self._slots = slots
        self._load = load
        self._limit = ConcurrencyLimit(slots)
        self._room = WaitQueue(self._limit) if has_room else None
        self._order = itertools.count()
        self._events: list[_Event] = []

    def run(self) -> None:
        """Offer the load for the whole time."""
        self._offer()
        end = WARM_UP + MEASURED
        for step in range(int(end / TICK)):
            self._at(step * TICK, self._tick)
        while self._events:
            event = heapq.heappop(self._events)
            self.now = event.due
            event.action()

    def _offer(self) -> None:
        drawn = random.Random(SEED)
        rate = self._load * self._slots / MEAN_RUN
        when = float()
        while when < WARM_UP + MEASURED:
            when += drawn.expovariate(rate)
            # Half of a run is the same for all, half is exponential.
            run_time = (1 + drawn.expovariate(1)) * MEAN_RUN / 2
            request = _Request(when, run_time)
            self._at(when, self._arrival(request))

    def _at(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, _Event(when, next(self._order), event))

    def _arrival(self, request: _Request) -> Callable[[], None]:
        return lambda: self._arrive(request)

    def _arrive(self, request: _Request) -> None:
        if self._start(request, self.now):
            return
        waiter = Waiter(
            self.now + PATIENCE,
            lambda now: self._start(request, now),
            lambda _: self._refuse(request),
        )
        if self._room is None or not self._room.enter(waiter, self.now):
            self._refuse(request)

    def _start(self, request: _Request, now: float) -> bool:
        if not self._limit.try_start(now):
            return False
        if self._is_measured(request):
            self.waits.append(now - request.arrived_at)
        self._running += 1
        self.most_running = max(self.most_running, self._running)
        self._at(now + request.run_time, lambda: self._finish(request))
        return True

    def _finish(self, request: _Request) -> None:
        self._running -= 1
        if self._is_measured(request):
            self.answered += 1
        self._limit.record_finished(
            request.run_time, RunResult.COMPLETED, self.now
        )
        if self._room is not None:
            self._room.admit_waiting(self.now)

    def _refuse(self, request: _Request) -> None:
        if self._is_measured(request):
            self.refused += 1

    def _tick(self) -> None:
        if self._room is not None:
            self._room.admit_waiting(self.now)
            self._room.refuse_expired(self.now)

    def _is_measured(self, request: _Request) -> bool:
        return request.arrived_at >= WARM_UP


def measure(slots: int, load: float, *, has_room: bool) -> dict[str, str]:
    """Return a row of the table."""
    bench = Bench(slots, load, has_room=has_room)
    bench.run()
    offered = bench.answered + bench.refused
    capacity = slots / MEAN_RUN * MEASURED
    waits = statistics.quantiles(bench.waits, n=100)
    return {
        'slots': str(slots),
        'load': f'{load}x',
        'room': 'yes' if has_room else 'no',
        'answered of capacity': f'{bench.answered / capacity:.0%}',
        'refused': f'{bench.refused / offered:.1%}',
        'mean wait ms': f'{1000 * statistics.mean(bench.waits):.0f}',
        'p99 ms': f'{1000 * waits[PERCENTILE - 1]:.0f}',
        'longest ms': f'{1000 * max(bench.waits):.0f}',
        'most at once': str(bench.most_running),
    }


def main() -> None:
    """Print the table."""
    cases = itertools.product(SLOTS, LOADS, (False, True))
    rows = [
        measure(slots, load, has_room=has_room)
        for slots, load, has_room in cases
    ]
    sys.stdout.write(f'{markdown_table(rows)}\n')


if __name__ == '__main__':
    main()
