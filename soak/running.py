"""Time for which the soak itself runs."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

STEP = 0.1
"""Seconds between two looks at the clock."""


class RunningTime:
    """Counts the seconds for which this process runs.

    Notes
    -----
    Where the whole machine stands still for seconds, callers send nothing and
    nothing can be served.  Time in which the callers did not run is no time
    without service, so the calm at the end of a run is measured by this clock
    and lasts as much longer.
    """

    def __init__(self) -> None:
        self.seconds = float(0)
        self.longest_lag = float(0)

    @contextlib.asynccontextmanager
    async def counting(self) -> AsyncIterator[None]:
        """Count until the end of the block."""
        task = asyncio.create_task(self._count())
        try:
            yield
        finally:
            task.cancel()

    async def wait(self, seconds: float) -> None:
        """Wait until this process has run for some seconds."""
        until = self.seconds + seconds
        while self.seconds < until:
            await asyncio.sleep(STEP)

    def note(self, passed: float) -> None:
        """Count a step that took some seconds by the clock on the wall."""
        self.longest_lag = max(self.longest_lag, passed - STEP)
        self.seconds += min(passed, 2 * STEP)

    async def _count(self) -> None:
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(STEP)
            self.note(time.monotonic() - began_at)
