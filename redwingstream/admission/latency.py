"""Reference for the latency of a warm backend server."""

from collections import deque
from collections.abc import Iterable

# Number of latencies in time that form the reference.
HISTORY_SIZE = 64
# Number of newest latencies whose mean is compared with the reference.
RECENT_SIZE = 8
# A latency above this multiple of the 90th percentile is a jump; the mean of
# the newest latencies is too high above this multiple of the reference mean.
# If single latencies were compared with the mean, each tenth request of an
# ordinary service with a long tail would look like a cold start.
JUMP_FACTOR = 2.5
# A run proves that its server is warm only up to this multiple of the 90th
# percentile.  A server that turns cold while it runs requests is partly warmed
# by them, so the delay of its next requests can be smaller than a jump.
PROOF_FACTOR = 1.5
_PERCENTILE = 0.9


class LatencyReference:
    """Latencies of a warm server and the bounds derived from them.

    Parameters
    ----------
    mean : float, optional
        Mean latency of warm servers of the pool in seconds, if known.

    Attributes
    ----------
    mean : float or None
        Mean latency of a warm server in seconds; None while not known.
    bound : float or None
        Latency in seconds above which a run is a jump; None while not known.
    """

    def __init__(self, mean: float | None = None) -> None:
        self.mean = mean
        self.bound = None if mean is None else JUMP_FACTOR * mean
        self._latencies: deque[float] = deque(maxlen=HISTORY_SIZE)
        self._recent: deque[float] = deque(maxlen=RECENT_SIZE)

    def is_jump(self, latency: float) -> bool:
        """Whether the latency of a run, ended or not, is above the bound."""
        return self.bound is not None and latency > self.bound

    def proves_warmth(self, latency: float) -> bool:
        """Whether a latency is low enough to prove that the server is warm."""
        if self.bound is None:
            return True
        return latency <= self.bound / JUMP_FACTOR * PROOF_FACTOR

    def record_recent(self, latency: float) -> bool:
        """Record a latency in time; return whether the newest mean is too high.

        A cold server whose requests vary widely answers some of them in time;
        only the mean of several shows that it is cold.
        """
        self._recent.append(latency)
        if self.mean is None or len(self._recent) < RECENT_SIZE:
            return False
        return sum(self._recent) > JUMP_FACTOR * self.mean * RECENT_SIZE

    def observe(self, latency: float) -> None:
        """Add a latency of a server that is considered warm."""
        self._latencies.append(latency)
        self._update()

    def restart(self, latencies: Iterable[float]) -> None:
        """Replace the reference by latencies of a server that has warmed up."""
        self._latencies.clear()
        self._recent.clear()
        self._latencies.extend(latencies)
        self._update()

    def clear_recent(self) -> None:
        """Discard the newest latencies that :meth:`record_recent` compares."""
        self._recent.clear()

    def _update(self) -> None:
        count = len(self._latencies)
        ordered = sorted(self._latencies)
        self.mean = sum(ordered) / count
        high = ordered[int(_PERCENTILE * (count - 1))]
        self.bound = JUMP_FACTOR * max(high, self.mean)
