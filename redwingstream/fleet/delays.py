"""Detection of times in which this process, or its machine, did not run."""

from collections.abc import Callable

from redwingstream.eventlog.lines import event

CHECK_INTERVAL = 0.25
"""Seconds between two checks."""

LATE_AFTER = 0.5
"""Seconds by which a check must be late to be logged: twice the interval, and
less than the time after which other processes call this one silent."""


@event
class ProcessDelayed:
    """The process was suspended, starved of CPU time or blocked."""

    late_by: float


class DelayMonitor:
    """Detects that the event loop runs a check much later than scheduled.

    Parameters
    ----------
    log : callable
        Called with each event to be logged.

    Attributes
    ----------
    delays : int
        Number of late checks.

    Notes
    -----
    What a process decides right after such a delay is based on information
    from before it, and others have called it silent meanwhile.  Without the
    log event, the logs of a fleet on one starved machine look like a network
    partition.
    """

    def __init__(self, log: Callable[[object], None]) -> None:
        self.delays = 0
        self._log = log
        self._due_at: float | None = None

    def check(self, now: float) -> float:
        """Log the delay of this check if it is late.

        Returns
        -------
        float
            Seconds until the next check.
        """
        late_by = 0 if self._due_at is None else now - self._due_at
        if late_by > LATE_AFTER:
            self.delays += 1
            self._log(ProcessDelayed(round(late_by, 3)))
        self._due_at = now + CHECK_INTERVAL
        return CHECK_INTERVAL
