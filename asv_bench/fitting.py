"""Straight lines through measurements at several sizes."""

import statistics
from collections.abc import Callable, Sequence

import attrs

REPEATS = 3


@attrs.frozen
class Slope:
    """A line by least squares.

    Parameters
    ----------
    per_item : float
        What one more of the items costs.
    fixed : float
        What is there without any.
    r_squared : float
        How well a line fits: 1 when it goes through every point.
    """

    per_item: float
    fixed: float
    r_squared: float

    def at(self, size: float) -> float:
        """Return what the line gives for a size, measured or not."""
        return self.fixed + self.per_item * size


def fit(sizes: Sequence[float], levels: Sequence[float]) -> Slope:
    """Return the line through measurements at three sizes or more.

    Raises
    ------
    ValueError
        When there are fewer than three sizes: two points always lie on a line,
        so it would say nothing of whether the cost is linear.
    """
    if len(set(sizes)) < 3:
        raise ValueError(f'{len(set(sizes))} sizes; a slope takes 3 or more')
    line = statistics.linear_regression(sizes, levels)
    middle = statistics.fmean(levels)
    total = sum((level - middle) ** 2 for level in levels)
    rest = sum(
        (level - line.intercept - line.slope * size) ** 2
        for size, level in zip(sizes, levels, strict=True)
    )
    return Slope(line.slope, line.intercept, 1 - rest / total if total else 1)


@attrs.frozen
class Spread:
    """The middle, the lowest and the highest of repeated measurements."""

    middle: float
    lowest: float
    highest: float

    def __str__(self) -> str:
        """Return ``middle (lowest to highest)``."""
        return f'{self.middle:.4g} ({self.lowest:.4g} to {self.highest:.4g})'


def spread(levels: Sequence[float]) -> Spread:
    """Return the spread of repeated measurements."""
    return Spread(statistics.median(levels), min(levels), max(levels))


def repeated(measure: Callable[[], float], times: int = REPEATS) -> Spread:
    """Measure several times; times differ from run to run, counts do not."""
    return spread([measure() for _ in range(times)])
