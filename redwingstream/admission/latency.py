"""What latency to expect of a warm backend server."""

from collections import deque
from collections.abc import Iterable

# Latencies in time that are remembered.
HISTORY = 64
# Newest latencies whose mean is watched.
RECENT = 8
# A latency is a jump above this multiple of the 90th percentile; the mean of
# the newest ones above this multiple of the mean.  Were a single one held
# against the mean, each tenth request of an ordinary service with a long tail
# would pass for a cold start.
JUMP_FACTOR = 2.5
# A run proves its server warm only up to this multiple of the 90th percentile.
# A server that has turned cold while it ran requests is warmed by them; what
# it runs next can be late by less than a jump.
PROOF_FACTOR = 1.5
_PERCENTILE = 0.9


class LatencyReference:
    """Latencies of a warm server.

    Parameters
    ----------
    mean : float, optional
        Seconds that a warm server of the pool takes, if it is known.
    """

    def __init__(self, mean: float | None = None) -> None:
        self.mean = mean
        self.bound = None if mean is None else JUMP_FACTOR * mean
        self._latencies: deque[float] = deque(maxlen=HISTORY)
        self._recent: deque[float] = deque(maxlen=RECENT)

    def is_jump(self, latency: float) -> bool:
        """Whether a latency, or that of a run so far, is out of all bounds."""
        return self.bound is not None and latency > self.bound

    def is_proof(self, latency: float) -> bool:
        """Whether only a warm server answers after so long."""
        if self.bound is None:
            return True
        return latency <= self.bound / JUMP_FACTOR * PROOF_FACTOR

    def has_risen(self, latency: float) -> bool:
        """Take a latency in time; whether the newest ones are high together.

        A cold server whose requests differ widely answers some of them in
        time; all of them together give it away.
        """
        self._recent.append(latency)
        if self.mean is None or len(self._recent) < RECENT:
            return False
        return sum(self._recent) > JUMP_FACTOR * self.mean * RECENT

    def observe(self, latency: float) -> None:
        """Add a latency of a server that is taken for warm."""
        self._latencies.append(latency)
        self._update()

    def restart(self, latencies: Iterable[float]) -> None:
        """Begin anew with the latencies at which the server has settled."""
        self._latencies.clear()
        self._recent.clear()
        self._latencies.extend(latencies)
        self._update()

    def forget_recent(self) -> None:
        """Watch the newest latencies anew."""
        self._recent.clear()

    def _update(self) -> None:
        count = len(self._latencies)
        ordered = sorted(self._latencies)
        self.mean = sum(ordered) / count
        high = ordered[int(_PERCENTILE * (count - 1))]
        self.bound = JUMP_FACTOR * max(high, self.mean)
