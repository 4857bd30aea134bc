"""Handles the packets that arrive from an agent's server."""

from aiocoap.message import Message

from redwingstream.errors import ResultCode, WireError
from redwingstream.flows.effects import (
    Failed,
    FeedEnded,
    FeedUpdate,
    Responded,
    SendToServer,
)
from redwingstream.flows.exchanges import Exchange
from redwingstream.flows.observe import FRESH_AFTER, is_newer
from redwingstream.flows.request_sender import (
    RANDOM_FACTOR,
    Effects,
    RequestSender,
)
from redwingstream.requests.records import RequestState
from redwingstream.wire import coap

# Max-Age in seconds of a notification without that option (RFC 7252, 5.10.5).
_DEFAULT_MAX_AGE = 60
# Minimum time in seconds between two refreshes of a feed, whatever its Max-Age.
_MIN_REFRESH = 1.0


class PacketReceiver:
    """Matches each packet of the server with its exchange, and handles it.

    Parameters
    ----------
    sender : RequestSender
        Sender of the requests, which holds the exchanges.
    """

    def __init__(self, sender: RequestSender) -> None:
        self._sender = sender
        self._exchanges = sender.exchanges
        self._links = sender.links
        self._counters = sender.counters

    def receive(self, packet: bytes, now: float, source: int = 0) -> Effects:
        """Handle a packet from the server.

        Parameters
        ----------
        packet : bytes
            The packet; a malformed one is counted and dropped.
        now : float
            Current time in seconds, by the event loop's clock.
        source : int
            Index of the socket on which it arrived.
        """
        try:
            message = coap.decode(packet)
        except WireError:
            self._counters.malformed += 1
            return []
        self._links.record_heard(source, now)
        if message.code is coap.EMPTY:
            return self._handle_empty(message, now, source)
        if message.code.is_response():
            return self._handle_response(message, now, source)
        self._counters.malformed += 1
        return _reject(message, source)

    def _handle_empty(
        self, message: Message, now: float, source: int
    ) -> Effects:
        if message.mtype is coap.CON:
            return _reject(message, source)
        if message.mtype is coap.RST:
            probed = self._links.handle_probe_answer(message.mid)
            if probed:
                return list(probed)
        exchange = self._exchanges.find_by_message_id(message.mid, source)
        if exchange is None or exchange.registered:
            return []
        if message.mtype is coap.RST:
            return self._handle_reset(exchange, now)
        exchange.acknowledged = True
        self._sender.schedule_timer(exchange, now)
        return []

    def _handle_reset(self, exchange: Exchange, now: float) -> Effects:
        """End an exchange that the server has rejected with an RST.

        Notes
        -----
        If one copy was sent and not acknowledged, an RST proves that the
        request was not run.  If two copies were sent, the first may have run
        before a restart.  An RST after an ACK shows that the server has lost
        its state.
        """
        self._counters.resets += 1
        self._sender.finish(exchange, now, answered=False)
        if exchange.is_feed:
            return [FeedEnded(exchange.owner, ResultCode.NO_SERVER)]
        state = RequestState.UNKNOWN
        if exchange.copies == 1 and not exchange.acknowledged:
            state = RequestState.NOT_RUN
        effects: Effects = [Failed(exchange.owner, state, ResultCode.NO_SERVER)]
        if exchange.acknowledged:
            effects.extend(self._sender.handle_restart(now))
        return effects

    def _handle_response(
        self, message: Message, now: float, source: int
    ) -> Effects:
        exchange = self._exchanges.find_by_token(message.token, source)
        if exchange is None:
            return self._handle_unmatched(message, source)
        if message.mtype is coap.ACK:
            if message.mid != exchange.message_id:
                # A late answer to an earlier registration of the feed.
                self._counters.duplicates += 1
                return []
        effects: Effects = _acknowledge(message, source)
        if exchange.is_feed:
            return effects + self._handle_notification(exchange, message, now)
        self._sender.finish(exchange, now, answered=True)
        latency = now - exchange.sent_at
        return [*effects, Responded(exchange.owner, message, latency)]

    def _handle_unmatched(self, message: Message, source: int) -> Effects:
        answered = self._exchanges.was_answered(message.token)
        if answered:
            # The ACK was lost; an RST would tell the server that the answer
            # was rejected.
            self._counters.duplicates += 1
            return _acknowledge(message, source)
        if answered is None:
            self._counters.unknown_tokens += 1
        else:
            self._counters.late += 1
        return _reject(message, source)

    def _handle_notification(
        self, feed: Exchange, message: Message, now: float
    ) -> Effects:
        number = message.opt.observe
        if number is None or not message.code.is_successful():
            self._sender.finish(feed, now, answered=True)
            return [FeedEnded(feed.owner, ResultCode.OK, message)]
        if _shows_restart(feed, message):
            return self._sender.handle_restart(now)
        if _is_outdated(feed, number, now):
            self._counters.duplicates += 1
            return []
        feed.observe = number
        feed.observed_at = now
        feed.registered = True
        feed.acknowledged = True
        self._exchanges.move_to_end(feed)
        self._sender.timers.start(
            feed.number, now + self._refresh_time(message)
        )
        return [FeedUpdate(feed.owner, message)]

    def _refresh_time(self, message: Message) -> float:
        max_age = message.opt.max_age
        if max_age is None:
            max_age = _DEFAULT_MAX_AGE
        longest = min(float(max_age), self._sender.limits.refresh_after)
        spread = 1 + self._sender.rng.random() * RANDOM_FACTOR
        return max(longest, _MIN_REFRESH) * spread


def _acknowledge(message: Message, source: int) -> Effects:
    if message.mtype is not coap.CON:
        return []
    reply = coap.encode(coap.empty(coap.ACK, message.mid))
    return [SendToServer(reply, source)]


def _reject(message: Message, source: int) -> Effects:
    if message.mtype not in {coap.CON, coap.NON}:
        return []
    reply = coap.encode(coap.empty(coap.RST, message.mid))
    return [SendToServer(reply, source)]


def _shows_restart(feed: Exchange, message: Message) -> bool:
    """Whether the answer to a refresh shows that the server has restarted."""
    if message.mtype is not coap.ACK or feed.refresh_floor is None:
        return False
    number = message.opt.observe
    return number != feed.refresh_floor and not is_newer(
        number, feed.refresh_floor
    )


def _is_outdated(feed: Exchange, number: int, now: float) -> bool:
    if feed.observe is None or now - feed.observed_at > FRESH_AFTER:
        return False
    if number == feed.observe and not feed.registered:
        # The answer to a refresh may have the same number as the last one.
        return False
    return not is_newer(number, feed.observe)
