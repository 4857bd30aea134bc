"""A fake backend server that counts runs and restarts when overloaded."""

from collections import Counter

import attrs
from aiocoap import NOT_FOUND
from aiocoap.message import Message

from redwingstream.agent.tests.exchange import Exchange, Frame
from redwingstream.wire import coap

RUN_TIME = 0.02
SEPARATE_ACK_SECONDS = 1.0
"""Duration of a run in seconds above which the ACK precedes the answer."""

NOTIFY_INTERVAL = 1.0
BLOCK_SIZE = 6


@attrs.frozen
class ServerPacket:
    """A CoAP packet between agent and server, and the agent's socket."""

    payload: bytes
    source: int


@attrs.define(eq=False)
class _Feed:
    packet: ServerPacket
    agent: str
    request: Message
    number: int


class FakeServer:
    """Runs each request in a slot of its own.

    Parameters
    ----------
    exchange : Exchange
        Network that it sends through.
    address : str
        Its address in the exchange.
    slots : int
        Maximum count of running requests; one more and it restarts.

    Attributes
    ----------
    runs_by_key : Counter
        Runs of non-idempotent requests by payload, over all restarts.
    run_time : float
        Duration of a run in seconds.
    refuse_feeds : bool
        Whether it answers 4.04 to registrations.
    overloads : int
        Count of restarts caused by more requests than slots.
    received : int
        Count of requests received, without repetitions and registrations.
    is_silent : bool
        Whether it receives requests without answering them.
    """

    def __init__(self, exchange: Exchange, address: str, slots: int) -> None:
        self.runs_by_key: Counter[bytes] = Counter()
        self.run_time = RUN_TIME
        self.is_silent = False
        self.refuse_feeds = False
        self.overloads = 0
        self.in_flight = 0
        self.received = 0
        self._exchange = exchange
        self._address = address
        self._slots = slots
        self._boot = 0
        self._answer_by_request: dict[tuple[int, int], bytes] = {}
        self._feeds: dict[tuple[int, bytes], _Feed] = {}
        self._message_id = 0
        self._notify_at = float()
        exchange.process_by_address[address] = self

    def restart(self) -> None:
        """Discard all state but the counts."""
        self._boot += 1
        self.in_flight = 0
        self._answer_by_request.clear()
        self._feeds.clear()
        self._message_id += 1000

    def receive(self, frame: Frame, now: float) -> None:
        """Handle a packet of the agent."""
        packet = frame.payload
        message = coap.decode(packet.payload)
        if coap.is_request(message):
            self._handle_request(message, packet, frame.source)
        elif message.code is coap.EMPTY and message.mtype is coap.CON:
            reset = coap.empty(coap.RST, message.mid)
            self._send(reset, packet.source, frame.source)
        elif message.mtype is coap.RST:
            self._answer_by_request[packet.source, message.mid] = b''

    def tick(self, now: float) -> None:
        """Notify all feeds when the next notification is due."""
        if now < self._notify_at:
            return
        self._notify_at = now + NOTIFY_INTERVAL
        for feed in self._feeds.values():
            feed.number += 1
            self._notify(feed, coap.CON)

    def _handle_request(
        self, request: Message, packet: ServerPacket, agent: str
    ) -> None:
        name = (packet.source, request.mid)
        if name in self._answer_by_request:
            if self._answer_by_request[name]:
                self._send_bytes(
                    self._answer_by_request[name], packet.source, agent
                )
            return
        self._answer_by_request[name] = b''
        if request.opt.observe == coap.OBSERVE_REGISTER:
            if self.refuse_feeds:
                answer = coap.reply_to(request, NOT_FOUND)
                self._send(answer, packet.source, agent)
                return
            feed = _Feed(packet, agent, request, len(self._answer_by_request))
            self._feeds[packet.source, request.token] = feed
            self._notify(feed, coap.ACK)
            return
        if request.opt.observe == coap.OBSERVE_CANCEL:
            self._feeds.pop((packet.source, request.token), None)
        self._start(request, packet, agent)

    def _start(
        self, request: Message, packet: ServerPacket, agent: str
    ) -> None:
        self.in_flight += 1
        self.received += 1
        if self.in_flight > self._slots:
            self.overloads += 1
            self.restart()
            return
        if not coap.is_idempotent(request):
            self.runs_by_key[request.payload] += 1
        run = self._boot
        self._exchange.call_later(
            self.run_time, lambda: self._finish(run, request, packet, agent)
        )
        if self.run_time > SEPARATE_ACK_SECONDS:
            ack = coap.empty(coap.ACK, request.mid)
            self._send(ack, packet.source, agent)

    def _finish(
        self, run: int, request: Message, packet: ServerPacket, agent: str
    ) -> None:
        if run != self._boot:
            return
        self.in_flight -= 1
        answer = coap.reply_to(
            request, coap.CHANGED, b''.join((b'done:', request.payload))
        )
        block = request.opt.block2
        if block is not None:
            is_first = block.block_number == 0
            answer.opt.block2 = (block.block_number, is_first, BLOCK_SIZE)
        if self.run_time > SEPARATE_ACK_SECONDS:
            answer.mtype = coap.CON
            answer.mid = self._next_id()
        self._answer_by_request[packet.source, request.mid] = coap.encode(
            answer
        )
        self._send(answer, packet.source, agent)

    def _notify(self, feed: _Feed, mtype: object) -> None:
        state = f'state {feed.number}'.encode()
        answer = coap.reply_to(feed.request, coap.CONTENT, state)
        if mtype is coap.CON:
            answer.mtype = coap.CON
            answer.mid = self._next_id()
        answer.opt.observe = feed.number
        self._send(answer, feed.packet.source, feed.agent)

    def _next_id(self) -> int:
        self._message_id = (self._message_id + 1) % coap.MESSAGE_ID_LIMIT
        return self._message_id

    def _send(self, message: Message, source: int, agent: str) -> None:
        self._send_bytes(coap.encode(message), source, agent)

    def _send_bytes(self, payload: bytes, source: int, agent: str) -> None:
        if not self.is_silent:
            packet = ServerPacket(payload, source)
            self._exchange.send(self._address, agent, packet)
