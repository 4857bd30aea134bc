"""A fake caller: repeats, acknowledges, checks freshness and answers."""

import random

import attrs
from aiocoap.message import Message

from redwingstream.agent.tests.exchange import Exchange, Frame
from redwingstream.flows.observe import is_newer
from redwingstream.wire import coap

FIRST_REPEAT = 2.0
COPIES = 5
ANSWER_PREFIX = b'done:'
BLOCK_SIZE = 6
FABRIC_NOTICES = 3.0
"""Seconds in which the fabric still sprays packets to a dead balancer."""


@attrs.frozen
class CallerPacket:
    """A datagram between a caller and a balancer."""

    caller: str
    service: str
    payload: bytes


@attrs.define(eq=False)
class SentRequest:
    """A request of the caller and what came of it.

    Parameters
    ----------
    body : bytes
        Its payload; an answer must echo it.
    packet : bytes
        What is repeated.
    answer : Message or None
        The final answer.
    answered_at : float
        When it came, in seconds.
    """

    body: bytes
    packet: bytes
    message_id: int
    token: bytes
    answer: Message | None = None
    answered_at: float = 0

    @property
    def outcome(self) -> str:
        """What the caller was told."""
        if self.answer is None:
            return 'none'
        names = {
            coap.SERVICE_UNAVAILABLE: 'not run',
            coap.GATEWAY_TIMEOUT: 'unknown',
        }
        return names.get(self.answer.code, 'answered')


@attrs.define(eq=False)
class Watched:
    """A feed of the caller.

    Parameters
    ----------
    seen_at : list of float
        When fresh notifications came, in seconds.
    ended : bool
        Whether a final answer has ended it.
    """

    request: SentRequest
    observe: int | None = None
    seen_at: list[float] = attrs.Factory(list)
    ended: bool = False

    def longest_gap(self, until: float) -> float:
        """Return the longest time without a fresh notification."""
        times = [*self.seen_at, until]
        return max(
            (later - earlier for earlier, later in zip(times, times[1:])),
            default=until,
        )


class FakeCaller:
    """One caller's address, with any number of requests and feeds.

    Parameters
    ----------
    exchange : Exchange
        Where it stands.
    address, service : str
        ``IP:PORT`` of both ends.
    balancers : tuple of str
        The fabric sprays over these.
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
        self.watched_by_token: dict[bytes, Watched] = {}
        self._asked_by_token: dict[bytes, SentRequest] = {}
        self._service = service
        self.balancers = balancers
        self._gone_at: dict[str, float] = {}
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
        """Ask for one block of an answer."""
        request = Message(code=coap.GET, payload=body)
        request.opt.block2 = (number, False, BLOCK_SIZE)
        return self._ask(request)

    def watch(self) -> Watched:
        """Register a feed."""
        request = Message(code=coap.GET)
        request.opt.observe = coap.OBSERVE_REGISTER
        asked = self._ask(request)
        watched = Watched(asked)
        self.watched_by_token[asked.token] = watched
        return watched

    def receive(self, frame: Frame, now: float) -> None:
        """Take a packet of the system."""
        message = coap.decode(frame.payload.payload)
        if message.code is coap.EMPTY:
            return
        watched = self.watched_by_token.get(message.token)
        if watched is None:
            self._answered(message, now)
        else:
            self._notified(watched, message, now)
        if message.mtype is coap.CON:
            self.send(coap.encode(coap.empty(coap.ACK, message.mid)))

    def tick(self, now: float) -> None:
        """Do nothing: repeats are timed by the exchange."""

    def send(self, payload: bytes) -> None:
        """Send a packet through some balancer."""
        balancer = self._rng.choice(self._fabric())
        packet = CallerPacket(self.address, self._service, payload)
        self._exchange.send(self.address, balancer, packet)

    def reuse_identifiers(self, asked: SentRequest, body: bytes) -> SentRequest:
        """Use message id and token of a request for another one."""
        message = coap.decode(asked.packet)
        message.payload = body
        again = SentRequest(
            body, coap.encode(message), asked.message_id, asked.token
        )
        self._asked_by_token[asked.token] = again
        self._transmit(again, COPIES, FIRST_REPEAT)
        return again

    def _fabric(self) -> tuple[str, ...]:
        """Return the balancers that the fabric has not found dead yet."""
        living = self._exchange.process_by_address
        for balancer in self.balancers:
            if balancer not in living:
                self._gone_at.setdefault(balancer, self._exchange.now)
        noticed_before = self._exchange.now - FABRIC_NOTICES
        return tuple(
            each
            for each in self.balancers
            if each in living or self._gone_at[each] > noticed_before
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
        asked = SentRequest(request.payload, packet, request.mid, request.token)
        self._asked_by_token[asked.token] = asked
        self._transmit(asked, COPIES, FIRST_REPEAT)
        return asked

    def _transmit(self, asked: SentRequest, copies: int, wait: float) -> None:
        if not copies or asked.answer is not None:
            return
        self.send(asked.packet)
        self._exchange.call_later(
            wait, lambda: self._transmit(asked, copies - 1, 2 * wait)
        )

    def _answered(self, message: Message, now: float) -> None:
        asked = self._asked_by_token.get(message.token)
        if asked is None:
            self.wrong_answers += 1
            return
        if message.code.is_successful():
            if message.payload != ANSWER_PREFIX + asked.body:
                self.wrong_answers += 1
                return
        if asked.answer is None:
            asked.answer = message
            asked.answered_at = now

    def _notified(self, watched: Watched, message: Message, now: float) -> None:
        watched.request.answer = message
        number = message.opt.observe
        if number is None:
            watched.ended = True
            return
        known = watched.observe
        if known is None or is_newer(number, known):
            watched.observe = number
            watched.seen_at.append(now)
