"""How many feeds a backend server carries, and how fast they are opened.

Opening a feed is a request like others and needs a slot of
:class:`~redwingstream.admission.limit.ConcurrencyLimit` as well.  What is
limited here is the sum of open feeds, and the pace: when a server has
restarted, all its feeds are to be registered again, and all at once they would
bring it down a second time.
"""

import math

# Feeds that a server is given after an announcement or a cold start.
COLD_FEEDS = 16
# The pace is such that filling the limit from nothing takes this many seconds.
FILL_TIME = 4
# Part of the limit that must have been opened since it last changed, before it
# is doubled.
_EVIDENCE_FRACTION = 0.5
# What the limit is multiplied by then.
_GROWTH = 2


class FeedLimit:
    """Limit on the feeds of one backend server.

    Parameters
    ----------
    ceiling : int
        Connections that the host bears, about 2,000 today.

    Attributes
    ----------
    limit : int
        How many feeds there may be now.
    open_feeds : int
        Feeds that the server carries.
    opening : int
        Registrations that it has not answered yet.
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
        """Return how many feeds more there may be, whatever the pace."""
        if self._is_draining:
            return 0
        return max(0, self.limit - self.open_count - self.opening_count)

    def available_registrations(self, now: float) -> int:
        """Return how many registrations :meth:`try_open` would let through."""
        self._refill(now)
        return min(self.remaining_feeds(), int(self._permits))

    def try_open(self, now: float) -> bool:
        """Begin a registration if limit and pace allow it.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        bool
            False means: place the feed elsewhere, refuse it, or try a
            registration of one's own again later.
        """
        self._refill(now)
        taken = self.open_count + self.opening_count
        if self._is_draining or taken >= self.limit or self._permits < 1:
            return False
        self._permits -= 1
        self.opening_count += 1
        return True

    def record_opened(self) -> None:
        """Take the server's consent to a registration."""
        self.opening_count -= 1
        self.open_count += 1
        self._evidence += 1
        is_used = self.open_count >= self.limit
        if is_used and self._evidence >= self.limit * _EVIDENCE_FRACTION:
            self.limit = min(_GROWTH * self.limit, self._ceiling)
            self._evidence = 0

    def record_failed(self) -> None:
        """Take a refusal or a timeout of a registration.

        The limit goes back to what the server carries: none of those is
        closed, and growth needs evidence anew.
        """
        self.opening_count -= 1
        self.limit = max(min(COLD_FEEDS, self._ceiling), self.open_count)
        self._evidence = 0

    def record_closed(self) -> None:
        """Note that a feed has ended."""
        self.open_count -= 1

    def server_restarted(self, now: float) -> None:
        """Begin with nothing open: the server has forgotten all its feeds.

        Registrations without an answer are void; their owner reports neither
        :meth:`opened` nor :meth:`failed` for them any more.
        """
        self.open_count = 0
        self.opening_count = 0
        self.reset_to_cold(now)

    def reset_to_cold(self, now: float) -> None:
        """Give the least to a server that is cold again; open feeds stay."""
        self.limit = min(COLD_FEEDS, self._ceiling)
        self._evidence = 0
        self._permits = 1
        self._permits_at = now

    def drain(self) -> None:
        """Open nothing more."""
        self._is_draining = True

    def resume(self, now: float) -> None:
        """Take feeds again, as from a server that is cold."""
        self._is_draining = False
        self.reset_to_cold(now)

    def _refill(self, now: float) -> None:
        # Permits saved up while nothing was opened are bounded by one second's
        # worth, so that a pause does not end in a burst.
        pace = self.limit / FILL_TIME
        earned = (now - self._permits_at) * pace
        self._permits = min(max(1, pace), self._permits + earned)
        self._permits_at = now
