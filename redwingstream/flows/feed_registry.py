"""The feeds of a carrier by key, from opening to end."""

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


class FeedRegistry:
    """Opens and ends feeds, towards both the callers and the server.

    Parameters
    ----------
    notifications : Notifications
        Delivery of notifications to the callers.
    registrations : Registrations
        Feeds that wait for their registration at the server.
    rng : random.Random
        Random generator for the spread of Max-Age.
    limits : FeedLimits
        Limits and timeouts.
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
        """Return the number of feeds."""
        return len(self._feed_by_key)

    def keys(self) -> tuple[FlowKey, ...]:
        """Return the keys of the feeds that are not being closed."""
        return tuple(
            key for key, feed in self._feed_by_key.items() if not feed.closing
        )

    def records(self) -> Iterator[FlowRecord]:
        """Yield the records of the feeds that are not being closed."""
        for feed in self._feed_by_key.values():
            if not feed.closing:
                yield feed.record

    def find(self, key: FlowKey) -> Feed | None:
        """Return a feed, even if it is being closed."""
        return self._feed_by_key.get(key)

    def find_open(self, key: FlowKey) -> Feed | None:
        """Return a feed that is not being closed."""
        feed = self._feed_by_key.get(key)
        return None if feed is None or feed.closing else feed

    def find_registered(self, source: RegistrationId) -> Feed | None:
        """Return the feed whose current registration this is."""
        feed = self._feed_by_key.get(source.key)
        return None if feed is None or feed.source != source else feed

    def add(self, record: FlowRecord, now: float) -> Feed:
        """Open a feed; it replaces one of the same key that is being closed."""
        former = self._feed_by_key.get(record.key)
        feed = Feed(record, Delivery())
        if former is not None:
            self.remove(former)
            if former.record.generation == record.generation:
                # The caller may still compare with earlier sequence numbers.
                feed.delivery.counter = former.delivery.counter
        self._feed_by_key[record.key] = feed
        self._registrations.add(feed, now)
        return feed

    def apply_record(self, feed: Feed, record: FlowRecord) -> None:
        """Apply a newer record of a feed."""
        if record.generation > feed.record.generation:
            feed.delivery.counter = 0
        feed.record = record

    def remove(self, feed: Feed) -> list[FeedEffect]:
        """Remove a feed, and deregister it at the server if needed."""
        self._feed_by_key.pop(feed.key, None)
        self._notifications.cancel(feed)
        self._registrations.remove(feed)
        return [] if feed.source is None else [CloseFeed(feed.source)]

    def close(self, feed: Feed, reason: ResultCode) -> list[FeedEffect]:
        """Remove a feed and notify its home."""
        closed = FeedClosed(feed.record.as_closed(), reason)
        return [*self.remove(feed), closed]

    def finish(
        self, feed: Feed, response: Message, now: float
    ) -> list[FeedEffect]:
        """Send the final answer; the feed is removed when its ACK arrives.

        Notes
        -----
        The home keeps the record until then, because it forwards a caller's
        ACK only to carriers that have a record.  Without the record, each
        final answer would be sent five times, even by an agent that refuses
        feeds in overload.
        """
        self._notifications.cancel(feed)
        self._registrations.remove(feed)
        feed.source = None
        feed.closing = True
        return self._notifications.send(feed, response, now)

    def repeat(self, key: FlowKey, now: float) -> list[FeedEffect]:
        """Retransmit a notification, or close the feed of a lost caller."""
        feed = self._feed_by_key[key]
        if self._notifications.is_exhausted(feed):
            self._notifications.counters.unanswered += 1
            return self.close(feed, ResultCode.TIMED_OUT)
        return self._notifications.repeat(feed, now)

    def final_answer(self, reason: ResultCode) -> Message:
        """Return the final answer of a feed: 5.03 with a Max-Age."""
        answer = Message(
            code=coap.SERVICE_UNAVAILABLE, payload=reason.name.lower().encode()
        )
        answer.opt.max_age = self.retry_max_age()
        return answer

    def retry_max_age(self) -> int:
        """Return a Max-Age in seconds, spread at random over the callers."""
        return math.ceil(self._limits.min_max_age * (1 + self._rng.random()))
