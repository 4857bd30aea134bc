"""When the feeds of a carrier may be registered at its server."""

import itertools
import random
from collections.abc import Iterable

from redwingstream.flows.effects import RegistrationId, OpenFeed
from redwingstream.flows.feed_state import Feed, FeedLimits
from redwingstream.flows.records import FlowKey
from redwingstream.flows.timers import Timers
from redwingstream.wire import coap


class Registrations:
    """Feeds that wait for their registration, those due first in front.

    Parameters
    ----------
    rng : random.Random
        Spreads the tries.
    limits : FeedLimits
        Bounds and times.

    Notes
    -----
    After a server's restart all its feeds wait at once.  Registering them
    together would make a cold server fall over, so the agent takes as many as
    admission has room for.
    """

    def __init__(self, rng: random.Random, limits: FeedLimits) -> None:
        self._rng = rng
        self._limits = limits
        self._feed_by_key: dict[FlowKey, Feed] = {}
        self._timers: Timers[FlowKey] = Timers()
        self._attempts = itertools.count(1)

    def __len__(self) -> int:
        """Return how many feeds wait."""
        return len(self._feed_by_key)

    def wait(self, feed: Feed, now: float) -> None:
        """Let a new feed wait for room."""
        feed.waiting_since = now
        self._feed_by_key[feed.key] = feed
        self._timers.start(feed.key, now)

    def wait_again(self, feed: Feed, now: float, at_least: float = 0) -> None:
        """Let a feed wait; the longer, the more often it has failed.

        Parameters
        ----------
        feed : Feed
            Registered once, or tried to.
        now : float
            The time.
        at_least : float
            Seconds for which the server does not want to be asked.
        """
        if not feed.failures:
            feed.waiting_since = now
        feed.source = None
        feed.failures += 1
        self._feed_by_key[feed.key] = feed
        delay = max(at_least, self._backoff(feed))
        self._timers.start(feed.key, now + delay)

    def forget(self, feed: Feed) -> None:
        """Register a feed no more."""
        self._feed_by_key.pop(feed.key, None)
        self._timers.cancel(feed.key)

    def take_due(self, now: float, room: int) -> list[OpenFeed]:
        """Take out the feeds to register now, as many as there is room."""
        due = itertools.islice(self._timers.pop_due(now), max(0, room))
        return [self._open(self._feed_by_key.pop(key)) for key in due]

    def waiting(self) -> Iterable[Feed]:
        """Return the feeds that are not registered."""
        return self._feed_by_key.values()

    def _backoff(self, feed: Feed) -> float:
        delay = self._limits.first_backoff * 2 ** (feed.failures - 1)
        spread = self._rng.random() + 1 / 2
        return min(delay, self._limits.max_backoff) * spread

    def _open(self, feed: Feed) -> OpenFeed:
        generation = feed.record.generation
        feed.source = RegistrationId(feed.key, generation, next(self._attempts))
        return OpenFeed(feed.source, coap.decode(feed.record.registration))
