"""How many new flows a cold server gets within a second."""

import math
from collections import deque

import attrs

RATE_WINDOW = 1.1
"""Seconds over which new flows are counted.  The promise is about any second; a
tenth more covers what the way from this process to its server may vary by."""


@attrs.frozen
class ColdLimit:
    """New flows within any second that a cold server may get.

    Parameters
    ----------
    burst_factor : float
        By how much the pool's rate may be exceeded.
    slack : float
        New flows that are allowed besides.
    """

    burst_factor: float
    slack: float

    def allowed(self, cold_rate: float) -> int:
        """Return the limit for a pool's rate in new flows a second."""
        return math.floor(cold_rate * self.burst_factor + self.slack)


class Pacer:
    """Counts new flows within the last second, exactly."""

    def __init__(self) -> None:
        self._opened_at: deque[float] = deque()

    def count(self, now: float) -> int:
        """Return how many new flows there were within the window."""
        while self._opened_at and now - self._opened_at[0] > RATE_WINDOW:
            self._opened_at.popleft()
        return len(self._opened_at)

    def opened_at(self, now: float) -> tuple[float, ...]:
        """Return when there were new flows within the window, oldest first."""
        self.count(now)
        return tuple(self._opened_at)

    def note(self, now: float) -> None:
        """Count a new flow; :meth:`count` keeps the record short."""
        self._opened_at.append(now)
        self.count(now)
