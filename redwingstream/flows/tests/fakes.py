"""A fake backend server, caller and agent for tests in one process."""

import random

import attrs
from aiocoap.message import Message

from redwingstream.flows import effects
from redwingstream.flows.exchanges import UpstreamLimits
from redwingstream.flows.feeds import FeedCarrier
from redwingstream.flows.message_ids import EXCHANGE_LIFETIME
from redwingstream.flows.observe import FRESH_AFTER, is_newer
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.flows.return_paths import ReturnPaths
from redwingstream.flows.upstream import Upstream
from redwingstream.wire import coap

CALLER = '10.0.0.9:4000'
SERVICE = '10.1.0.1:5683'
TOKEN = b'feed'
KEY = FlowKey(CALLER, SERVICE, TOKEN)


def request(
    code: coap.aiocoap.Code = coap.GET,
    message_id: int = 1,
    token: bytes = TOKEN,
    observe: int | None = None,
    payload: bytes = b'',
) -> Message:
    """Build a caller's confirmable request."""
    built = Message(code=code, payload=payload)
    _set_header(built, message_id, token)
    built.opt.uri_path = ('growth', 'field-7')
    built.opt.observe = observe
    return built


def response(token: bytes, message_id: int, payload: bytes = b'1') -> Message:
    """Build a server's separate confirmable response."""
    built = Message(code=coap.CONTENT, payload=payload)
    _set_header(built, message_id, token)
    return built


def _set_header(message: Message, message_id: int, token: bytes) -> None:
    message.mtype = coap.CON
    message.mid = message_id
    message.token = token


REGISTRATION = coap.encode(request(observe=coap.OBSERVE_REGISTER))


def record(carrier: str, generation: int = 0, key: FlowKey = KEY) -> FlowRecord:
    """Build the record of a feed."""
    return FlowRecord(key, carrier, generation, REGISTRATION)


@attrs.define
class FakeServer:
    """Answers GET and POST, stores observers, and loses all on a restart."""

    reading: int = 1
    number: int = 1
    next_id: int = 100
    runs: list[bytes] = attrs.Factory(list)
    cancelled: list[int] = attrs.Factory(list)
    source_by_token: dict[bytes, int] = attrs.Factory(dict)
    answer_by_id: dict[tuple[int, int], bytes] = attrs.Factory(dict)
    token_by_id: dict[int, bytes] = attrs.Factory(dict)

    def receive(self, packet: bytes, source: int) -> list[bytes]:
        """Handle a packet; return the packets that answer it."""
        message = coap.decode(packet)
        if message.code is coap.EMPTY:
            return self._empty(message)
        name = (source, message.mid)
        if name not in self.answer_by_id:
            self.answer_by_id[name] = coap.encode(self._run(message, source))
        return [self.answer_by_id[name]]

    def publish(self, reading: int) -> list[tuple[bytes, int]]:
        """Return the notifications of a new reading, with their sockets."""
        self.reading = reading
        self.number += 1
        notifications = []
        for token, source in self.source_by_token.items():
            self.next_id += 1
            self.token_by_id[self.next_id] = token
            update = response(token, self.next_id, str(reading).encode())
            update.opt.observe = self.number
            notifications.append((coap.encode(update), source))
        return notifications

    def restart(self) -> None:
        """Lose all state but the current reading."""
        self.source_by_token.clear()
        self.answer_by_id.clear()
        self.number = 0

    def _empty(self, message: Message) -> list[bytes]:
        if message.mtype is coap.CON:
            return [coap.encode(coap.empty(coap.RST, message.mid))]
        if message.mtype is coap.RST:
            self.cancelled.append(message.mid)
            token = self.token_by_id.get(message.mid)
            self.source_by_token.pop(token, None)
        return []

    def _run(self, message: Message, source: int) -> Message:
        if not coap.is_idempotent(message):
            self.runs.append(message.payload)
        answer = coap.reply_to(message, coap.CONTENT)
        answer.payload = message.payload or str(self.reading).encode()
        if message.opt.observe == coap.OBSERVE_REGISTER:
            self.source_by_token[message.token] = source
            answer.opt.observe = self.number
        elif message.opt.observe == coap.OBSERVE_CANCEL:
            self.source_by_token.pop(message.token, None)
        return answer


@attrs.define
class FakeCaller:
    """Handles notifications as RFC 7641 requires, and acknowledges them."""

    shown: list[tuple[int, int]] = attrs.Factory(list)
    final: list[Message] = attrs.Factory(list)
    shown_at: float = 0
    seen_by_id: dict[int, float] = attrs.Factory(dict)

    def receive(self, packet: bytes, now: float) -> bytes | None:
        """Show a newer reading; return the ACK."""
        message = coap.decode(packet)
        if message.code is coap.EMPTY:
            return None
        assert message.token == TOKEN
        seen = self.seen_by_id.get(message.mid)
        if seen is None or now - seen > EXCHANGE_LIFETIME:
            self.seen_by_id[message.mid] = now
            self._handle_notification(message, now)
        if message.mtype is coap.CON:
            return coap.encode(coap.empty(coap.ACK, message.mid))
        return None

    def _handle_notification(self, message: Message, now: float) -> None:
        number = message.opt.observe
        if number is None:
            self.final.append(message)
        elif self._is_fresh(number, now):
            self.shown.append((number, int(message.payload)))
            self.shown_at = now

    def _is_fresh(self, number: int, now: float) -> bool:
        if not self.shown or now - self.shown_at > FRESH_AFTER:
            return True
        return is_newer(number, self.shown[-1][0])


class FakeAgent:
    """Carries out effects, and records the packets it sends in lists."""

    def __init__(self, host: str, limits: UpstreamLimits) -> None:
        rng = random.Random(host)
        self.host = host
        self.paths = ReturnPaths()
        self.upstream = Upstream(rng, limits)
        self.carrier = FeedCarrier(host, 'sward-live', self.paths, rng)
        self.room = 10
        self.to_server: list[effects.SendToServer] = []
        self.to_caller: list[effects.SendToCaller] = []
        self.to_home: list[effects.FeedClosed | effects.GenerationWanted] = []
        self.outcomes: list[effects.Responded | effects.Failed] = []

    def poll(self, now: float) -> None:
        """Handle what is due."""
        self.carry_out(self.upstream.poll(now), now)
        self.carry_out(self.carrier.poll(now), now)

    def carry_out(self, wanted: list, now: float) -> None:
        """Carry out effects, and register feeds up to the limit."""
        for effect in wanted:
            self._carry_out_one(effect, now)
        for opened in self.carrier.next_registrations(now, self.room):
            self._carry_out_one(opened, now)

    def _carry_out_one(self, effect: object, now: float) -> None:
        upstream, carrier = self.upstream, self.carrier
        match effect:
            case effects.SendToServer():
                self.to_server.append(effect)
            case effects.SendToCaller():
                self.to_caller.append(effect)
            case effects.OpenFeed(source, wanted):
                opened = upstream.open_feed(wanted, source, now, now + 10)
                self.carry_out(opened[1], now)
            case effects.CloseFeed(source):
                self.carry_out(upstream.close_feed(source, now), now)
            case effects.FeedUpdate(owner, update):
                self.carry_out(
                    carrier.handle_notification(owner, update, now), now
                )
            case effects.FeedEnded(owner, reason, final):
                self.carry_out(
                    carrier.handle_ended(owner, reason, final, now), now
                )
            case effects.FeedClosed() | effects.GenerationWanted():
                self.to_home.append(effect)
            case effects.Responded() | effects.Failed():
                self.outcomes.append(effect)
