"""Whether a backend server is warm, judged by how long its runs take."""

import enum
import math
from collections.abc import Iterable

from redwingstream.admission.latency import LatencyReference

# Jumps in a row that mean a cold start; a single one is a long request.
JUMPS_FOR_COLD = 2
# Jumps in a row after which another latency is the one to expect.
JUMPS_TO_RELEARN = 64


class Sign(enum.Enum):
    """What a completed run says of its server."""

    IN_TIME = 'in_time'
    LATE = 'late'
    COLD = 'cold'


class Warmth:
    """What is known of a server's warmth.

    Parameters
    ----------
    mean : float, optional
        Seconds that a warm server of the pool takes, if it is known.
    """

    def __init__(self, mean: float | None = None) -> None:
        self.reference = LatencyReference(mean)
        self._jumps: list[float] = []
        self._warm_at = -math.inf

    def judge(self, latency: float, now: float, is_cold: bool) -> Sign:
        """Take a completed run.

        Parameters
        ----------
        latency : float
            Seconds that it took.
        now : float
            Seconds.
        is_cold : bool
            Whether the server is taken for cold; it is learned from a warm
            one only what to expect.
        """
        if self.reference.is_jump(latency):
            return self._jumped(latency)
        if self.reference.has_risen(latency):
            return Sign.COLD
        if self.reference.is_proof(latency):
            self._warm_at = max(self._warm_at, now - latency)
        if not is_cold:
            # A jump between runs in time was a long request, and belongs to
            # what is to be expected.
            for expected in (*self._jumps, latency):
                self.reference.observe(expected)
        self._jumps.clear()
        return Sign.IN_TIME

    def is_proven(self, now: float) -> bool:
        """Whether a run that started lately has completed in time.

        The end of a run proves nothing of the time since it started.
        """
        return not self.reference.is_jump(now - self._warm_at)

    def settled(self, latencies: Iterable[float]) -> None:
        """Take latencies as those of the server when it is warm."""
        self.reference.restart(latencies)

    def turned_cold(self) -> None:
        """Forget proofs; jumps are still counted, to learn from them."""
        self._warm_at = -math.inf
        self.reference.forget_recent()

    def _jumped(self, latency: float) -> Sign:
        self._jumps.append(latency)
        if len(self._jumps) < JUMPS_FOR_COLD:
            return Sign.LATE
        if len(self._jumps) >= JUMPS_TO_RELEARN:
            # Not cold but slower for good, such as after a new release: the
            # old reference would keep the server at the cold limit for ever.
            self.reference = LatencyReference()
            self._jumps.clear()
        return Sign.COLD
