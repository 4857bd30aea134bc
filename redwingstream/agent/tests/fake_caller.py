"""A fake caller that repeats requests, acknowledges, and checks answers."""

import random

import attrs
from aiocoap.message import Message

from redwingstream.agent.tests.exchange import Exchange, Frame
from redwingstream.flows.observe import is_newer
from redwingstream.wire import coap

FIRST_REPEAT_SECONDS = 2.0
COPIES = 5
ANSWER_PREFIX = b'done:'
BLOCK_SIZE = 6
FABRIC_DETECTION_SECONDS = 3.0
"""Seconds until the fabric stops sending packets to a dead balancer."""


@attrs.frozen
class CallerPacket:
    """A datagram between a caller and a balancer."""

    caller: str
    service: str
    payload: bytes


@attrs.define(eq=False)
class SentRequest:
    """A request of the caller and its outcome.

    Parameters
    ----------
    body : bytes
        Payload of the request; an answer must echo it.
    packet : bytes
        Encoded request, as sent and repeated.
    message_id : int
        Message id of the request.
    token : bytes
        Token of the request.
    answer : Message or None
        Final answer; None while there is none.
    answered_at : float
        Time of the answer in seconds, by the clock of the exchange.
    """

    body: bytes
    packet: bytes
    message_id: int
    token: bytes
    answer: Message | None = None
    answered_at: float = 0

    @property
    def outcome(self) -> str:
        """Outcome as reported to the caller."""
        if self.answer is None:
            return 'none'
        names = {
            coap.SERVICE_UNAVAILABLE: 'not run',
            coap.GATEWAY_TIMEOUT: 'unknown',
        }
        return names.get(self.answer.code, 'answered')


@attrs.define(eq=False)
class WatchedFeed:
    """A feed of the caller.

    Parameters
    ----------
    request : SentRequest
        Registration of the feed.
    observe : int or None
        Highest Observe number received.
    seen_at : list of float
        Times of fresh notifications, in seconds.
    ended : bool
        Whether a final answer has ended the feed.
    """

    request: SentRequest
    observe: int | None = None
    seen_at: list[float] = attrs.Factory(list)
    ended: bool = False

    def longest_gap(self, until: float) -> float:
        """Return the longest time in seconds without a fresh notification."""
        times = [*self.seen_at, until]
        return max(
            (later - earlier for earlier, later in zip(times, times[1:])),
            default=until,
        )


class FakeCaller:
    """A caller with one address and any number of requests and feeds.

    Parameters
    ----------
    exchange : Exchange
        Network that it sends through.
    address, service : str
        ``IP:PORT`` of the caller and of the service that it calls.
    balancers : tuple of str
        Endpoints over which the fabric distributes packets.
    """

    def __init__(
        self,
        exchange: Exchange,
        address: str,
        service: str,
        balancers: tuple[str, ...],
    ) -> None:
        self.address = address
        self.wrong_answers = 0
        self.watched_by_token: dict[bytes, WatchedFeed] = {}
        self._request_by_token: dict[bytes, SentRequest] = {}
        self._service = service
        self.balancers = balancers
        self._missing_at: dict[str, float] = {}
        self._exchange = exchange
        self._rng = random.Random(address)
        self._message_id = self._rng.randrange(coap.MESSAGE_ID_LIMIT)
        exchange.process_by_address[address] = self

    def post(self, body: bytes, deadline: float | None = None) -> SentRequest:
        """Send a non-idempotent request."""
        return self._ask(Message(code=coap.POST, payload=body), deadline)

    def get(self, body: bytes, deadline: float | None = None) -> SentRequest:
        """Send an idempotent request."""
        return self._ask(Message(code=coap.GET, payload=body), deadline)

    def get_block(self, body: bytes, number: int) -> SentRequest:
        """Request one block of an answer."""
        request = Message(code=coap.GET, payload=body)
        request.opt.block2 = (number, False, BLOCK_SIZE)
        return self._ask(request)

    def watch(self) -> WatchedFeed:
        """Register a feed."""
        request = Message(code=coap.GET)
        request.opt.observe = coap.OBSERVE_REGISTER
        sent = self._ask(request)
        watched = WatchedFeed(sent)
        self.watched_by_token[sent.token] = watched
        return watched

    def receive(self, frame: Frame, now: float) -> None:
        """Handle a packet from a balancer."""
        message = coap.decode(frame.payload.payload)
        if message.code is coap.EMPTY:
            return
        watched = self.watched_by_token.get(message.token)
        if watched is None:
            self._handle_answer(message, now)
        else:
            self._handle_notification(watched, message, now)
        if message.mtype is coap.CON:
            self.send(coap.encode(coap.empty(coap.ACK, message.mid)))

    def tick(self, now: float) -> None:
        """Do nothing: repeats are timed by the exchange."""

    def send(self, payload: bytes) -> None:
        """Send a packet through a random balancer."""
        balancer = self._rng.choice(self._fabric_targets())
        packet = CallerPacket(self.address, self._service, payload)
        self._exchange.send(self.address, balancer, packet)

    def reuse_identifiers(self, sent: SentRequest, body: bytes) -> SentRequest:
        """Send a request with the message id and token of an earlier one."""
        message = coap.decode(sent.packet)
        message.payload = body
        again = SentRequest(
            body, coap.encode(message), sent.message_id, sent.token
        )
        self._request_by_token[sent.token] = again
        self._transmit(again, COPIES, FIRST_REPEAT_SECONDS)
        return again

    def _fabric_targets(self) -> tuple[str, ...]:
        """Return the balancers that the fabric does not yet consider dead."""
        living = self._exchange.process_by_address
        for balancer in self.balancers:
            if balancer not in living:
                self._missing_at.setdefault(balancer, self._exchange.now)
        detection_limit = self._exchange.now - FABRIC_DETECTION_SECONDS
        return tuple(
            each
            for each in self.balancers
            if each in living or self._missing_at[each] > detection_limit
        )

    def _ask(
        self, request: Message, deadline: float | None = None
    ) -> SentRequest:
        self._message_id = (self._message_id + 1) % coap.MESSAGE_ID_LIMIT
        request.mtype = coap.CON
        request.mid = self._message_id
        request.token = self._message_id.to_bytes(2, 'big')
        if deadline is not None:
            coap.set_deadline(request, deadline)
        packet = coap.encode(request)
        sent = SentRequest(request.payload, packet, request.mid, request.token)
        self._request_by_token[sent.token] = sent
        self._transmit(sent, COPIES, FIRST_REPEAT_SECONDS)
        return sent

    def _transmit(self, sent: SentRequest, copies: int, wait: float) -> None:
        if not copies or sent.answer is not None:
            return
        self.send(sent.packet)
        self._exchange.call_later(
            wait, lambda: self._transmit(sent, copies - 1, 2 * wait)
        )

    def _handle_answer(self, message: Message, now: float) -> None:
        sent = self._request_by_token.get(message.token)
        if sent is None:
            self.wrong_answers += 1
            return
        if message.code.is_successful():
            if message.payload != ANSWER_PREFIX + sent.body:
                self.wrong_answers += 1
                return
        if sent.answer is None:
            sent.answer = message
            sent.answered_at = now

    def _handle_notification(
        self, watched: WatchedFeed, message: Message, now: float
    ) -> None:
        watched.request.answer = message
        number = message.opt.observe
        if number is None:
            watched.ended = True
            return
        known = watched.observe
        if known is None or is_newer(number, known):
            watched.observe = number
            watched.seen_at.append(now)
