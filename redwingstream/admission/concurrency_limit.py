"""Adaptive limit on the requests that a backend server runs at once.

The limit is based on what the agent beside the server observes: completed
requests, their latencies, refusals and time-outs.  The server's health and load
endpoints are not used, because they lag or mislead.
"""

import enum
import math

from redwingstream.admission.evidence import MIN_EVIDENCE, Evidence
from redwingstream.admission.in_flight import RunsInFlight
from redwingstream.admission.warmth import Warmth, WarmthSign

# Limit of a server after an announcement or any sign of a cold start.
COLD_LIMIT = 1
# Seconds without new runs after a server has refused a request at the cold
# limit; doubled with each further refusal, up to the maximum.
MIN_PAUSE = 0.5
MAX_PAUSE = 8


class RunResult(enum.Enum):
    """How a run on the server ended.

    Notes
    -----
    ``COMPLETED``: the server answered.
    ``REFUSED``: the server shed the request without running it.
    ``TIMED_OUT``: no answer within the deadline, or the connection failed.
    ``CANCELLED``: the caller gave up, which says nothing about the server.
    """

    COMPLETED = 'completed'
    REFUSED = 'refused'
    TIMED_OUT = 'timed_out'
    CANCELLED = 'cancelled'


class ConcurrencyLimit:
    """Limit on the concurrent requests of one backend server.

    A run is one request on the server, from its start to its end.

    Parameters
    ----------
    ceiling : int
        Number of slots of the host; the limit never exceeds it.
    expected_latency : float, optional
        Latency of a warm server of the pool in seconds.  Without it, a server
        counts as warm once its latencies have stopped falling.
    """

    def __init__(
        self, ceiling: int, expected_latency: float | None = None
    ) -> None:
        self._ceiling = ceiling
        self._raw_limit = COLD_LIMIT
        self._is_draining = False
        self._warmth = Warmth(expected_latency)
        self._evidence = Evidence()
        self._pause = MIN_PAUSE
        self._paused_until = -math.inf
        self._runs = RunsInFlight()

    @property
    def in_flight(self) -> int:
        """Number of runs that have started and not finished."""
        return len(self._runs)

    @property
    def limit(self) -> int:
        """Maximum number of concurrent runs; 0 while draining."""
        return 0 if self._is_draining else self._raw_limit

    @property
    def is_cold(self) -> bool:
        """Whether the limit is at its minimum, that of a cold server."""
        return self._raw_limit == COLD_LIMIT

    @property
    def expected_latency(self) -> float | None:
        """Mean latency of a warm server in seconds; None while not known."""
        return self._warmth.reference.mean

    def set_expected_latency(self, latency: float) -> None:
        """Set the latency of warm servers of the pool, unless one is known.

        Parameters
        ----------
        latency : float
            Seconds, from the load reports of other agents.
        """
        if self._warmth.reference.mean is None:
            self._warmth = Warmth(latency)

    def can_start(self, now: float) -> bool:
        """Whether a run may start now, without starting one."""
        if now < self._paused_until:
            return False
        # A server that turns cold without announcing it shows no sign until a
        # run that started afterwards is overdue; when it is idle, not even
        # then.  More runs than the cold limit are therefore started only while
        # a recently started run has completed in time.  Otherwise each run
        # that ended in between would be replaced, or the first burst after a
        # pause admitted in full, and the server would be overloaded.  One long
        # request among others in time does not hold the limit down.
        if self.is_cold or self._warmth.is_proven_warm(now):
            return self.in_flight < self.limit
        return self.in_flight < min(COLD_LIMIT, self.limit)

    def try_start(self, now: float) -> bool:
        """Start a run if the limit allows it.

        Parameters
        ----------
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        bool
            False when the request is to be refused; requests are not queued
            here.
        """
        if not self.can_start(now):
            return False
        self._runs.start(now)
        return True

    def record_finished(
        self, latency: float, run_result: RunResult, now: float
    ) -> None:
        """Record the end of a run that :meth:`try_start` has admitted.

        Parameters
        ----------
        latency : float
            Duration of the run in seconds.
        run_result : RunResult
            How the run ended.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        was_in_use = self.in_flight >= self._raw_limit
        self._runs.end(now - latency)
        match run_result:
            case RunResult.COMPLETED:
                self._handle_completed(latency, was_in_use, now)
            case RunResult.REFUSED:
                self._handle_refused(now)
            case RunResult.TIMED_OUT:
                self._turn_cold()
            case RunResult.CANCELLED:
                return

    def server_restarted(self, now: float) -> None:
        """Reset to the cold limit after the server's process was replaced.

        Called when the server announces itself or another run of it is found.
        The owner still reports the end of requests of the previous process.
        """
        self._turn_cold()
        self._evidence.reset()
        self._pause = MIN_PAUSE
        self._paused_until = now

    def drain(self) -> None:
        """Start no more runs; those in flight may finish."""
        self._is_draining = True

    def resume(self, now: float) -> None:
        """Allow runs again, as for a server that has just started."""
        self._is_draining = False
        self.server_restarted(now)

    def _handle_completed(
        self, latency: float, was_in_use: bool, now: float
    ) -> None:
        self._pause = MIN_PAUSE
        match self._warmth.classify(latency, now, self.is_cold):
            case WarmthSign.COLD:
                self._turn_cold()
            case WarmthSign.LATE:
                self._evidence.restart()
            case WarmthSign.IN_TIME:
                if was_in_use and self._raw_limit < self._ceiling:
                    self._grow(latency)

    def _grow(self, latency: float) -> None:
        self._evidence.add(latency)
        if not self._evidence.is_enough(self._warmth.reference):
            return
        if self.is_cold:
            self._warmth.replace_reference(self._evidence.newest(MIN_EVIDENCE))
        self._raw_limit += 1
        self._evidence.restart()

    def _handle_refused(self, now: float) -> None:
        if self._raw_limit > COLD_LIMIT:
            self._evidence.double_requirement()
            self._raw_limit = max(COLD_LIMIT, self._raw_limit // 2)
            return
        self._evidence.restart()
        self._paused_until = now + self._pause
        self._pause = min(2 * self._pause, MAX_PAUSE)

    def _turn_cold(self) -> None:
        self._raw_limit = COLD_LIMIT
        self._warmth.discard_proof()
        self._evidence.restart()
