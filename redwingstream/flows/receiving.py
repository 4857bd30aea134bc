"""The receiving half of an agent's exchanges with its server."""

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
from redwingstream.flows.sending import RANDOM_FACTOR, Effects, Sending
from redwingstream.requests.records import RequestState
from redwingstream.wire import coap

# Seconds that a notification without Max-Age is good for (RFC 7252, 5.10.5).
_DEFAULT_MAX_AGE = 60
# Seconds between two refreshes of a feed at the least, whatever its Max-Age.
_MIN_REFRESH = 1.0


class Receiving:
    """Takes the server's packets and gives each to its own exchange.

    Parameters
    ----------
    sending : Sending
        The other half, which holds the exchanges.
    """

    def __init__(self, sending: Sending) -> None:
        self._sending = sending
        self._exchanges = sending.exchanges
        self._links = sending.links
        self._counters = sending.counters

    def receive(self, packet: bytes, now: float, source: int = 0) -> Effects:
        """Take a packet from the server.

        Parameters
        ----------
        packet : bytes
            What came; malformed input is counted and dropped.
        now : float
            The time.
        source : int
            The socket on which it came.
        """
        try:
            message = coap.decode(packet)
        except WireError:
            self._counters.malformed += 1
            return []
        self._links.heard(source, now)
        if message.code is coap.EMPTY:
            return self._take_empty(message, now, source)
        if message.code.is_response():
            return self._take_response(message, now, source)
        self._counters.malformed += 1
        return _reject(message, source)

    def _take_empty(self, message: Message, now: float, source: int) -> Effects:
        if message.mtype is coap.CON:
            return _reject(message, source)
        if message.mtype is coap.RST:
            probed = self._links.probe_answered(message.mid)
            if probed:
                return list(probed)
        exchange = self._exchanges.by_message_id(message.mid, source)
        if exchange is None or exchange.settled:
            return []
        if message.mtype is coap.RST:
            return self._take_reset(exchange, now)
        exchange.acknowledged = True
        self._sending.wait(exchange, now)
        return []

    def _take_reset(self, exchange: Exchange, now: float) -> Effects:
        """End an exchange that the server says it does not know.

        Notes
        -----
        After one copy that the server had not acknowledged, an RST proves that
        the request was not run.  After two copies the first may have run
        before a restart.  After an ACK the server has forgotten what it knew.
        """
        self._counters.resets += 1
        self._sending.finish(exchange, now, answered=False)
        if exchange.is_feed:
            return [FeedEnded(exchange.owner, ResultCode.NO_SERVER)]
        state = RequestState.UNKNOWN
        if exchange.copies == 1 and not exchange.acknowledged:
            state = RequestState.NOT_RUN
        effects: Effects = [Failed(exchange.owner, state, ResultCode.NO_SERVER)]
        if exchange.acknowledged:
            effects.extend(self._sending.restarted(now))
        return effects

    def _take_response(
        self, message: Message, now: float, source: int
    ) -> Effects:
        exchange = self._exchanges.by_token(message.token, source)
        if exchange is None:
            return self._take_stray(message, source)
        if message.mtype is coap.ACK:
            if message.mid != exchange.message_id:
                # A late answer to an earlier registration of the feed.
                self._counters.duplicates += 1
                return []
        effects: Effects = _acknowledge(message, source)
        if exchange.is_feed:
            return effects + self._take_notification(exchange, message, now)
        self._sending.finish(exchange, now, answered=True)
        latency = now - exchange.sent_at
        return [*effects, Responded(exchange.owner, message, latency)]

    def _take_stray(self, message: Message, source: int) -> Effects:
        answered = self._exchanges.was_answered(message.token)
        if answered:
            # Our ACK was lost; an RST here would look like a refusal.
            self._counters.duplicates += 1
            return _acknowledge(message, source)
        if answered is None:
            self._counters.unknown_tokens += 1
        else:
            self._counters.late += 1
        return _reject(message, source)

    def _take_notification(
        self, feed: Exchange, message: Message, now: float
    ) -> Effects:
        number = message.opt.observe
        if number is None or not message.code.is_successful():
            self._sending.finish(feed, now, answered=True)
            return [FeedEnded(feed.owner, ResultCode.OK, message)]
        if _has_fallen_back(feed, message):
            return self._sending.restarted(now)
        if _is_old(feed, number, now):
            self._counters.duplicates += 1
            return []
        feed.observe = number
        feed.observed_at = now
        feed.settled = True
        feed.acknowledged = True
        self._exchanges.heard(feed)
        self._sending.timers.start(
            feed.number, now + self._refresh_time(message)
        )
        return [FeedUpdate(feed.owner, message)]

    def _refresh_time(self, message: Message) -> float:
        max_age = message.opt.max_age
        if max_age is None:
            max_age = _DEFAULT_MAX_AGE
        longest = min(float(max_age), self._sending.limits.refresh_after)
        spread = 1 + self._sending.rng.random() * RANDOM_FACTOR
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


def _has_fallen_back(feed: Exchange, message: Message) -> bool:
    """Whether the answer to a refresh shows that the server began anew."""
    if message.mtype is not coap.ACK or feed.refresh_floor is None:
        return False
    number = message.opt.observe
    return number != feed.refresh_floor and not is_newer(
        number, feed.refresh_floor
    )


def _is_old(feed: Exchange, number: int, now: float) -> bool:
    if feed.observe is None or now - feed.observed_at > FRESH_AFTER:
        return False
    if number == feed.observe and not feed.settled:
        # The answer to a refresh may repeat the present number.
        return False
    return not is_newer(number, feed.observe)
