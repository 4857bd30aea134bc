"""The feeds of a carrier by key, from their first record to their end."""

import math
import random
from collections.abc import Iterator

from aiocoap.message import Message

from redwingstream.errors import ResultCode
from redwingstream.flows.effects import (
    CloseFeed,
    FeedClosed,
    FeedEffect,
    RegistrationId,
)
from redwingstream.flows.feed_state import Delivery, Feed, FeedLimits
from redwingstream.flows.notifications import Notifications
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.flows.registrations import Registrations
from redwingstream.wire import coap


class CarriedFeeds:
    """Opens and ends feeds; keeps both sides of each in step.

    Parameters
    ----------
    notifications : Notifications
        The callers' side.
    registrations : Registrations
        The server's side.
    rng : random.Random
        Spreads times to come back.
    limits : FeedLimits
        Bounds and times.
    """

    def __init__(
        self,
        notifications: Notifications,
        registrations: Registrations,
        rng: random.Random,
        limits: FeedLimits,
    ) -> None:
        self._notifications = notifications
        self._registrations = registrations
        self._rng = rng
        self._limits = limits
        self._feed_by_key: dict[FlowKey, Feed] = {}

    def __len__(self) -> int:
        """Return how many feeds there are."""
        return len(self._feed_by_key)

    def keys(self) -> tuple[FlowKey, ...]:
        """Return the feeds that are not being closed."""
        return tuple(
            key for key, feed in self._feed_by_key.items() if not feed.closing
        )

    def records(self) -> Iterator[FlowRecord]:
        """Yield the records of the feeds that are not being closed."""
        for feed in self._feed_by_key.values():
            if not feed.closing:
                yield feed.record

    def find(self, key: FlowKey) -> Feed | None:
        """Return a feed, also one that is being closed."""
        return self._feed_by_key.get(key)

    def find_open(self, key: FlowKey) -> Feed | None:
        """Return a feed that is not being closed."""
        feed = self._feed_by_key.get(key)
        return None if feed is None or feed.closing else feed

    def find_source(self, source: RegistrationId) -> Feed | None:
        """Return the feed whose present registration this is."""
        feed = self._feed_by_key.get(source.key)
        return None if feed is None or feed.source != source else feed

    def add(self, record: FlowRecord, now: float) -> Feed:
        """Open a feed, in place of one with its key that is being closed."""
        former = self._feed_by_key.get(record.key)
        feed = Feed(record, Delivery())
        if former is not None:
            self.remove(former)
            if former.record.generation == record.generation:
                # The caller may still compare with the numbers before.
                feed.delivery.counter = former.delivery.counter
        self._feed_by_key[record.key] = feed
        self._registrations.wait(feed, now)
        return feed

    def adopt(self, feed: Feed, record: FlowRecord) -> None:
        """Go on under another record of the same feed."""
        if record.generation > feed.record.generation:
            feed.delivery.counter = 0
        feed.record = record

    def remove(self, feed: Feed) -> list[FeedEffect]:
        """Forget a feed; the server is told when it has it."""
        self._feed_by_key.pop(feed.key, None)
        self._notifications.forget(feed)
        self._registrations.forget(feed)
        return [] if feed.source is None else [CloseFeed(feed.source)]

    def close(self, feed: Feed, why: ResultCode) -> list[FeedEffect]:
        """Forget a feed and tell its home."""
        closed = FeedClosed(feed.record.as_closed(), why)
        return [*self.remove(feed), closed]

    def finish(
        self, feed: Feed, response: Message, now: float
    ) -> list[FeedEffect]:
        """Send the final answer; forget the feed when it is acknowledged.

        Notes
        -----
        The home keeps the record until then.  It passes a caller's ACK on to
        those who have a record; without one, each final answer would be sent
        five times, also by an agent that refuses feeds in overload.
        """
        self._notifications.forget(feed)
        self._registrations.forget(feed)
        feed.source = None
        feed.closing = True
        return self._notifications.send(feed, response, now)

    def repeat(self, key: FlowKey, now: float) -> list[FeedEffect]:
        """Repeat a notification, or give up a caller that never answers."""
        feed = self._feed_by_key[key]
        if self._notifications.is_exhausted(feed):
            self._notifications.counters.unanswered += 1
            return self.close(feed, ResultCode.TIMED_OUT)
        return self._notifications.repeat(feed, now)

    def final_answer(self, why: ResultCode) -> Message:
        """Return the last message of a feed: 5.03 and when to come back."""
        answer = Message(
            code=coap.SERVICE_UNAVAILABLE, payload=why.name.lower().encode()
        )
        answer.opt.max_age = self.come_back()
        return answer

    def come_back(self) -> int:
        """Return a Max-Age in seconds, spread so that callers do not meet."""
        return math.ceil(self._limits.come_back * (1 + self._rng.random()))
