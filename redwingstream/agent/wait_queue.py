"""Bounded queue of requests that wait for a slot on the server.

A server with two slots at half load has both in use a fifth of the time.  A
request that is refused then costs its caller seconds, although a slot is free
within milliseconds.  So a request may wait if the expected wait, by the
server's latency and the requests before it, is short, and it is refused if the
actual wait becomes longer.
"""

from collections import deque
from collections.abc import Callable

import attrs

from redwingstream.admission.concurrency_limit import ConcurrencyLimit

MAX_WAIT_SECONDS = 0.25
"""Maximum seconds of the expected and of the actual wait of a request."""

MAX_WAITING = 64
"""Maximum number of waiting requests."""


@attrs.frozen(eq=False)
class Waiter:
    """A request that asks to wait for a slot.

    Parameters
    ----------
    deadline : float
        When its caller stops waiting for the answer, in seconds by the event
        loop's clock.
    try_start : callable
        Called with the current time when a slot may be free.  Reserves one;
        returns False if there was none.
    on_refused : callable
        Called with the current time when the request is refused.
    """

    deadline: float
    try_start: Callable[[float], bool]
    on_refused: Callable[[float], None]


@attrs.frozen(eq=False)
class _Entry:
    waiter: Waiter
    expires_at: float


class WaitQueue:
    """First-in, first-out queue, bounded in length and waiting time.

    Parameters
    ----------
    limit : ConcurrencyLimit
        Concurrency limit of the server; waiting requests do not count in it.
    """

    def __init__(self, limit: ConcurrencyLimit) -> None:
        self._limit = limit
        self._entries: deque[_Entry] = deque()
        self._is_admitting = False

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    def enter(self, waiter: Waiter, now: float) -> bool:
        """Let a request wait; return False if the wait would be too long.

        The request is then to be placed elsewhere or refused.
        """
        wait = self._expected_wait()
        if wait is None or wait > MAX_WAIT_SECONDS:
            return False
        run_time = self._limit.expected_latency or MAX_WAIT_SECONDS
        if now + wait + run_time > waiter.deadline:
            return False
        self._entries.append(_Entry(waiter, now + MAX_WAIT_SECONDS))
        return True

    def admit_waiting(self, now: float) -> None:
        """Start waiting requests while there are free slots, oldest first."""
        if self._is_admitting:
            # Reentered by a run that ends at once; the outer call continues.
            return
        self._is_admitting = True
        self.refuse_expired(now)
        while self._entries and self._limit.can_start(now):
            entry = self._entries.popleft()
            if not entry.waiter.try_start(now):
                self._entries.appendleft(entry)
                break
        self._is_admitting = False

    def refuse_expired(self, now: float) -> None:
        """Refuse requests that have waited for the maximum time."""
        while self._entries and now >= self._entries[0].expires_at:
            self._entries.popleft().waiter.on_refused(now)

    def refuse_all(self, now: float) -> None:
        """Refuse all waiting requests; the server accepts no more work."""
        while self._entries:
            self._entries.popleft().waiter.on_refused(now)

    def _expected_wait(self) -> float | None:
        """Return the expected wait of a new request in seconds, if known."""
        latency = self._limit.expected_latency
        running = self._limit.in_flight
        if latency is None or not running or len(self) >= MAX_WAITING:
            # With no request running the limit is paused: no slot becomes free.
            return None
        return (len(self) + 1) * latency / running
