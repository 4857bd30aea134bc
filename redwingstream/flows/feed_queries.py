"""What a carrier tells of its feeds; nothing here changes them."""

import random

from redwingstream.flows.caller_ids import CallerIds
from redwingstream.flows.carried import CarriedFeeds
from redwingstream.flows.feed_state import FeedCounters, FeedLimits
from redwingstream.flows.notifications import Notifications
from redwingstream.flows.paths import ReturnPaths
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.flows.registrations import Registrations
from redwingstream.forwarding.messages import FeedMove


class FeedQueries:
    """The state of a carrier, to be read.

    Parameters
    ----------
    host, pool : str
        Names of the agent's host and of its pool.
    paths : ReturnPaths
        The balancers heard from lately.
    rng : random.Random
        Spreads times, and gives first message ids.
    limits : FeedLimits, optional
        Bounds and times.
    """

    def __init__(
        self,
        host: str,
        pool: str,
        paths: ReturnPaths,
        rng: random.Random,
        limits: FeedLimits | None = None,
    ) -> None:
        self._pool = pool
        self._limits = limits or FeedLimits()
        self.counters = FeedCounters()
        self._ids = CallerIds(host, rng)
        self._notifications = Notifications(
            self._ids, paths, self._limits, self.counters
        )
        self._registrations = Registrations(rng, self._limits)
        self._feeds = CarriedFeeds(
            self._notifications, self._registrations, rng, self._limits
        )

    def __len__(self) -> int:
        """Return how many feeds are carried."""
        return len(self._feeds)

    def keys(self) -> tuple[FlowKey, ...]:
        """Return the feeds carried, but for those being closed."""
        return self._feeds.keys()

    def records(self) -> tuple[FlowRecord, ...]:
        """Return the records of the feeds carried, as far as known here."""
        return tuple(self._feeds.records())

    def handover(self, key: FlowKey) -> FeedMove | None:
        """Return the request to place a feed elsewhere.

        Notes
        -----
        The feed is served here until :meth:`moved` says that its new carrier
        has it: no gap, and the new carrier's numbers are newer.
        """
        feed = self._feeds.find_open(key)
        if feed is None:
            return None
        return FeedMove(self._pool, feed.record, feed.observe)

    def next_due(self) -> float | None:
        """Return when :meth:`poll` is due, or None."""
        return self._notifications.timers.next_due()
