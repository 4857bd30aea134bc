"""Delivery of notifications to callers, until they are acknowledged."""

from aiocoap.message import Message

from redwingstream.flows.caller_message_ids import CallerMessageIds, Ends
from redwingstream.flows.effects import (
    FeedEffect,
    GenerationWanted,
    SendToCaller,
)
from redwingstream.flows.feed_state import Feed, FeedCounters, FeedLimits
from redwingstream.flows.observe import COUNTER_LIMIT, sequence_number
from redwingstream.flows.records import FlowKey
from redwingstream.flows.return_paths import ReturnPaths
from redwingstream.flows.timers import Timers
from redwingstream.wire import coap

# Seconds until the next attempt to send a notification for which no message id
# or sequence number was left.
_RETRY_SECONDS = 1.0
# Count of notifications under one generation at which the home is first asked
# for the next generation, and count of notifications between two requests.
_REQUEST_AT = COUNTER_LIMIT - 1024
_REQUEST_INTERVAL = 64


class Notifications:
    """Sends notifications and retransmits the newest until its ACK arrives.

    Parameters
    ----------
    ids : CallerMessageIds
        Message ids of packets to callers.
    paths : ReturnPaths
        The known balancers.
    limits : FeedLimits
        Limits and timeouts.
    counters : FeedCounters
        Counters, shared with the carrier.
    """

    def __init__(
        self,
        ids: CallerMessageIds,
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
        """Send a notification, or hold it while an older one awaits its ACK.

        Notes
        -----
        At most one notification of a feed is unacknowledged at a time (RFC
        7641, section 4.5.1).  A newer one replaces one that is held, and one
        that would have to be retransmitted (4.5.2).
        """
        delivery = feed.delivery
        if delivery.message_id is not None:
            if delivery.held:
                self.counters.superseded += 1
            delivery.held = coap.encode(message)
            return []
        return self._send_first(feed, message, now)

    def send_current(self, feed: Feed, now: float) -> list[FeedEffect]:
        """Send the last notification to a caller that registers again."""
        delivery = feed.delivery
        if delivery.message_id is not None or not delivery.packet:
            return []
        return self._send_first(feed, coap.decode(delivery.packet), now)

    def send_held(self, feed: Feed, now: float) -> list[FeedEffect]:
        """Send the held notification, if no other one waits for its ACK."""
        delivery = feed.delivery
        if delivery.message_id is not None or not delivery.held:
            return []
        return self._send_first(feed, coap.decode(delivery.held), now)

    def find(self, ends: Ends, message_id: int) -> FlowKey | None:
        """Return the key of the feed whose notification has this message id."""
        return self._key_by_message_id.get((*ends, message_id))

    def handle_ack(self, feed: Feed, now: float) -> list[FeedEffect]:
        """Handle the caller's ACK; send the notification held meanwhile."""
        delivery = feed.delivery
        if delivery.tried:
            self._paths.record_ack(delivery.tried[-1])
        self.cancel(feed)
        return self.send_held(feed, now)

    def cancel(self, feed: Feed) -> None:
        """Stop waiting for an ACK."""
        self._clear_message_id(feed)
        feed.delivery.tried.clear()
        self.timers.cancel(feed.key)

    def is_exhausted(self, feed: Feed) -> bool:
        """Whether all retransmissions have been sent without an ACK."""
        return len(feed.delivery.tried) > self._limits.max_repeats

    def repeat(self, feed: Feed, now: float) -> list[FeedEffect]:
        """Retransmit the newest notification through another balancer.

        Notes
        -----
        The balancer of the last copy may have failed, or packets to it may be
        lost.
        """
        delivery = feed.delivery
        if delivery.message_id is None:
            return self.send_held(feed, now)
        self.counters.repeats += 1
        if delivery.tried:
            self._paths.record_loss(delivery.tried[-1])
        if delivery.held:
            self.counters.superseded += 1
            self._clear_message_id(feed)
            return self._send_first(feed, coap.decode(delivery.held), now)
        return self._transmit(feed, now)

    def send_copies(
        self, feed: Feed, message: Message, copies: int, now: float
    ) -> list[FeedEffect]:
        """Send a non-confirmable packet through several balancers."""
        message_id = self._allocate_id(feed, now)
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
            message_id = self._allocate_id(feed, now)
        if message_id is None:
            # Sequence numbers or message ids are used up; the newest
            # notification is held until more are available.
            delivery.held = coap.encode(message)
            self.timers.start(feed.key, now + _RETRY_SECONDS)
            return self._request_generation(feed)
        self._assign_numbers(feed, message, message_id)
        self.counters.notified += 1
        return self._transmit(feed, now) + self._request_generation(feed)

    def _assign_numbers(
        self, feed: Feed, message: Message, message_id: int
    ) -> None:
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
        message_key = (feed.key.caller, feed.key.service, message_id)
        self._key_by_message_id[message_key] = feed.key

    def _transmit(self, feed: Feed, now: float) -> list[FeedEffect]:
        delivery = feed.delivery
        balancer = self._paths.pick(delivery.tried)
        limits = self._limits
        doubled = limits.ack_timeout * 2 ** len(delivery.tried)
        wait = min(doubled, limits.max_ack_timeout)
        self.timers.start(feed.key, now + wait)
        if balancer is None:
            # Without a balancer no caller can be reached, so this does not
            # count as a retransmission that the caller left unanswered.
            return []
        delivery.tried.append(balancer)
        return [_to_caller(feed, balancer, delivery.packet)]

    def _allocate_id(self, feed: Feed, now: float) -> int | None:
        return self._ids.allocate((feed.key.caller, feed.key.service), now)

    def _clear_message_id(self, feed: Feed) -> None:
        message_id = feed.delivery.message_id
        if message_id is None:
            return
        message_key = (feed.key.caller, feed.key.service, message_id)
        self._key_by_message_id.pop(message_key, None)
        feed.delivery.message_id = None

    def _request_generation(self, feed: Feed) -> list[FeedEffect]:
        counter = feed.delivery.counter
        if counter < _REQUEST_AT or counter % _REQUEST_INTERVAL:
            return []
        return [GenerationWanted(feed.record)]


def _to_caller(feed: Feed, balancer: str, payload: bytes) -> SendToCaller:
    key = feed.key
    return SendToCaller(balancer, key.caller, key.service, payload)
