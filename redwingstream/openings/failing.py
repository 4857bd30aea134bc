"""Whether a server fails its requests although it reports that it is ready.

A server's own word on its health may be wrong either way, so the agent beside
it goes by what callers get: an answer, or a reset while a request waits for
one.  A server that fails more than a third of its requests is given a few new
flows a second, to see whether it has recovered, and the others of its pool the
rest.
"""

from collections import deque

import attrs

RECENT = 12
"""Outcomes that decide whether a server is in doubt."""

RECENT_SECONDS = 5.0
"""Older outcomes do not count; a server has one about every 0.3 s."""

FAILED_LIMIT = 4
"""So many failures among the recent outcomes put a server in doubt.  One that
fails a tenth of its requests gets there by chance in 3 % of all looks, one that
fails half of them in 93 %."""

FIRST_RATE = 1.0
"""New flows a second for a server in doubt: what a caller loses by a trial is
one request, and ten servers in doubt cost ten a second at most."""

RISE = 1.5
"""Factor by which the rate rises with a request that is served.  Together with
``FALL`` it rises in the mean as long as less than 37 % fail."""

FALL = 0.5
"""Factor by which it falls with one that fails, not below ``FIRST_RATE``."""

TRUSTED_RATE = 20.0
"""Rate with which a server is in doubt no more: four times what a server of the
users' deployments is given.  Reached with eight served requests in a row, 3 s
after a server has recovered."""

DOUBT_WAIT = 0.25
"""Seconds by which an agent whose server is in doubt makes its offers longer,
so that any server with fewer than twelve requests before it is preferred."""


@attrs.frozen
class _Outcome:
    at: float
    has_failed: bool


class FailureWatch:
    """Follows what becomes of one server's requests.

    Notes
    -----
    It limits only what other agents would take instead.  Where nobody else
    would take a flow sooner, the server gets it in spite of all doubt, so a
    pool whose servers all fail goes on as if nobody watched.  With one server
    of ten that breaks off all its requests for eight seconds, callers lose 14
    of 400 requests at most, and 42 without (``packets/tests``).
    """

    def __init__(self) -> None:
        self._outcomes: deque[_Outcome] = deque(maxlen=RECENT)
        self._rate: float | None = None
        self._next_at = float('-inf')

    @property
    def is_in_doubt(self) -> bool:
        """Whether the server is given a few new flows only."""
        return self._rate is not None

    def may_take(self, now: float) -> bool:
        """Whether the server is given a new flow that others would take."""
        return self._rate is None or now >= self._next_at

    def note_opened(self, now: float) -> None:
        """Count a new flow on its way to the server."""
        if self._rate is not None:
            self._next_at = now + 1 / self._rate

    def record_served(self, now: float) -> bool:
        """Note a request that was answered.

        Returns
        -------
        bool
            True when the server is not in doubt any more.
        """
        self._outcomes.append(_Outcome(now, has_failed=False))
        if self._rate is None:
            return False
        self._rate *= RISE
        self._next_at = min(self._next_at, now + 1 / self._rate)
        if self._rate < TRUSTED_RATE:
            return False
        self._rate = None
        self._outcomes.clear()
        return True

    def record_failed(self, now: float) -> bool:
        """Note a request that the server broke off.

        Returns
        -------
        bool
            True when the server is in doubt from now on.
        """
        self._outcomes.append(_Outcome(now, has_failed=True))
        if self._rate is not None:
            self._rate = max(FIRST_RATE, self._rate * FALL)
            return False
        if self._failures(now) < FAILED_LIMIT:
            return False
        self._rate = FIRST_RATE
        self._next_at = now + 1 / FIRST_RATE
        return True

    def _failures(self, now: float) -> int:
        return sum(
            outcome.has_failed and now - outcome.at <= RECENT_SECONDS
            for outcome in self._outcomes
        )
