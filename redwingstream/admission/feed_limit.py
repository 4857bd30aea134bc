"""Limit on the feeds of a backend server and on the rate of registrations.

Opening a feed is a request like any other and needs a slot of
:class:`~redwingstream.admission.concurrency_limit.ConcurrencyLimit` as well.
This module limits the number of open feeds and the rate at which they are
registered.  After a restart of the server all its feeds are registered again;
all at once they would overload it and bring it down a second time.
"""

import math

# Limit on feeds after an announcement of the server or a cold start.
COLD_FEEDS = 16
# Seconds in which the permitted rate opens as many feeds as the limit allows.
FILL_TIME = 4
# Fraction of the limit that must have been opened since it last changed before
# the limit is raised.
_EVIDENCE_FRACTION = 0.5
# Factor by which the limit is raised.
_GROWTH_FACTOR = 2


class FeedLimit:
    """Limit on the feeds of one backend server.

    Parameters
    ----------
    ceiling : int
        Maximum number of connections of the host, for example 2,000.

    Attributes
    ----------
    limit : int
        Current maximum number of feeds.
    open_count : int
        Number of feeds that the server carries.
    opening_count : int
        Number of registrations that the server has not answered yet.
    """

    def __init__(self, ceiling: int) -> None:
        self.limit = min(COLD_FEEDS, ceiling)
        self.open_count = 0
        self.opening_count = 0
        self._ceiling = ceiling
        self._evidence = 0
        self._is_draining = False
        self._permits = float(1)
        self._permits_at = -math.inf

    def remaining_feeds(self) -> int:
        """Return how many more feeds the limit allows, at whatever rate."""
        if self._is_draining:
            return 0
        return max(0, self.limit - self.open_count - self.opening_count)

    def available_registrations(self, now: float) -> int:
        """Return how many registrations :meth:`try_open` would admit now."""
        self._refill(now)
        return min(self.remaining_feeds(), int(self._permits))

    def try_open(self, now: float) -> bool:
        """Begin a registration if the limit and the rate allow it.

        Parameters
        ----------
        now : float
            Current time in seconds, by the event loop's clock.

        Returns
        -------
        bool
            False when the feed is to be placed elsewhere or refused, or, for
            a feed that this agent registers itself, tried again later.
        """
        self._refill(now)
        taken = self.open_count + self.opening_count
        if self._is_draining or taken >= self.limit or self._permits < 1:
            return False
        self._permits -= 1
        self.opening_count += 1
        return True

    def record_opened(self) -> None:
        """Record that the server has accepted a registration."""
        self.opening_count -= 1
        self.open_count += 1
        self._evidence += 1
        is_used = self.open_count >= self.limit
        if is_used and self._evidence >= self.limit * _EVIDENCE_FRACTION:
            self.limit = min(_GROWTH_FACTOR * self.limit, self._ceiling)
            self._evidence = 0

    def record_failed(self) -> None:
        """Record a refusal or a time-out of a registration.

        The limit is reduced to the number of open feeds, but not below that of
        a cold server: no open feed is closed, and the limit rises again only
        with newly accepted registrations.
        """
        self.opening_count -= 1
        self.limit = max(min(COLD_FEEDS, self._ceiling), self.open_count)
        self._evidence = 0

    def record_closed(self) -> None:
        """Record that a feed has ended."""
        self.open_count -= 1

    def server_restarted(self, now: float) -> None:
        """Reset all counts: a restarted server has lost all its feeds.

        Registrations without an answer are void; their owner must call
        neither :meth:`record_opened` nor :meth:`record_failed` for them.
        """
        self.open_count = 0
        self.opening_count = 0
        self.reset_to_cold(now)

    def reset_to_cold(self, now: float) -> None:
        """Reset the limit for a server that is cold again; open feeds stay."""
        self.limit = min(COLD_FEEDS, self._ceiling)
        self._evidence = 0
        self._permits = 1
        self._permits_at = now

    def drain(self) -> None:
        """Open no more feeds."""
        self._is_draining = True

    def resume(self, now: float) -> None:
        """Allow feeds again, as for a cold server."""
        self._is_draining = False
        self.reset_to_cold(now)

    def _refill(self, now: float) -> None:
        # Permits that accumulate while no feed is opened are limited to those
        # of one second, so that a pause is not followed by a burst.
        rate = self.limit / FILL_TIME
        earned = (now - self._permits_at) * rate
        self._permits = min(max(1, rate), self._permits + earned)
        self._permits_at = now
