"""Counts of durations by size."""

import bisect

BOUNDS = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)
"""Upper bounds in seconds: from a sync of a disk to what callers give up at."""

INFINITE = '+Inf'
"""Bound of what is longer than all others, as the text format names it."""


class Histogram:
    """Durations counted by size; noting one costs a search among 13 bounds."""

    def __init__(self) -> None:
        self.total = float(0)
        self._counts = [0 for _ in (*BOUNDS, INFINITE)]

    @property
    def count(self) -> int:
        """How many durations were noted."""
        return sum(self._counts)

    def record(self, seconds: float) -> None:
        """Count a duration."""
        self.total += seconds
        self._counts[bisect.bisect_left(BOUNDS, seconds)] += 1

    def cumulative(self) -> list[tuple[str, float]]:
        """Return how many durations were at most each bound."""
        rows = []
        below = 0
        bounds = (*BOUNDS, INFINITE)
        for bound, count in zip(bounds, self._counts, strict=True):
            below += count
            rows.append((str(bound), below))
        return rows
