"""Requests that wait a moment for a place on the server.

A server with two slots at half load has both in use a fifth of the time.  To
refuse at once then costs a caller seconds, while a slot is free in a few
milliseconds.  So a request may wait, but only for as long as the server is
expected to need for those before it, and never for long.
"""

from collections import deque
from collections.abc import Callable

import attrs

from redwingstream.admission.concurrency_limit import ConcurrencyLimit

LONGEST_WAIT = 0.25
"""Seconds that a request may be expected to wait, and may wait at most."""

MAX_WAITING = 64


@attrs.frozen(eq=False)
class Waiter:
    """A request that would like to wait.

    Parameters
    ----------
    deadline : float
        When its answer is of no use any more, in seconds.
    admitted : callable
        Called with the time once a slot may be free: it reserves one, and
        returns False when there was none after all.
    refused : callable
        Called with the time when it has waited long enough.
    """

    deadline: float
    admitted: Callable[[float], bool]
    refused: Callable[[float], None]


@attrs.frozen(eq=False)
class _Place:
    waiter: Waiter
    until: float


class WaitQueue:
    """First in, first out; bounded in number and in time.

    Parameters
    ----------
    limit : ConcurrencyLimit
        Of the server; what waits here is not handed to it.
    """

    def __init__(self, limit: ConcurrencyLimit) -> None:
        self._limit = limit
        self._places: deque[_Place] = deque()
        self._is_serving = False

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._places)

    def enter(self, waiter: Waiter, now: float) -> bool:
        """Let a request wait; False means: place it elsewhere or refuse it."""
        wait = self._expected_wait()
        if wait is None or wait > LONGEST_WAIT:
            return False
        run_time = self._limit.expected_latency or LONGEST_WAIT
        if now + wait + run_time > waiter.deadline:
            return False
        self._places.append(_Place(waiter, now + LONGEST_WAIT))
        return True

    def admit_waiting(self, now: float) -> None:
        """Give free slots to those who have waited longest."""
        if self._is_serving:
            # Entered again by a run that ends at once; the outer call goes on.
            return
        self._is_serving = True
        self.refuse_expired(now)
        while self._places and self._limit.can_start(now):
            place = self._places.popleft()
            if not place.waiter.admitted(now):
                self._places.appendleft(place)
                break
        self._is_serving = False

    def refuse_expired(self, now: float) -> None:
        """Refuse those who have waited long enough."""
        while self._places and now >= self._places[0].until:
            self._places.popleft().waiter.refused(now)

    def clear(self, now: float) -> None:
        """Refuse all: the server takes no work any more."""
        while self._places:
            self._places.popleft().waiter.refused(now)

    def _expected_wait(self) -> float | None:
        """Return the seconds until a slot is free for one more, if known."""
        latency = self._limit.expected_latency
        running = self._limit.in_flight
        if latency is None or not running or len(self) >= MAX_WAITING:
            # With nothing running the limit is paused: no slot comes free.
            return None
        return (len(self) + 1) * latency / running
