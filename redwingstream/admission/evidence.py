"""Evidence that a backend server can bear more than it is given."""

import math
from collections import deque
from itertools import islice, pairwise

from redwingstream.admission.latency import LatencyReference

# Completed requests, each run while the limit was in full use, that raise the
# limit by one at the least.
EVIDENCE = 16
# The same while nothing is known of how long requests take on a warm server:
# one that is slow in equal measure until it is warm shows no fall before.
FIRST_EVIDENCE = 64
# After each refusal that followed a raise twice as much is asked for, so that
# a server is not asked again and again for what it cannot bear.
MAX_EVIDENCE = 256
# Multiple of the reference up to which a mean is that of a warm server.
_WARM_FACTOR = 1.5
# Latencies no longer fall when the later half of a window is not below this
# fraction of the earlier one.
_LEVEL = 0.95
# Without a reference that must be certain.  So the window is so long that
# chance hides no fall: the relative standard error of each half is this at the
# most.
_STANDARD_ERROR = 0.15
# And the latencies are in no order: neighbours differ as any two do.  The
# ratio of von Neumann (mean square of neighbours' differences over the
# variance) is 2 then, and next to 0 for a server that warms up, also when it
# has turned cold again in between, which the halves alone may not show.
_LEAST_RATIO = 1.2
# A relative deviation below which order does not matter.
_NO_DEVIATION = 0.01
# The shortest window is so long that one warm latency before a cold start does
# not pass for chance: of 16, that one hides the fall of the 15 after it.
_WINDOWS = (32, 64, 128, MAX_EVIDENCE)


class Evidence:
    """Completed requests since the limit last changed."""

    def __init__(self) -> None:
        self._count = 0
        self._needed = EVIDENCE
        self._latencies: deque[float] = deque(maxlen=MAX_EVIDENCE)

    def add(self, latency: float) -> None:
        """Count a request that completed while the limit was in full use."""
        self._count += 1
        self._latencies.append(latency)

    def is_enough(self, reference: LatencyReference) -> bool:
        """Whether the limit may rise.

        Parameters
        ----------
        reference : LatencyReference
            What a warm server takes; its mean is None while nothing is known.
        """
        if self._count < self._needed:
            return False
        if reference.mean is None:
            has_settled = any(map(self._has_settled, _WINDOWS))
            return has_settled and self._count >= FIRST_EVIDENCE
        newest = self.newest(EVIDENCE)
        warm = _WARM_FACTOR * reference.mean * len(newest)
        return sum(newest) <= warm and _is_level(newest)

    def newest(self, count: int) -> list[float]:
        """Return the latencies of the newest completed requests."""
        skipped = max(0, len(self._latencies) - count)
        return list(islice(self._latencies, skipped, None))

    def start_anew(self) -> None:
        """Begin to count again."""
        self._count = 0
        self._latencies.clear()

    def ask_for_more(self) -> None:
        """Begin again and ask for twice as much."""
        self._needed = min(2 * self._needed, MAX_EVIDENCE)
        self.start_anew()

    def reset(self) -> None:
        """Begin again as for a server that nothing is known of."""
        self._needed = EVIDENCE
        self.start_anew()

    def _has_settled(self, window: int) -> bool:
        newest = self.newest(window)
        if len(newest) < window:
            return False
        return _is_level(newest) and _is_random(newest)


def _is_level(latencies: list[float]) -> bool:
    """Whether the later half is not below the earlier one."""
    half = len(latencies) // 2
    return sum(latencies[half:]) >= _LEVEL * sum(latencies[:half])


def _is_random(latencies: list[float]) -> bool:
    """Whether latencies vary little or by chance, and not too much."""
    mean = sum(latencies) / len(latencies)
    squares = sum((latency - mean) ** 2 for latency in latencies)
    deviation = math.sqrt(squares / len(latencies))
    if deviation <= _NO_DEVIATION * mean:
        return True
    if deviation > _STANDARD_ERROR * mean * math.sqrt(len(latencies) / 2):
        return False
    differences = (later - former for former, later in pairwise(latencies))
    successive = sum(difference**2 for difference in differences)
    return successive >= _LEAST_RATIO * squares
