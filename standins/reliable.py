"""Confirmable messages, repeated until acknowledged (RFC 7252, section 4.2)."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable

import attrs
from aiocoap.message import Message

from redwingstream.wire import coap

MAX_PENDING = 8192
MAX_REMEMBERED = 65536
EXCHANGE_LIFETIME = 247.0

Target = tuple[str, int]
Sender = Callable[[bytes, Target], None]
ExchangeKey = tuple[Target, int]


@attrs.frozen
class Timing:
    """Transmission parameters of RFC 7252, section 4.8, in seconds."""

    ack_timeout: float = 2.0
    ack_random_factor: float = 1.5
    max_retransmit: int = 4


@attrs.define
class _Pending:
    """A confirmable message that nobody has acknowledged yet."""

    frame: bytes
    target: Target
    timeout: float
    on_failure: Callable[[], None]
    repeats: int = 0
    timer: asyncio.TimerHandle | None = None


class ReliableSender:
    """Sends confirmable messages and repeats them until they are settled.

    Parameters
    ----------
    send : callable
        Takes the bytes and the target of one datagram.
    seed : int
        Of the first message id and of the random factor of timeouts.
    timing : Timing
        When to repeat.
    """

    def __init__(
        self, send: Sender, seed: int, timing: Timing | None = None
    ) -> None:
        self._send = send
        self._random = random.Random(seed)
        self._timing = timing or Timing()
        self._pending_by_key: dict[ExchangeKey, _Pending] = {}
        self._message_id = self._random.randrange(coap.MESSAGE_ID_LIMIT)
        self.repeated = 0

    def next_message_id(self) -> int:
        """Return a message id that was not used lately."""
        self._message_id = (self._message_id + 1) % coap.MESSAGE_ID_LIMIT
        return self._message_id

    def send(
        self,
        packet: Message,
        target: Target,
        on_failure: Callable[[], None] = bool,
    ) -> int:
        """Send a message with a fresh message id until it is settled.

        Parameters
        ----------
        packet : Message
            Becomes confirmable.
        target : tuple
            Host and port.
        on_failure : callable, optional
            Called when nobody has acknowledged the last repeat.

        Returns
        -------
        int
            The message id; :meth:`settle` takes it.
        """
        packet.mtype = coap.CON
        packet.mid = self.next_message_id()
        factor = self._random.uniform(1, self._timing.ack_random_factor)
        pending = _Pending(
            coap.encode(packet),
            target,
            self._timing.ack_timeout * factor,
            on_failure,
        )
        if len(self._pending_by_key) >= MAX_PENDING:
            self._send(pending.frame, target)
            return packet.mid
        self._pending_by_key[target, packet.mid] = pending
        self._transmit((target, packet.mid), pending)
        return packet.mid

    def settle(self, target: Target, message_id: int) -> bool:
        """Stop repeating a message; return whether it was pending."""
        pending = self._pending_by_key.pop((target, message_id), None)
        if pending is None:
            return False
        if pending.timer is not None:
            pending.timer.cancel()
        return True

    def close(self) -> None:
        """Stop repeating anything."""
        for target, message_id in list(self._pending_by_key):
            self.settle(target, message_id)

    def _transmit(self, key: ExchangeKey, pending: _Pending) -> None:
        self._send(pending.frame, pending.target)
        loop = asyncio.get_running_loop()
        wait = pending.timeout * 2**pending.repeats
        pending.timer = loop.call_later(wait, self._repeat, key)

    def _repeat(self, key: ExchangeKey) -> None:
        pending = self._pending_by_key[key]
        if pending.repeats >= self._timing.max_retransmit:
            self._pending_by_key.pop(key)
            pending.on_failure()
            return
        pending.repeats += 1
        self.repeated += 1
        self._transmit(key, pending)


@attrs.define
class _Seen:
    """A message that came in, and the bytes that answered it."""

    at: float
    reply: bytes = b''


class Duplicates:
    """Message ids seen lately, with the reply to each (RFC 7252, 4.5).

    Notes
    -----
    A repeat of a request must not run it again: the network delivers some
    datagrams twice, and a sender repeats when an ACK was lost.  The memory is
    bounded; the oldest id is forgotten first.
    """

    def __init__(self, limit: int = MAX_REMEMBERED) -> None:
        self._limit = limit
        self._seen_by_key: OrderedDict[ExchangeKey, _Seen] = OrderedDict()

    def reply_of(
        self, source: Target, message_id: int, now: float
    ) -> bytes | None:
        """Return what answered a message; remember it when it is new.

        Returns
        -------
        bytes or None
            None for a new message, empty when its reply is not made yet.
        """
        key = (source, message_id)
        seen = self._seen_by_key.get(key)
        if seen is not None and now - seen.at < EXCHANGE_LIFETIME:
            return seen.reply
        self._seen_by_key.pop(key, None)
        self._seen_by_key[key] = _Seen(now)
        if len(self._seen_by_key) > self._limit:
            self._seen_by_key.popitem(last=False)
        return None

    def store(self, source: Target, message_id: int, reply: bytes) -> None:
        """Remember the reply to a message."""
        seen = self._seen_by_key.get((source, message_id))
        if seen is not None:
            seen.reply = reply
