"""Histogram of durations, with the same bucket bounds for all metrics."""

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
"""Upper bounds of the buckets in seconds.  They range from the duration of a
disk sync to the time after which callers give up."""

INFINITE_BOUND = '+Inf'
"""Upper bound of the last bucket, as the Prometheus text format writes it."""


class Histogram:
    """Counts of durations by bucket.

    Recording a duration takes a binary search among 13 bounds.

    Attributes
    ----------
    total : float
        Sum of all durations in seconds.
    """

    def __init__(self) -> None:
        self.total = float(0)
        self._counts = [0 for _ in (*BOUNDS, INFINITE_BOUND)]

    @property
    def count(self) -> int:
        """Number of durations recorded."""
        return sum(self._counts)

    def record(self, seconds: float) -> None:
        """Record a duration in seconds."""
        self.total += seconds
        self._counts[bisect.bisect_left(BOUNDS, seconds)] += 1

    def cumulative_counts(self) -> list[tuple[str, float]]:
        """Return the upper bound and cumulative count of each bucket."""
        buckets = []
        cumulative_count = 0
        bounds = (*BOUNDS, INFINITE_BOUND)
        for bound, count in zip(bounds, self._counts, strict=True):
            cumulative_count += count
            buckets.append((str(bound), cumulative_count))
        return buckets
