"""Limit on the new flows that a cold server gets within a second."""

import math
from collections import deque

import attrs

RATE_WINDOW = 1.1
"""Seconds over which new flows are counted.  The limit holds for any second at
the server; the extra 0.1 s covers variation of the delay between this process
and its server."""


@attrs.frozen
class ColdLimit:
    """Limit on the new flows of a cold server within any second.

    Parameters
    ----------
    burst_factor : float
        Factor by which the rate of the pool may be exceeded.
    slack : float
        New flows that are allowed in addition.
    """

    burst_factor: float
    slack: float

    def allowed(self, cold_rate: float) -> int:
        """Return how many new flows a server may get within a second.

        Parameters
        ----------
        cold_rate : float
            New flows per second that a cold server of the pool can handle.
        """
        return math.floor(cold_rate * self.burst_factor + self.slack)


class OpeningWindow:
    """Exact count of the new flows within the last ``RATE_WINDOW`` seconds."""

    def __init__(self) -> None:
        self._opened_at: deque[float] = deque()

    def count(self, now: float) -> int:
        """Return the number of new flows within the window."""
        while self._opened_at and now - self._opened_at[0] > RATE_WINDOW:
            self._opened_at.popleft()
        return len(self._opened_at)

    def opened_at(self, now: float) -> tuple[float, ...]:
        """Return the times of the new flows within the window, oldest first."""
        self.count(now)
        return tuple(self._opened_at)

    def record(self, now: float) -> None:
        """Record a new flow and evict those that have left the window."""
        self._opened_at.append(now)
        self.count(now)
