"""Sends requests to an agent's server, and handles their timers."""

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
from redwingstream.flows.server_links import ServerLinks
from redwingstream.flows.timers import Timers
from redwingstream.requests.records import RequestState
from redwingstream.wire import coap

RANDOM_FACTOR = 0.5
"""Spread of the first timeout (``ACK_RANDOM_FACTOR`` of RFC 7252, less 1)."""

HEADER_SIZE = 4
"""Size in bytes of the CoAP header, which ends with the message id."""

_MESSAGE_ID_OFFSET = 2
_TOKEN_SIZE = 8

Effects = list[UpstreamEffect]


class RequestSender:
    """Sends, retransmits, refreshes and cancels exchanges with the server.

    It holds the exchanges, sockets, timers and counters, which the
    :class:`~redwingstream.flows.packet_receiver.PacketReceiver` shares.

    Parameters
    ----------
    rng : random.Random
        Random generator for tokens, first message ids and timeouts.
    limits : UpstreamLimits
        Limits and timeouts.
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
        """Send a request, unless a limit or its deadline prevents that."""
        reason = self._refusal(now, deadline)
        chosen = None if reason else self.links.choose(now)
        if chosen is None:
            self.counters.refused += 1
            return None, [_not_sent_effect(owner, reason, is_feed=is_feed)]
        source, message_id = chosen
        token = self.rng.randbytes(_TOKEN_SIZE)
        self._serial += 1
        exchange = Exchange(
            number=self._serial,
            owner=owner,
            packet=_encode_for_server(
                request, token, message_id, deadline - now
            ),
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
        self.schedule_timer(exchange, now)
        return exchange.number, [SendToServer(exchange.packet, source)]

    def schedule_timer(self, exchange: Exchange, now: float) -> None:
        """Set the timer of the next retransmission, or of the deadline."""
        due = exchange.deadline
        if not exchange.acknowledged:
            if exchange.copies <= self.limits.max_repeats:
                due = min(due, now + exchange.timeout)
        self.timers.start(exchange.number, due)

    def handle_timer(self, exchange: Exchange, now: float) -> Effects:
        """Handle the timer of an exchange: refresh, retransmit or end it."""
        if exchange.registered:
            return self.refresh(exchange, now)
        effects: Effects = []
        if not exchange.acknowledged:
            effects.extend(
                self.links.record_timeout(
                    exchange.source, exchange.sent_at, now
                )
            )
        if now >= exchange.deadline:
            return effects + self._time_out(exchange, now)
        return effects + self._repeat(exchange, now)

    def refresh(self, feed: Exchange, now: float) -> Effects:
        """Register a feed again (RFC 7641, section 3.3.1).

        Notes
        -----
        The answer shows that the server still has the feed.  Otherwise a
        server that has lost it, or a socket that no longer receives, could not
        be told from a feed whose resource does not change.
        """
        message_id = self.links.allocate_message_id(feed.source, now)
        if message_id is None:
            self.timers.start(feed.number, now + self.limits.refresh_after)
            return []
        self.exchanges.set_message_id(feed, message_id)
        request = coap.decode(feed.packet)
        request.mid = message_id
        feed.packet = coap.encode(request)
        feed.refresh_floor = feed.observe
        feed.registered = False
        feed.acknowledged = False
        feed.copies = 1
        feed.sent_at = now
        feed.deadline = now + self.limits.refresh_timeout
        feed.timeout = self._first_timeout()
        self.schedule_timer(feed, now)
        # Moved behind the others, so that the next check takes another feed.
        self.exchanges.move_to_end(feed)
        return [SendToServer(feed.packet, feed.source)]

    def close_feed(self, feed: Exchange, now: float) -> Effects:
        """Deregister a feed (RFC 7641, section 3.6).

        Notes
        -----
        The deregistration is sent once.  If it is lost, the next notification
        is rejected with an RST for its unknown token, which also ends the
        feed.
        """
        message_id = self.links.allocate_message_id(feed.source, now)
        self.finish(feed, now, answered=False)
        if message_id is None:
            return []
        deregistration = coap.decode(feed.packet)
        deregistration.mid = message_id
        deregistration.mtype = coap.NON
        deregistration.opt.observe = coap.OBSERVE_CANCEL
        return [SendToServer(coap.encode(deregistration), feed.source)]

    def handle_restart(self, now: float) -> Effects:
        """End every feed, because a restarted server has lost them."""
        self.counters.restarts += 1
        effects: Effects = [ServerRestarted()]
        for feed in self.exchanges.feeds():
            effects.extend(self.end_feed(feed, now, ResultCode.NO_SERVER))
        return effects

    def give_up(
        self, exchange: Exchange, now: float, reason: ResultCode
    ) -> Effects:
        """Cancel a request, which the server may already have run.

        Notes
        -----
        CoAP has no message that cancels an exchange.  An RST with the message
        id of the request is closest: its sender no longer wants an answer.
        """
        self.finish(exchange, now, answered=False)
        cancellation = coap.encode(coap.empty(coap.RST, exchange.message_id))
        return [
            SendToServer(cancellation, exchange.source),
            Failed(exchange.owner, RequestState.UNKNOWN, reason),
        ]

    def handle_undelivered(
        self, packet: bytes, source: int, now: float
    ) -> Effects:
        """End the request whose packet could not be delivered.

        Notes
        -----
        No process received the packet, so the request was not run if this was
        its only copy.  Idempotent requests are retransmitted instead, because
        the server may be back soon.
        """
        message_id = int.from_bytes(
            packet[_MESSAGE_ID_OFFSET:HEADER_SIZE], 'big'
        )
        exchange = self.exchanges.find_by_message_id(message_id, source)
        if len(packet) < HEADER_SIZE or exchange is None or exchange.is_feed:
            return []
        was_seen = exchange.acknowledged or exchange.copies > 1
        if was_seen or exchange.packet[:HEADER_SIZE] != packet[:HEADER_SIZE]:
            return []
        if self._may_repeat(exchange):
            return []
        self.finish(exchange, now, answered=False)
        reason = ResultCode.NO_SERVER
        return [Failed(exchange.owner, RequestState.NOT_RUN, reason)]

    def end_feed(
        self, feed: Exchange, now: float, reason: ResultCode
    ) -> Effects:
        """Remove a feed that the server no longer serves."""
        self.finish(feed, now, answered=False)
        return [FeedEnded(feed.owner, reason)]

    def finish(self, exchange: Exchange, now: float, *, answered: bool) -> None:
        """Remove an exchange, but remember its token."""
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
        self.schedule_timer(exchange, now)
        if not self._may_repeat(exchange):
            # Only the timer was extended; see ``repeat_non_idempotent``.
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


def _encode_for_server(
    request: Message, token: bytes, message_id: int, remaining: float
) -> bytes:
    """Return the packet for the server, with the remaining time in it."""
    outgoing = request.copy(token=token, mid=message_id, mtype=coap.CON)
    coap.set_deadline(outgoing, remaining)
    return coap.encode(outgoing)


def _not_sent_effect(
    owner: Hashable, reason: ResultCode | None, *, is_feed: bool
) -> UpstreamEffect:
    code = reason or ResultCode.OVERLOADED
    if is_feed:
        return FeedEnded(owner, code)
    return Failed(owner, RequestState.NOT_RUN, code)
