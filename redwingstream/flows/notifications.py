"""Notifications on their way to callers, until they are acknowledged."""

from aiocoap.message import Message

from redwingstream.flows.caller_ids import CallerIds, Ends
from redwingstream.flows.effects import (
    FeedEffect,
    GenerationWanted,
    SendToCaller,
)
from redwingstream.flows.feed_state import Feed, FeedCounters, FeedLimits
from redwingstream.flows.observe import COUNTER_LIMIT, sequence_number
from redwingstream.flows.paths import ReturnPaths
from redwingstream.flows.records import FlowKey
from redwingstream.flows.timers import Timers
from redwingstream.wire import coap

# Seconds after which a notification is tried again that found no message id or
# no number left.
_HOLD = 1.0
# Notifications under one generation from which on its home is asked for the
# next one, and after how many more it is asked again.
_WARN_AT = COUNTER_LIMIT - 1024
_WARN_EACH = 64


class Notifications:
    """Sends notifications and repeats the newest until its ACK arrives.

    Parameters
    ----------
    ids : CallerIds
        Message ids towards callers.
    paths : ReturnPaths
        The balancers known.
    limits : FeedLimits
        Bounds and times.
    counters : FeedCounters
        Shared with the carrier.
    """

    def __init__(
        self,
        ids: CallerIds,
        paths: ReturnPaths,
        limits: FeedLimits,
        counters: FeedCounters,
    ) -> None:
        self.timers: Timers[FlowKey] = Timers()
        self._paths = paths
        self._ids = ids
        self._limits = limits
        self.counters = counters
        self._key_by_message_id: dict[tuple[str, str, int], FlowKey] = {}

    def send(
        self, feed: Feed, message: Message, now: float
    ) -> list[FeedEffect]:
        """Send a new state, or hold it while an older one waits for its ACK.

        Notes
        -----
        One notification of a feed is on its way at a time (RFC 7641, section
        4.5.1); a newer state takes the place of one that is held, and of one
        that would have to be repeated (4.5.2).
        """
        delivery = feed.delivery
        if delivery.message_id is not None:
            if delivery.held:
                self.counters.superseded += 1
            delivery.held = coap.encode(message)
            return []
        return self._send_first(feed, message, now)

    def send_again(self, feed: Feed, now: float) -> list[FeedEffect]:
        """Send the present state to a caller that has registered again."""
        delivery = feed.delivery
        if delivery.message_id is not None or not delivery.packet:
            return []
        return self._send_first(feed, coap.decode(delivery.packet), now)

    def send_held(self, feed: Feed, now: float) -> list[FeedEffect]:
        """Send what was held, if nothing waits for its ACK."""
        delivery = feed.delivery
        if delivery.message_id is not None or not delivery.held:
            return []
        return self._send_first(feed, coap.decode(delivery.held), now)

    def find(self, ends: Ends, message_id: int) -> FlowKey | None:
        """Return whose notification a message id belongs to."""
        return self._key_by_message_id.get((*ends, message_id))

    def acknowledged(self, feed: Feed, now: float) -> list[FeedEffect]:
        """Take the caller's ACK; send what was held in the meantime."""
        delivery = feed.delivery
        if delivery.tried:
            self._paths.answered(delivery.tried[-1])
        self.forget(feed)
        return self.send_held(feed, now)

    def forget(self, feed: Feed) -> None:
        """Wait no more for an ACK."""
        self._forget_id(feed)
        feed.delivery.tried.clear()
        self.timers.cancel(feed.key)

    def is_exhausted(self, feed: Feed) -> bool:
        """Whether no ACK came for the last repeat."""
        return len(feed.delivery.tried) > self._limits.max_repeats

    def repeat(self, feed: Feed, now: float) -> list[FeedEffect]:
        """Send the newest state through another balancer.

        Notes
        -----
        The balancer that had the last copy may be dead, or its link silent.
        """
        delivery = feed.delivery
        if delivery.message_id is None:
            return self.send_held(feed, now)
        self.counters.repeats += 1
        if delivery.tried:
            self._paths.unanswered(delivery.tried[-1])
        if delivery.held:
            self.counters.superseded += 1
            self._forget_id(feed)
            return self._send_first(feed, coap.decode(delivery.held), now)
        return self._transmit(feed, now)

    def send_copies(
        self, feed: Feed, message: Message, copies: int, now: float
    ) -> list[FeedEffect]:
        """Send a packet that waits for no ACK, through several balancers."""
        message_id = self._take_id(feed, now)
        if message_id is None:
            return []
        message.mtype = coap.NON
        message.mid = message_id
        message.token = feed.key.token
        payload = coap.encode(message)
        tried: list[str] = []
        for _ in range(copies):
            balancer = self._paths.pick(tried)
            if balancer is not None:
                tried.append(balancer)
        return [_to_caller(feed, balancer, payload) for balancer in tried]

    def _send_first(
        self, feed: Feed, message: Message, now: float
    ) -> list[FeedEffect]:
        delivery = feed.delivery
        message_id = None
        if feed.closing or delivery.counter < COUNTER_LIMIT:
            message_id = self._take_id(feed, now)
        if message_id is None:
            # Numbers or ids are used up; the newest state waits for more.
            delivery.held = coap.encode(message)
            self.timers.start(feed.key, now + _HOLD)
            return self._warn(feed)
        self._number(feed, message, message_id)
        self.counters.notified += 1
        return self._transmit(feed, now) + self._warn(feed)

    def _number(self, feed: Feed, message: Message, message_id: int) -> None:
        delivery = feed.delivery
        message.token = feed.key.token
        message.mtype = coap.CON
        message.mid = message_id
        message.opt.observe = None
        if not feed.closing:
            message.opt.observe = sequence_number(
                feed.record.generation, delivery.counter
            )
            delivery.counter += 1
        delivery.message_id = message_id
        delivery.packet = coap.encode(message)
        delivery.held = b''
        name = (feed.key.caller, feed.key.service, message_id)
        self._key_by_message_id[name] = feed.key

    def _transmit(self, feed: Feed, now: float) -> list[FeedEffect]:
        delivery = feed.delivery
        balancer = self._paths.pick(delivery.tried)
        limits = self._limits
        doubled = limits.ack_timeout * 2 ** len(delivery.tried)
        wait = min(doubled, limits.max_ack_timeout)
        self.timers.start(feed.key, now + wait)
        if balancer is None:
            # No way to any caller says nothing about this one: not counted.
            return []
        delivery.tried.append(balancer)
        return [_to_caller(feed, balancer, delivery.packet)]

    def _take_id(self, feed: Feed, now: float) -> int | None:
        return self._ids.take((feed.key.caller, feed.key.service), now)

    def _forget_id(self, feed: Feed) -> None:
        message_id = feed.delivery.message_id
        if message_id is None:
            return
        name = (feed.key.caller, feed.key.service, message_id)
        self._key_by_message_id.pop(name, None)
        feed.delivery.message_id = None

    def _warn(self, feed: Feed) -> list[FeedEffect]:
        counter = feed.delivery.counter
        if counter < _WARN_AT or counter % _WARN_EACH:
            return []
        return [GenerationWanted(feed.record)]


def _to_caller(feed: Feed, balancer: str, payload: bytes) -> SendToCaller:
    key = feed.key
    return SendToCaller(balancer, key.caller, key.service, payload)
