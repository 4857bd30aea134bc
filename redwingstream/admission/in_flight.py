"""Runs of requests on a server that have started and not ended."""


class RunsInFlight:
    """Start times of the runs in flight on one server."""

    def __init__(self) -> None:
        self._started_at: list[float] = []

    def __len__(self) -> int:
        """Return the number of runs in flight."""
        return len(self._started_at)

    def start(self, now: float) -> None:
        """Add a run that starts now."""
        self._started_at.append(now)

    def end(self, started_at: float) -> None:
        """Remove the run whose start is nearest to the given time."""
        nearest = min(self._started_at, key=lambda at: abs(at - started_at))
        self._started_at.remove(nearest)

    def longest(self, now: float) -> float:
        """Return the age of the oldest run in seconds; 0 without one."""
        return now - self._started_at[0] if self._started_at else 0
