"""Runs that have started and not ended."""


class RunsInFlight:
    """Start times of the runs in flight on one server."""

    def __init__(self) -> None:
        self._started_at: list[float] = []

    def __len__(self) -> int:
        """Return how many there are."""
        return len(self._started_at)

    def start(self, now: float) -> None:
        """Add a run."""
        self._started_at.append(now)

    def end(self, started_at: float) -> None:
        """Remove the run that started nearest to a time."""
        nearest = min(self._started_at, key=lambda at: abs(at - started_at))
        self._started_at.remove(nearest)

    def longest(self, now: float) -> float:
        """Return for how many seconds the oldest one has been running."""
        return now - self._started_at[0] if self._started_at else 0
