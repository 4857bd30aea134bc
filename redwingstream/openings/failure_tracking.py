"""Detection of a server that fails its requests although it reports ready.

A server's report on its own health may be wrong either way, so the agent beside
it observes what callers get: an answer, or a reset while a request waits for
one.  A server that fails more than a third of its requests is in doubt: it is
given a few trial flows per second, which show whether it has recovered, and the
other servers of the pool get the rest.
"""

from collections import deque

import attrs

RECENT_OUTCOMES = 12
"""Number of latest outcomes that decide whether a server is in doubt."""

RECENT_SECONDS = 5.0
"""Age in seconds above which an outcome does not count.  A server has one
outcome about every 0.3 s."""

FAILED_LIMIT = 4
"""Failures among the recent outcomes that put a server in doubt.  A server that
fails a tenth of its requests reaches this by chance in 3 % of all checks, one
that fails half of them in 93 %."""

TRIAL_RATE = 1.0
"""Lowest rate, in new flows per second, of a server in doubt.  A failed trial
costs its caller one request, so ten servers in doubt cost at most ten requests
per second."""

RATE_INCREASE_FACTOR = 1.5
"""Factor applied to the rate with each served request.  Together with
``RATE_DECREASE_FACTOR`` the rate rises on average as long as less than 37 % of
the requests fail."""

RATE_DECREASE_FACTOR = 0.5
"""Factor applied to the rate with each failed request; the rate does not fall
below ``TRIAL_RATE``."""

TRUSTED_RATE = 20.0
"""Rate, in new flows per second, at which a server leaves doubt: four times the
rate of a server in the users' deployments.  It is reached after eight served
requests in a row, 3 s after a server has recovered."""

DOUBT_PENALTY = 0.25
"""Seconds added to the wait that an agent offers while its server is in doubt,
so that any server with fewer than twelve requests before the new one is
preferred."""


@attrs.frozen
class _Outcome:
    at: float
    has_failed: bool


class FailureTracker:
    """Tracks the outcomes of one server's requests and limits a failing server.

    Notes
    -----
    Only flows that another agent would take are withheld.  A flow that no
    other agent would take sooner goes to the server although it is in doubt,
    so a pool whose servers all fail works as it would without this tracker.
    When one server of ten resets all its requests for eight seconds, callers
    lose at most 14 of 400 requests, and 42 without the tracker
    (``packets/tests``).
    """

    def __init__(self) -> None:
        self._outcomes: deque[_Outcome] = deque(maxlen=RECENT_OUTCOMES)
        self._rate: float | None = None
        self._next_at = float('-inf')

    @property
    def is_in_doubt(self) -> bool:
        """Whether the server is given trial flows only."""
        return self._rate is not None

    def may_open(self, now: float) -> bool:
        """Whether the server gets a new flow that other agents would take."""
        return self._rate is None or now >= self._next_at

    def record_opened(self, now: float) -> None:
        """Record a new flow that is opened to the server."""
        if self._rate is not None:
            self._next_at = now + 1 / self._rate

    def record_served(self, now: float) -> bool:
        """Record a request that was answered.

        Returns
        -------
        bool
            True when the server has left doubt with this request.
        """
        self._outcomes.append(_Outcome(now, has_failed=False))
        if self._rate is None:
            return False
        self._rate *= RATE_INCREASE_FACTOR
        self._next_at = min(self._next_at, now + 1 / self._rate)
        if self._rate < TRUSTED_RATE:
            return False
        self._rate = None
        self._outcomes.clear()
        return True

    def record_failed(self, now: float) -> bool:
        """Record a request that the server reset.

        Returns
        -------
        bool
            True when the server has come into doubt with this request.
        """
        self._outcomes.append(_Outcome(now, has_failed=True))
        if self._rate is not None:
            self._rate = max(TRIAL_RATE, self._rate * RATE_DECREASE_FACTOR)
            return False
        if self._count_recent_failures(now) < FAILED_LIMIT:
            return False
        self._rate = TRIAL_RATE
        self._next_at = now + 1 / TRIAL_RATE
        return True

    def _count_recent_failures(self, now: float) -> int:
        return sum(
            outcome.has_failed and now - outcome.at <= RECENT_SECONDS
            for outcome in self._outcomes
        )
