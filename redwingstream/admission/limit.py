"""How many requests a backend server may run at once.

The limit rests on what the agent beside the server sees itself: requests that
completed, how long they took, refusals and timeouts.  What the server's health
and load endpoints say is no input at all, because they lag or mislead.
"""

import enum
import math

from redwingstream.admission.evidence import EVIDENCE, Evidence
from redwingstream.admission.in_flight import RunsInFlight
from redwingstream.admission.warmth import Sign, Warmth

# What a server is given after an announcement or any sign of a cold start.
COLD_LIMIT = 1
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
        self._warmth = Warmth(expected_latency)
        self._evidence = Evidence()
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
        return self._warmth.reference.mean

    def set_expected_latency(self, latency: float) -> None:
        """Take the latency of warm servers of the pool, if none is known.

        Parameters
        ----------
        latency : float
            Seconds, from other agents' reports.
        """
        if self._warmth.reference.mean is None:
            self._warmth = Warmth(latency)

    def can_start(self, now: float) -> bool:
        """Whether a run may start now."""
        if now < self._paused_until:
            return False
        # A server that turns cold without a word shows nothing until a run
        # that started since should have ended; when it is idle, not even then.
        # So more than the cold limit is started only while a run that started
        # lately has completed in time.  Without this hold every run that ended
        # in between, or the first burst after a pause, would be let through in
        # full and bring it down.  One long request among others that are in
        # time does not hold the limit down.
        if self.is_cold or self._warmth.is_proven(now):
            return self.in_flight < self.limit
        return self.in_flight < min(COLD_LIMIT, self.limit)

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
        if not self.can_start(now):
            return False
        self._runs.start(now)
        return True

    def record_finished(
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

    def _completed(self, latency: float, was_in_use: bool, now: float) -> None:
        self._pause = FIRST_PAUSE
        match self._warmth.judge(latency, now, self.is_cold):
            case Sign.COLD:
                self._turn_cold()
            case Sign.LATE:
                self._evidence.start_anew()
            case Sign.IN_TIME:
                if was_in_use and self._raised_to < self._ceiling:
                    self._grow(latency)

    def _grow(self, latency: float) -> None:
        self._evidence.add(latency)
        if not self._evidence.is_enough(self._warmth.reference):
            return
        if self.is_cold:
            self._warmth.settled(self._evidence.newest(EVIDENCE))
        self._raised_to += 1
        self._evidence.start_anew()

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
        self._warmth.turned_cold()
        self._evidence.start_anew()
