"""Feeds of a backend server: Observe (RFC 7641) with confirmable states."""

import attrs
from aiocoap.message import Message

from redwingstream.wire import coap
from standins.reliable import ExchangeKey, ReliableSender, Target
from standins.resources import etag_of, feed_body

MAX_FEEDS = 4096
MAX_UNACKNOWLEDGED = 10

FeedName = tuple[Target, bytes]


@attrs.define
class _Feed:
    """One observer."""

    target: Target
    token: bytes
    message_id: int = -1
    unacknowledged: int = 0


class Feeds:
    """Everyone who observes the feed of one backend server.

    Parameters
    ----------
    host : str
        Name of the server, which stands in each state.
    sender : ReliableSender
        Sends notifications.
    period : float
        Seconds between two of them.
    """

    def __init__(
        self, host: str, sender: ReliableSender, period: float
    ) -> None:
        self._host = host
        self._sender = sender
        self._period = period
        self._tick = 1
        self._next_at = float(0)
        self._feed_by_name: dict[FeedName, _Feed] = {}
        self._name_by_exchange: dict[ExchangeKey, FeedName] = {}
        self.given_up = 0

    @property
    def count(self) -> int:
        """How many observers there are."""
        return len(self._feed_by_name)

    def has(self, target: Target, token: bytes) -> bool:
        """Whether this observer is registered."""
        return (target, token) in self._feed_by_name

    def register(self, request: Message, target: Target) -> Message | None:
        """Add an observer; return the first state, None when full."""
        name = (target, request.token)
        if name not in self._feed_by_name and self.count >= MAX_FEEDS:
            return None
        self._feed_by_name[name] = _Feed(target, request.token)
        response = self.state_for(request)
        response.opt.observe = self._tick
        return response

    def state_for(self, request: Message) -> Message:
        """Return the present state as a plain response."""
        body = feed_body(self._host, self._tick)
        response = coap.reply_to(request, coap.CONTENT, body)
        response.opt.etag = etag_of(body)
        return response

    def remove(self, target: Target, token: bytes) -> None:
        """Forget an observer."""
        feed = self._feed_by_name.pop((target, token), None)
        if feed is not None:
            self._settle(feed)

    def acknowledged(self, target: Target, message_id: int) -> None:
        """Note that an observer has got a notification."""
        feed = self._find(target, message_id)
        if feed is not None:
            feed.unacknowledged = 0

    def rejected(self, target: Target, message_id: int) -> None:
        """Forget the observer who has reset a notification."""
        feed = self._find(target, message_id)
        if feed is not None:
            self.remove(target, feed.token)

    def notify(self, now: float) -> None:
        """Send the next state to everyone once its time has come."""
        if now < self._next_at:
            return
        self._next_at = now + self._period
        self._tick = (self._tick + 1) % coap.OBSERVE_LIMIT
        for feed in list(self._feed_by_name.values()):
            self._notify_one(feed)

    def end_all(self) -> None:
        """Tell every observer that its feed ends here (RFC 7641, 3.2)."""
        for feed in list(self._feed_by_name.values()):
            ending = Message(code=coap.SERVICE_UNAVAILABLE)
            ending.opt.max_age = 1
            ending.token = feed.token
            self.remove(feed.target, feed.token)
            self._sender.send(ending, feed.target)

    def _notify_one(self, feed: _Feed) -> None:
        if feed.unacknowledged >= MAX_UNACKNOWLEDGED:
            self.given_up += 1
            self.remove(feed.target, feed.token)
            return
        # A newer state replaces the repeats of an older one (RFC 7641, 4.5.2).
        self._settle(feed)
        body = feed_body(self._host, self._tick)
        packet = Message(code=coap.CONTENT, payload=body)
        packet.token = feed.token
        packet.opt.observe = self._tick
        packet.opt.etag = etag_of(body)
        feed.unacknowledged += 1
        feed.message_id = self._sender.send(packet, feed.target)
        exchange = (feed.target, feed.message_id)
        self._name_by_exchange[exchange] = (feed.target, feed.token)

    def _settle(self, feed: _Feed) -> None:
        self._sender.settle(feed.target, feed.message_id)
        self._name_by_exchange.pop((feed.target, feed.message_id), None)

    def _find(self, target: Target, message_id: int) -> _Feed | None:
        name = self._name_by_exchange.get((target, message_id))
        return None if name is None else self._feed_by_name.get(name)
