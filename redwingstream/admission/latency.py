"""What latency to expect of a backend server."""

from collections import deque
from itertools import islice

# Weights of RFC 6298, section 2.
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 4
# A latency below this multiple of the mean is no sign of anything, however
# little latencies have deviated so far.
_JUMP_FACTOR = 2.5


class LatencyExpectation:
    """Mean and deviation of latency, estimated as TCP does (RFC 6298).

    Parameters
    ----------
    mean : float, optional
        Seconds that a warm server of the pool takes, if it is known.
    """

    def __init__(self, mean: float | None = None) -> None:
        self.mean = mean
        self._deviation = 0 if mean is None else mean / 2

    @property
    def bound(self) -> float | None:
        """Seconds above which a latency is a jump; None while unknown."""
        if self.mean is None:
            return None
        deviating = self.mean + _DEVIATIONS * self._deviation
        return max(_JUMP_FACTOR * self.mean, deviating)

    def is_jump(self, latency: float) -> bool:
        """Whether a latency, or that of a run so far, is out of all bounds."""
        bound = self.bound
        return bound is not None and latency > bound

    def observe(self, latency: float) -> None:
        """Take a latency into the estimate."""
        if self.mean is None:
            self.mean = latency
            self._deviation = latency / 2
            return
        error = latency - self.mean
        self._deviation += _DEVIATION_WEIGHT * (abs(error) - self._deviation)
        self.mean += _MEAN_WEIGHT * error

    def restart(self, latency: float) -> None:
        """Forget the past: the server has settled at another latency."""
        self.mean = latency
        self._deviation = latency / 2


class WarmUpTrend:
    """Whether latencies are still falling, as they do while a server warms up.

    The mean of the later half of a window is compared with the earlier half.

    Parameters
    ----------
    window : int
        How many latencies are compared, at least 2.
    """

    # A fall of less than this fraction from half to half is no fall.
    tolerance = 0.05

    def __init__(self, window: int) -> None:
        self._half = window // 2
        self._latencies: deque[float] = deque(maxlen=2 * self._half)

    def observe(self, latency: float) -> None:
        """Take the latency of the next completed run."""
        self._latencies.append(latency)

    def clear(self) -> None:
        """Begin a new window."""
        self._latencies.clear()

    def has_settled(self) -> bool:
        """Whether the window is full and latencies no longer fall."""
        if len(self._latencies) < 2 * self._half:
            return False
        earlier = sum(islice(self._latencies, self._half))
        later = sum(self._latencies) - earlier
        return later >= earlier * (1 - self.tolerance)
