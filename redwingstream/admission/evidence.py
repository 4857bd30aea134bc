"""Evidence that a backend server can bear more than it is given."""

from redwingstream.admission.latency import WarmUpTrend

# Completed requests, each run while the limit was in full use, that raise the
# limit by one; the same number makes the window of the trend.
EVIDENCE = 16
# After each refusal that followed a raise twice as much is asked for, so that
# a server is not asked again and again for what it cannot bear.
MAX_EVIDENCE = 256


class Evidence:
    """Completed requests since the limit last changed."""

    def __init__(self) -> None:
        self._count = 0
        self._needed = EVIDENCE
        self._trend = WarmUpTrend(EVIDENCE)

    def add(self, latency: float) -> None:
        """Count a request that completed while the limit was in full use."""
        self._count += 1
        self._trend.observe(latency)

    def is_enough(self) -> bool:
        """Whether the limit may rise."""
        return self._count >= self._needed and self._trend.has_settled()

    def start_anew(self) -> None:
        """Begin to count again."""
        self._count = 0
        self._trend.clear()

    def ask_for_more(self) -> None:
        """Begin again and ask for twice as much."""
        self._needed = min(2 * self._needed, MAX_EVIDENCE)
        self.start_anew()

    def reset(self) -> None:
        """Begin again as for a server that nothing is known of."""
        self._needed = EVIDENCE
        self.start_anew()
