"""Exponential back-off for unanswered messages between agents."""

import attrs


@attrs.frozen
class RetryTiming:
    """Pauses between retries, and when an unanswered takeover is recovering.

    Parameters
    ----------
    first_pause : float
        Seconds between the first and the second attempt; several round trips
        between availability zones (1 ms one way).
    max_pause : float
        Longest pause in seconds.
    recovering_after : float
        Seconds without an answer from an earlier pair after which its bucket
        is recovering.
    """

    first_pause: float = 0.02
    max_pause: float = 0.5
    recovering_after: float = 1


class Backoff:
    """Retry pauses that double from the first to the longest.

    Parameters
    ----------
    timing : RetryTiming
        First and longest pause.
    """

    def __init__(self, timing: RetryTiming) -> None:
        self._max_pause = timing.max_pause
        self._pause = timing.first_pause
        self._due_at = -float('inf')

    def start_if_due(self, now: float) -> bool:
        """Return whether an attempt is due; if so, schedule the next one."""
        if now < self._due_at:
            return False
        self._due_at = now + self._pause
        self._pause = min(self._pause * 2, self._max_pause)
        return True
