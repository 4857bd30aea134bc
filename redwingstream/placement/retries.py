"""When an unanswered message is sent again."""

import attrs


@attrs.frozen
class RetryTiming:
    """How often to repeat, and when silence counts as a loss.

    Parameters
    ----------
    first : float
        Seconds from the first sending to the second; several round trips
        between availability zones (1 ms one way).
    longest : float
        Seconds that the growing pause never exceeds.
    patience : float
        Seconds for which an earlier pair may be silent before its bucket is
        called recovering.
    """

    first: float = 0.02
    longest: float = 0.5
    patience: float = 1


class Backoff:
    """Pauses that double from the first to the longest.

    Parameters
    ----------
    timing : RetryTiming
        Both bounds.
    """

    def __init__(self, timing: RetryTiming) -> None:
        self._longest = timing.longest
        self._pause = timing.first
        self._due = -float('inf')

    def take(self, now: float) -> bool:
        """Return whether to send now; if so, set the time of the next one."""
        if now < self._due:
            return False
        self._due = now + self._pause
        self._pause = min(self._pause * 2, self._longest)
        return True
