"""Evidence that a backend server can handle more concurrent requests.

Requests that complete while the concurrency limit is in full use count as
evidence.  The limit rises once there are enough of them and their latencies are
those of a warm server.
"""

import math
from collections import deque
from itertools import islice, pairwise

from redwingstream.admission.latency import LatencyReference

# Minimum number of completed requests, each run while the limit was in full
# use, that raise the limit by one.
MIN_EVIDENCE = 16
# The same while the latency of a warm server is not known: a server that is
# uniformly slow until it is warm shows no falling latencies before.
MIN_EVIDENCE_WITHOUT_REFERENCE = 64
# After each refusal that followed a raise the required number is doubled, up to
# this maximum, so that the limit is not raised again and again above what the
# server can handle.
MAX_EVIDENCE = 256
# Multiple of the reference mean up to which a mean is that of a warm server.
_WARM_FACTOR = 1.5
# Latencies no longer fall when the sum of the later half of a window is at
# least this fraction of the sum of the earlier half.
_LEVEL_FRACTION = 0.95
# Without a reference this needs certainty.  Random variation must not hide a
# fall, so the relative standard error of each half is limited to this value.
_MAX_STANDARD_ERROR = 0.15
# The latencies must also be serially uncorrelated.  The von Neumann ratio (mean
# square of successive differences over the variance) is 2 for uncorrelated
# latencies and close to 0 for a server that warms up, also when it has turned
# cold again in between, which a comparison of the halves may not show.
_MIN_VON_NEUMANN_RATIO = 1.2
# Relative standard deviation below which correlation is not checked.
_NEGLIGIBLE_DEVIATION = 0.01
# Lengths of the windows that are checked, in latencies.  In a window of 16, one
# warm latency before a cold start hides the fall of the 15 after it; the
# shortest window is long enough that such a latency does not look like random
# variation.
_WINDOWS = (32, 64, 128, MAX_EVIDENCE)


class Evidence:
    """Latencies of the completed requests since the limit last changed."""

    def __init__(self) -> None:
        self._count = 0
        self._needed = MIN_EVIDENCE
        self._latencies: deque[float] = deque(maxlen=MAX_EVIDENCE)

    def add(self, latency: float) -> None:
        """Add a request that completed while the limit was in full use."""
        self._count += 1
        self._latencies.append(latency)

    def is_enough(self, reference: LatencyReference) -> bool:
        """Whether the limit may rise.

        Parameters
        ----------
        reference : LatencyReference
            Latency of a warm server; its mean is None while not known.
        """
        if self._count < self._needed:
            return False
        if reference.mean is None:
            has_settled = any(map(self._has_settled, _WINDOWS))
            return has_settled and self._count >= MIN_EVIDENCE_WITHOUT_REFERENCE
        newest = self.newest(MIN_EVIDENCE)
        warm = _WARM_FACTOR * reference.mean * len(newest)
        return sum(newest) <= warm and _is_level(newest)

    def newest(self, count: int) -> list[float]:
        """Return up to ``count`` latencies of the newest completed requests."""
        skipped = max(0, len(self._latencies) - count)
        return list(islice(self._latencies, skipped, None))

    def restart(self) -> None:
        """Discard the completed requests and count from zero."""
        self._count = 0
        self._latencies.clear()

    def double_requirement(self) -> None:
        """Count from zero and require twice as many completed requests."""
        self._needed = min(2 * self._needed, MAX_EVIDENCE)
        self.restart()

    def reset(self) -> None:
        """Count from zero and require the minimum, as for a new server."""
        self._needed = MIN_EVIDENCE
        self.restart()

    def _has_settled(self, window: int) -> bool:
        newest = self.newest(window)
        if len(newest) < window:
            return False
        return _is_level(newest) and _is_random(newest)


def _is_level(latencies: list[float]) -> bool:
    """Whether the later half of the latencies is not below the earlier."""
    half = len(latencies) // 2
    return sum(latencies[half:]) >= _LEVEL_FRACTION * sum(latencies[:half])


def _is_random(latencies: list[float]) -> bool:
    """Whether latencies are nearly constant, or vary little and at random."""
    mean = sum(latencies) / len(latencies)
    squares = sum((latency - mean) ** 2 for latency in latencies)
    deviation = math.sqrt(squares / len(latencies))
    if deviation <= _NEGLIGIBLE_DEVIATION * mean:
        return True
    if deviation > _MAX_STANDARD_ERROR * mean * math.sqrt(len(latencies) / 2):
        return False
    differences = (later - former for former, later in pairwise(latencies))
    successive = sum(difference**2 for difference in differences)
    return successive >= _MIN_VON_NEUMANN_RATIO * squares
