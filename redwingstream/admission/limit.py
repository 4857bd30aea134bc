"""How many requests a backend server may run at once.

The limit rests on what the agent beside the server sees itself: requests that
completed, how long they took, refusals and timeouts.  What the server's health
and load endpoints say is no input at all, because they lag or mislead.
"""

import enum
import math

from redwingstream.admission.evidence import Evidence
from redwingstream.admission.in_flight import RunsInFlight
from redwingstream.admission.latency import LatencyExpectation

# What a server is given after an announcement or any sign of a cold start.
COLD_LIMIT = 1
# Latency jumps in a row that mean a cold start; a single one is a long request.
JUMPS_FOR_COLD = 2
# Jumps in a row after which the new latency is the one to expect.
JUMPS_TO_RELEARN = 64
# Seconds without a start after a server has refused even the cold limit.
FIRST_PAUSE = 0.5
MAX_PAUSE = 8


class RunResult(enum.Enum):
    """How a run on the server ended.

    Notes
    -----
    ``COMPLETED``: it answered.  ``REFUSED``: it shed the request unrun.
    ``TIMED_OUT``: no answer within the deadline, or the connection failed.
    ``CANCELLED``: the caller gave up, which says nothing about the server.
    """

    COMPLETED = 'completed'
    REFUSED = 'refused'
    TIMED_OUT = 'timed_out'
    CANCELLED = 'cancelled'


class ConcurrencyLimit:
    """Limit on the requests that one backend server runs at once.

    Parameters
    ----------
    ceiling : int
        Slots of the host; the limit never exceeds them.
    expected_latency : float, optional
        Seconds that a warm server of the pool takes.  Without it, a server is
        taken for warm once its latencies have stopped falling.
    """

    def __init__(
        self, ceiling: int, expected_latency: float | None = None
    ) -> None:
        self._ceiling = ceiling
        self._raised_to = COLD_LIMIT
        self._is_draining = False
        self._expected = LatencyExpectation(expected_latency)
        self._evidence = Evidence()
        self._jumps = 0
        self._proven_at = -math.inf
        self._pause = FIRST_PAUSE
        self._paused_until = -math.inf
        self._runs = RunsInFlight()

    @property
    def in_flight(self) -> int:
        """Runs started and not finished."""
        return len(self._runs)

    @property
    def limit(self) -> int:
        """How many runs there may be at once; 0 while draining."""
        return 0 if self._is_draining else self._raised_to

    @property
    def is_cold(self) -> bool:
        """Whether the server is given the least."""
        return self._raised_to == COLD_LIMIT

    @property
    def expected_latency(self) -> float | None:
        """Seconds that a request takes; None before the first answer."""
        return self._expected.mean

    def has_room(self, now: float) -> bool:
        """Whether a run may start now."""
        if now < self._paused_until:
            return False
        return self.in_flight < self._limit_now(now)

    def try_start(self, now: float) -> bool:
        """Start a run if the server can bear it.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        bool
            False means: refuse at once, nothing is held back.
        """
        if not self.has_room(now):
            return False
        self._runs.start(now)
        return True

    def finished(
        self, latency: float, run_result: RunResult, now: float
    ) -> None:
        """End a run that :meth:`try_start` has let through.

        Parameters
        ----------
        latency : float
            Seconds that it took.
        run_result : RunResult
            How it ended.
        now : float
            Seconds.
        """
        was_in_use = self.in_flight >= self._raised_to
        self._runs.end(now - latency)
        match run_result:
            case RunResult.COMPLETED:
                self._completed(latency, was_in_use, now)
            case RunResult.REFUSED:
                self._refused(now)
            case RunResult.TIMED_OUT:
                self._turn_cold()
            case RunResult.CANCELLED:
                return

    def server_restarted(self, now: float) -> None:
        """Give the least: the server announced itself, or is another run.

        Runs of the former one are still to be finished by their owner.
        """
        self._turn_cold()
        self._evidence.reset()
        self._pause = FIRST_PAUSE
        self._paused_until = now

    def drain(self) -> None:
        """Start nothing more; what runs may finish."""
        self._is_draining = True

    def resume(self, now: float) -> None:
        """Take work again, as from a server that has just started."""
        self._is_draining = False
        self.server_restarted(now)

    def _limit_now(self, now: float) -> int:
        # A server that turns cold without a word shows it first by a run that
        # does not come back, then by one that took too long; an idle server
        # shows nothing at all.  So more than the cold limit is started only
        # while nothing is overdue and a run has lately completed in time.
        # Without this hold every run that ended in between, or the first burst
        # after a pause, would be let through in full and bring it down.
        unproven_for = max(self._runs.longest(now), now - self._proven_at)
        if not self._expected.is_jump(unproven_for):
            return self.limit
        return min(COLD_LIMIT, self.limit)

    def _completed(self, latency: float, was_in_use: bool, now: float) -> None:
        self._pause = FIRST_PAUSE
        if self._expected.is_jump(latency):
            self._jumped(latency)
            return
        self._jumps = 0
        self._proven_at = now
        self._expected.observe(latency)
        if not was_in_use or self._raised_to >= self._ceiling:
            return
        self._evidence.add(latency)
        if self._evidence.is_enough():
            self._raised_to += 1
            self._evidence.start_anew()

    def _jumped(self, latency: float) -> None:
        self._jumps += 1
        self._proven_at = -math.inf
        self._evidence.start_anew()
        if self._jumps >= JUMPS_TO_RELEARN:
            # Not cold but slower for good, such as after a new release: the
            # old expectation would keep the server at the cold limit for ever.
            self._expected.restart(latency)
            self._jumps = 0
        elif self._jumps >= JUMPS_FOR_COLD:
            self._raised_to = COLD_LIMIT

    def _refused(self, now: float) -> None:
        if self._raised_to > COLD_LIMIT:
            self._evidence.ask_for_more()
            self._raised_to = max(COLD_LIMIT, self._raised_to // 2)
            return
        self._evidence.start_anew()
        self._paused_until = now + self._pause
        self._pause = min(2 * self._pause, MAX_PAUSE)

    def _turn_cold(self) -> None:
        self._raised_to = COLD_LIMIT
        self._jumps = 0
        self._evidence.start_anew()
