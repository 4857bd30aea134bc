"""Read access to the feeds of a carrier, without methods that change them."""

import random

from redwingstream.flows.caller_message_ids import CallerMessageIds
from redwingstream.flows.feed_registry import FeedRegistry
from redwingstream.flows.feed_state import FeedCounters, FeedLimits
from redwingstream.flows.notifications import Notifications
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.flows.registrations import Registrations
from redwingstream.flows.return_paths import ReturnPaths
from redwingstream.forwarding.messages import FeedMove


class FeedQueries:
    """State of a carrier and the methods that read it.

    It is the base class of :class:`~redwingstream.flows.feeds.FeedCarrier`.

    Parameters
    ----------
    host, pool : str
        Names of the agent's host and of its pool.
    paths : ReturnPaths
        The balancers from which packets arrived recently.
    rng : random.Random
        Random generator for the spread of times and first message ids.
    limits : FeedLimits, optional
        Limits and timeouts.
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
        self._ids = CallerMessageIds(host, rng)
        self._notifications = Notifications(
            self._ids, paths, self._limits, self.counters
        )
        self._registrations = Registrations(rng, self._limits)
        self._feeds = FeedRegistry(
            self._notifications, self._registrations, rng, self._limits
        )

    def __len__(self) -> int:
        """Return the number of feeds carried."""
        return len(self._feeds)

    def keys(self) -> tuple[FlowKey, ...]:
        """Return the keys of the feeds carried, without those being closed."""
        return self._feeds.keys()

    def records(self) -> tuple[FlowRecord, ...]:
        """Return the records of the feeds carried, as last received here."""
        return tuple(self._feeds.records())

    def handover(self, key: FlowKey) -> FeedMove | None:
        """Return the request to place a feed at another carrier.

        Notes
        -----
        The feed is served here until ``handle_moved`` is called because its
        new carrier has it.  So there is no gap, and the sequence numbers of
        the new carrier are newer.
        """
        feed = self._feeds.find_open(key)
        if feed is None:
            return None
        return FeedMove(self._pool, feed.record, feed.observe)

    def next_due(self) -> float | None:
        """Return when :meth:`poll` is due, or None."""
        return self._notifications.timers.next_due()
