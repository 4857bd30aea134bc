"""The sending half of an agent's exchanges with its server."""

import random
from collections.abc import Hashable

from aiocoap.message import Message

from redwingstream.errors import ResultCode
from redwingstream.flows.effects import (
    Failed,
    FeedEnded,
    SendToServer,
    ServerRestarted,
    UpstreamEffect,
)
from redwingstream.flows.exchanges import (
    Exchange,
    Exchanges,
    UpstreamCounters,
    UpstreamLimits,
)
from redwingstream.flows.links import ServerLinks
from redwingstream.flows.timers import Timers
from redwingstream.requests.records import RequestState
from redwingstream.wire import coap

RANDOM_FACTOR = 0.5
"""Spread of the first timeout (``ACK_RANDOM_FACTOR`` of RFC 7252, less 1)."""

HEAD_SIZE = 4
"""Bytes of a CoAP message up to and with its message id."""

_MESSAGE_ID_AT = 2
_TOKEN_SIZE = 8

Effects = list[UpstreamEffect]


class Sending:
    """Sends, repeats, refreshes and gives up exchanges.

    Parameters
    ----------
    rng : random.Random
        Gives tokens, first message ids and the spread of repeats.
    limits : UpstreamLimits
        Bounds and times.
    """

    def __init__(self, rng: random.Random, limits: UpstreamLimits) -> None:
        self.rng = rng
        self.limits = limits
        self.links = ServerLinks(limits.sources, rng)
        self.exchanges = Exchanges()
        self.timers: Timers[int] = Timers()
        self.counters = UpstreamCounters()
        self._serial = 0

    def open(
        self,
        request: Message,
        owner: Hashable,
        now: float,
        deadline: float,
        *,
        is_feed: bool = False,
    ) -> tuple[int | None, Effects]:
        """Hand a request over, unless a bound or its deadline forbids it."""
        why = self._refusal(now, deadline)
        place = None if why else self.links.choose(now)
        if place is None:
            self.counters.refused += 1
            return None, [_not_sent(owner, why, is_feed=is_feed)]
        source, message_id = place
        token = self.rng.randbytes(_TOKEN_SIZE)
        self._serial += 1
        exchange = Exchange(
            number=self._serial,
            owner=owner,
            packet=_rewrite(request, token, message_id, deadline - now),
            token=token,
            message_id=message_id,
            source=source,
            sent_at=now,
            deadline=deadline,
            timeout=self._first_timeout(),
            idempotent=coap.is_idempotent(request),
            is_feed=is_feed,
        )
        self.exchanges.add(exchange)
        self.counters.requests += 1
        self.wait(exchange, now)
        return exchange.number, [SendToServer(exchange.packet, source)]

    def wait(self, exchange: Exchange, now: float) -> None:
        """Set the time of the next repeat, or of the deadline."""
        due = exchange.deadline
        if not exchange.acknowledged:
            if exchange.copies <= self.limits.max_repeats:
                due = min(due, now + exchange.timeout)
        self.timers.start(exchange.number, due)

    def due(self, exchange: Exchange, now: float) -> Effects:
        """Do what the timer of an exchange was set for."""
        if exchange.settled:
            return self.refresh(exchange, now)
        effects: Effects = []
        if not exchange.acknowledged:
            effects.extend(
                self.links.timed_out(exchange.source, exchange.sent_at, now)
            )
        if now >= exchange.deadline:
            return effects + self._time_out(exchange, now)
        return effects + self._repeat(exchange, now)

    def refresh(self, feed: Exchange, now: float) -> Effects:
        """Register a feed again (RFC 7641, section 3.3.1).

        Notes
        -----
        The answer shows that the server still has the feed.  A server that
        has lost it, or a link that has gone silent, would else look the same
        as a feed on which nothing happens.
        """
        message_id = self.links.take_message_id(feed.source, now)
        if message_id is None:
            self.timers.start(feed.number, now + self.limits.refresh_after)
            return []
        self.exchanges.rename(feed, message_id)
        request = coap.decode(feed.packet)
        request.mid = message_id
        feed.packet = coap.encode(request)
        feed.refresh_floor = feed.observe
        feed.settled = False
        feed.acknowledged = False
        feed.copies = 1
        feed.sent_at = now
        feed.deadline = now + self.limits.refresh_timeout
        feed.timeout = self._first_timeout()
        self.wait(feed, now)
        # Behind the others, so that the next check takes another feed.
        self.exchanges.heard(feed)
        return [SendToServer(feed.packet, feed.source)]

    def close_feed(self, feed: Exchange, now: float) -> Effects:
        """Deregister a feed (RFC 7641, section 3.6).

        Notes
        -----
        The deregistration is sent once.  If it is lost, the next notification
        is rejected for its token, which ends the feed as well.
        """
        message_id = self.links.take_message_id(feed.source, now)
        self.finish(feed, now, answered=False)
        if message_id is None:
            return []
        goodbye = coap.decode(feed.packet)
        goodbye.mid = message_id
        goodbye.mtype = coap.NON
        goodbye.opt.observe = coap.OBSERVE_CANCEL
        return [SendToServer(coap.encode(goodbye), feed.source)]

    def restarted(self, now: float) -> Effects:
        """End every feed: the server has started anew and knows none."""
        self.counters.restarts += 1
        effects: Effects = [ServerRestarted()]
        for feed in self.exchanges.feeds():
            effects.extend(self.end_feed(feed, now, ResultCode.NO_SERVER))
        return effects

    def give_up(
        self, exchange: Exchange, now: float, why: ResultCode
    ) -> Effects:
        """Cancel at the server; it may have run.

        Notes
        -----
        CoAP has no message to cancel an exchange.  An RST with the message id
        of the request is what comes nearest: its sender wants no more of it.
        """
        self.finish(exchange, now, answered=False)
        cancellation = coap.encode(coap.empty(coap.RST, exchange.message_id))
        return [
            SendToServer(cancellation, exchange.source),
            Failed(exchange.owner, RequestState.UNKNOWN, why),
        ]

    def undelivered(self, packet: bytes, source: int, now: float) -> Effects:
        """End the request that the host could not deliver.

        Notes
        -----
        No process had the packet, so it was not run, if it is the only copy.
        Idempotent requests are repeated instead: the server may be back soon.
        """
        message_id = int.from_bytes(packet[_MESSAGE_ID_AT:HEAD_SIZE], 'big')
        exchange = self.exchanges.by_message_id(message_id, source)
        if len(packet) < HEAD_SIZE or exchange is None or exchange.is_feed:
            return []
        was_seen = exchange.acknowledged or exchange.copies > 1
        if was_seen or exchange.packet[:HEAD_SIZE] != packet[:HEAD_SIZE]:
            return []
        if self._may_repeat(exchange):
            return []
        self.finish(exchange, now, answered=False)
        why = ResultCode.NO_SERVER
        return [Failed(exchange.owner, RequestState.NOT_RUN, why)]

    def end_feed(self, feed: Exchange, now: float, why: ResultCode) -> Effects:
        """Forget a feed that the server does not carry any more."""
        self.finish(feed, now, answered=False)
        return [FeedEnded(feed.owner, why)]

    def finish(self, exchange: Exchange, now: float, *, answered: bool) -> None:
        """Forget an exchange but for its token."""
        self.timers.cancel(exchange.number)
        self.exchanges.finish(exchange, now, answered=answered)

    def _refusal(self, now: float, deadline: float) -> ResultCode | None:
        if now >= deadline:
            return ResultCode.DEADLINE_PASSED
        if len(self.exchanges) >= self.limits.max_exchanges:
            return ResultCode.OVERLOADED
        return None

    def _first_timeout(self) -> float:
        spread = 1 + self.rng.random() * RANDOM_FACTOR
        return self.limits.ack_timeout * spread

    def _repeat(self, exchange: Exchange, now: float) -> Effects:
        exchange.timeout *= 2
        exchange.copies += 1
        self.wait(exchange, now)
        if not self._may_repeat(exchange):
            # Only the wait was prolonged: see ``repeat_non_idempotent``.
            exchange.copies = 1
            return []
        self.counters.repeats += 1
        return [SendToServer(exchange.packet, exchange.source)]

    def _may_repeat(self, exchange: Exchange) -> bool:
        return exchange.idempotent or self.limits.repeat_non_idempotent

    def _time_out(self, exchange: Exchange, now: float) -> Effects:
        self.counters.timed_out += 1
        if exchange.is_feed:
            return self.end_feed(exchange, now, ResultCode.TIMED_OUT)
        return self.give_up(exchange, now, ResultCode.DEADLINE_PASSED)


def _rewrite(
    request: Message, token: bytes, message_id: int, remaining: float
) -> bytes:
    """Return the request as the server gets it."""
    outgoing = request.copy(token=token, mid=message_id, mtype=coap.CON)
    coap.set_deadline(outgoing, remaining)
    return coap.encode(outgoing)


def _not_sent(
    owner: Hashable, why: ResultCode | None, *, is_feed: bool
) -> UpstreamEffect:
    code = why or ResultCode.OVERLOADED
    if is_feed:
        return FeedEnded(owner, code)
    return Failed(owner, RequestState.NOT_RUN, code)
