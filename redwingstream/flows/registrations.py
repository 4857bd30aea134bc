"""Schedules when a carrier registers its feeds at its server."""

import itertools
import random
from collections.abc import Iterable

from redwingstream.flows.effects import OpenFeed, RegistrationId
from redwingstream.flows.feed_state import Feed, FeedLimits
from redwingstream.flows.records import FlowKey
from redwingstream.flows.timers import Timers
from redwingstream.wire import coap


class Registrations:
    """Feeds that wait for their registration, ordered by due time.

    Parameters
    ----------
    rng : random.Random
        Random generator for the spread of retries.
    limits : FeedLimits
        Limits and timeouts.

    Notes
    -----
    After a restart of a server all its feeds wait at the same time.
    Registering them together would overload a cold server, so the agent
    registers only as many as admission allows.
    """

    def __init__(self, rng: random.Random, limits: FeedLimits) -> None:
        self._rng = rng
        self._limits = limits
        self._feed_by_key: dict[FlowKey, Feed] = {}
        self._timers: Timers[FlowKey] = Timers()
        self._attempts = itertools.count(1)

    def __len__(self) -> int:
        """Return the number of waiting feeds."""
        return len(self._feed_by_key)

    def add(self, feed: Feed, now: float) -> None:
        """Add a new feed, which is due at once."""
        feed.unregistered_at = now
        self._feed_by_key[feed.key] = feed
        self._timers.start(feed.key, now)

    def retry_later(self, feed: Feed, now: float, at_least: float = 0) -> None:
        """Schedule another registration, with exponential backoff.

        Parameters
        ----------
        feed : Feed
            Feed whose registration has ended or failed.
        now : float
            Current time in seconds, by the event loop's clock.
        at_least : float
            Minimum delay in seconds, as requested by the server.
        """
        if not feed.failures:
            feed.unregistered_at = now
        feed.source = None
        feed.failures += 1
        self._feed_by_key[feed.key] = feed
        delay = max(at_least, self._backoff(feed))
        self._timers.start(feed.key, now + delay)

    def remove(self, feed: Feed) -> None:
        """Remove a feed, which is then not registered."""
        self._feed_by_key.pop(feed.key, None)
        self._timers.cancel(feed.key)

    def pop_due(self, now: float, room: int) -> list[OpenFeed]:
        """Remove and return the registrations that are due, up to ``room``."""
        due = itertools.islice(self._timers.pop_due(now), max(0, room))
        return [self._open(self._feed_by_key.pop(key)) for key in due]

    def waiting(self) -> Iterable[Feed]:
        """Return the feeds that are not registered."""
        return self._feed_by_key.values()

    def _backoff(self, feed: Feed) -> float:
        delay = self._limits.initial_backoff * 2 ** (feed.failures - 1)
        spread = self._rng.random() + 1 / 2
        return min(delay, self._limits.max_backoff) * spread

    def _open(self, feed: Feed) -> OpenFeed:
        generation = feed.record.generation
        feed.source = RegistrationId(feed.key, generation, next(self._attempts))
        return OpenFeed(feed.source, coap.decode(feed.record.registration))
