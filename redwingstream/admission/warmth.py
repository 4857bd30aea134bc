"""Detection of a cold backend server by the latencies of its runs."""

import enum
import math
from collections.abc import Iterable

from redwingstream.admission.latency import LatencyReference

# Consecutive jumps in latency that mean a cold start; a single one is a long
# request.
JUMPS_FOR_COLD = 2
# Consecutive jumps after which the reference latency is learned again.
JUMPS_TO_RELEARN = 64


class WarmthSign(enum.Enum):
    """What the latency of a completed run shows about its server.

    ``IN_TIME``: as expected of a warm server.  ``LATE``: a single jump.
    ``COLD``: the server has turned cold.
    """

    IN_TIME = 'in_time'
    LATE = 'late'
    COLD = 'cold'


class Warmth:
    """Decides by the latencies of its runs whether a server is warm.

    Parameters
    ----------
    mean : float, optional
        Mean latency of warm servers of the pool in seconds, if known.

    Attributes
    ----------
    reference : LatencyReference
        Latency to expect of the server while it is warm.
    """

    def __init__(self, mean: float | None = None) -> None:
        self.reference = LatencyReference(mean)
        self._jumps: list[float] = []
        self._warm_at = -math.inf

    def classify(self, latency: float, now: float, is_cold: bool) -> WarmthSign:
        """Classify a completed run and learn from its latency.

        Parameters
        ----------
        latency : float
            Duration of the run in seconds.
        now : float
            Current time in seconds, by the event loop's clock.
        is_cold : bool
            Whether the server counts as cold; the reference is learned only
            from a warm server.
        """
        if self.reference.is_jump(latency):
            return self._handle_jump(latency)
        if self.reference.record_recent(latency):
            return WarmthSign.COLD
        if self.reference.proves_warmth(latency):
            self._warm_at = max(self._warm_at, now - latency)
        if not is_cold:
            # A jump between runs in time was a long request and is part of the
            # latencies to expect.
            for expected in (*self._jumps, latency):
                self.reference.observe(expected)
        self._jumps.clear()
        return WarmthSign.IN_TIME

    def is_proven_warm(self, now: float) -> bool:
        """Whether a run that started recently has completed in time.

        A completed run proves that the server was warm at its start, not that
        it is warm at its end.
        """
        return not self.reference.is_jump(now - self._warm_at)

    def replace_reference(self, latencies: Iterable[float]) -> None:
        """Use latencies as the reference of the warm server."""
        self.reference.restart(latencies)

    def discard_proof(self) -> None:
        """Discard the proof of warmth; jumps still count towards relearning."""
        self._warm_at = -math.inf
        self.reference.clear_recent()

    def _handle_jump(self, latency: float) -> WarmthSign:
        self._jumps.append(latency)
        if len(self._jumps) < JUMPS_FOR_COLD:
            return WarmthSign.LATE
        if len(self._jumps) >= JUMPS_TO_RELEARN:
            # The server is not cold but permanently slower, for example after
            # a new release.  The old reference would keep it at the cold limit
            # for ever.
            self.reference = LatencyReference()
            self._jumps.clear()
        return WarmthSign.COLD
