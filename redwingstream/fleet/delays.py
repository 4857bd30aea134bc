"""Whether this process, or the machine under it, has stood still."""

from collections.abc import Callable

from redwingstream.eventlog.lines import event

LOOK_EVERY = 0.25
"""Seconds between two looks."""

LATE_AFTER = 0.5
"""Seconds by which a look is late before a line says so: twice the pause, and
less than it takes the others to call this process silent."""


@event
class ProcessDelayed:
    """The process did not run for a while: stopped, starved or blocked."""

    late_by: float


class DelayWatch:
    """Notes when the loop comes to a look much later than it asked for.

    Parameters
    ----------
    log : callable
        Takes events.

    Notes
    -----
    What a process decides right after such a pause rests on what it knew before
    it, and others have called it silent.  Without the line the logs of a fleet
    on one starved machine look like a network that is cut.
    """

    def __init__(self, log: Callable[[object], None]) -> None:
        self.delays = 0
        self._log = log
        self._due_at: float | None = None

    def look(self, now: float) -> float:
        """Note how late this look is; return the pause until the next one."""
        late_by = 0 if self._due_at is None else now - self._due_at
        if late_by > LATE_AFTER:
            self.delays += 1
            self._log(ProcessDelayed(round(late_by, 3)))
        self._due_at = now + LOOK_EVERY
        return LOOK_EVERY
