"""A caller as a library: CoAP requests, whole answers and feeds."""

import asyncio
import contextlib
import random
from collections.abc import Iterator

import attrs
from aiocoap.message import Message

from redwingstream.endpoints import Endpoint
from redwingstream.errors import WireError
from redwingstream.wire import coap
from redwingstream.wire.datagrams import DatagramSocket, open_datagrams
from standins.blocks import BLOCK_EXPONENT, Blocks, BlockState, Whole
from standins.observation import Observation, State
from standins.outcomes import (
    Answered,
    NoAnswer,
    NotRun,
    Outcome,
    OutcomeCounters,
    outcome_of,
)
from standins.reliable import Duplicates, ReliableSender, Target, Timing

MAX_TRANSMIT_WAIT = 93.0
TOKEN_SIZE = 4
MAX_BLOCKS = 4096
MAX_RESTARTS = 3

RequestName = tuple[Target, bytes]


@attrs.define
class _Waiter:
    """A request that waits for its response."""

    response: asyncio.Future[Message | None]
    message_id: int = -1

    def resolve(self, response: Message | None) -> None:
        """Hand over the response, None when there will be none."""
        if not self.response.done():
            self.response.set_result(response)


class Client:
    """One caller on one UDP socket.

    Parameters
    ----------
    seed : int
        Of tokens, message ids and timeouts.
    timing : Timing, optional
        When to repeat.
    deadline : float, optional
        Seconds to wait for a request that has no deadline of its own.
    """

    def __init__(
        self,
        seed: int,
        timing: Timing | None = None,
        deadline: float | None = None,
    ) -> None:
        self._deadline = deadline
        self.counters = OutcomeCounters()
        self.last_frame = b''
        self._random = random.Random(seed)
        self._sender = ReliableSender(self.send_raw, seed, timing)
        self._duplicates = Duplicates()
        self._socket: DatagramSocket | None = None
        self._waiter_by_name: dict[RequestName, _Waiter] = {}
        self._feed_by_name: dict[RequestName, Observation] = {}

    @contextlib.contextmanager
    def open(self, endpoint: Endpoint) -> Iterator[Endpoint]:
        """Send from an endpoint until the block ends; yields the real one."""
        with open_datagrams(endpoint, self._take) as opened:
            self._socket = opened
            try:
                yield opened.endpoint
            finally:
                self._sender.close()

    async def request(
        self,
        service: Endpoint,
        packet: Message,
        deadline: float | None = None,
    ) -> Outcome:
        """Send one confirmable request and wait for its final answer.

        Parameters
        ----------
        service : Endpoint
            Where to send it.
        packet : Message
            Method, path, options and payload; a token is added if it has
            none.
        deadline : float, optional
            Seconds to wait; it travels in the deadline option, and the
            request is cancelled (RST) when it has passed.
        """
        packet.token = packet.token or self._random.randbytes(TOKEN_SIZE)
        wait = self._deadline if deadline is None else deadline
        if wait is not None:
            coap.set_deadline(packet, wait)
        response = await self._exchange(service.as_pair(), packet, wait)
        outcome = NoAnswer() if response is None else outcome_of(response)
        self.counters.count(outcome)
        self.counters.repeated = self._sender.repeated
        return outcome

    async def request_patiently(
        self, service: Endpoint, packet: Message, attempts: int
    ) -> Outcome:
        """Repeat a request that was not run, each time when it may come back.

        Only *not run* is repeated: it is the one outcome after which a second
        request cannot run the work twice.
        """
        outcome = await self.request(service, packet.copy())
        while isinstance(outcome, NotRun) and attempts > 1:
            attempts -= 1
            await asyncio.sleep(outcome.come_back)
            outcome = await self.request(service, packet.copy())
        return outcome

    async def fetch(
        self, service: Endpoint, path: str, attempts: int = 1
    ) -> Whole | Outcome:
        """Fetch an answer of many blocks whole (RFC 7959).

        A block with another entity tag belongs to another version of the
        answer: the fetch starts afresh.
        """
        restarts = 0
        while restarts < MAX_RESTARTS:
            restarts += 1
            fetched = await self._fetch_once(service, path, attempts)
            if fetched is not None:
                return fetched
        return NoAnswer()

    async def observe(
        self,
        service: Endpoint,
        path: str,
        attempts: int = 1,
        token: bytes = b'',
    ) -> Observation:
        """Register for a feed; the result says if it has ended at once."""
        feed = Observation(token or self._random.randbytes(TOKEN_SIZE))
        self._feed_by_name[service.as_pair(), feed.token] = feed
        packet = request_for(path)
        packet.token = feed.token
        packet.opt.observe = coap.OBSERVE_REGISTER
        outcome = await self.request_patiently(service, packet, attempts)
        if not isinstance(outcome, Answered):
            feed.end(str(outcome))
        return feed

    async def next_state(
        self, feed: Observation, silence: float
    ) -> State | None:
        """Wait for the next fresh state; None when the feed is broken.

        Parameters
        ----------
        feed : Observation
            A registered feed.
        silence : float
            Seconds without a fresh state after which it counts as broken.
        """
        state = await feed.next_state(silence)
        if state is None and not feed.ended:
            feed.end('silent')
            self.counters.broken_feeds += 1
        return state

    async def cancel(
        self, service: Endpoint, path: str, feed: Observation
    ) -> Outcome:
        """Take a registration back."""
        packet = request_for(path)
        packet.token = feed.token
        packet.opt.observe = coap.OBSERVE_CANCEL
        self._feed_by_name.pop((service.as_pair(), feed.token), None)
        return await self.request(service, packet)

    def send_raw(self, frame: bytes, target: Target) -> None:
        """Send bytes as they are, for instance ``last_frame`` once more."""
        if self._socket is not None:
            self._socket.send(frame, target)

    async def _exchange(
        self, target: Target, packet: Message, deadline: float | None
    ) -> Message | None:
        loop = asyncio.get_running_loop()
        waiter = _Waiter(loop.create_future())
        name = (target, packet.token)
        self._waiter_by_name[name] = waiter
        waiter.message_id = self._sender.send(
            packet, target, lambda: waiter.resolve(None)
        )
        self.last_frame = coap.encode(packet)
        try:
            async with asyncio.timeout(deadline or MAX_TRANSMIT_WAIT):
                return await waiter.response
        except TimeoutError:
            reset = coap.empty(coap.RST, waiter.message_id)
            self.send_raw(coap.encode(reset), target)
            return None
        finally:
            self._sender.settle(target, waiter.message_id)
            self._waiter_by_name.pop(name, None)

    async def _fetch_once(
        self, service: Endpoint, path: str, attempts: int
    ) -> Whole | Outcome | None:
        blocks = Blocks()
        while blocks.count < MAX_BLOCKS:
            packet = request_for(path)
            packet.opt.block2 = (blocks.count, False, BLOCK_EXPONENT)
            outcome = await self.request_patiently(service, packet, attempts)
            if not isinstance(outcome, Answered):
                return outcome
            match blocks.take(outcome.response):
                case BlockState.WRONG:
                    return None
                case BlockState.LAST:
                    return blocks.whole()
        return None

    def _take(self, payload: bytes, source: Target) -> None:
        try:
            packet = coap.decode(payload)
        except WireError:
            return
        if packet.mtype is coap.RST:
            self._take_reset(packet, source)
        elif packet.code.is_response():
            self._take_response(packet, source)
        elif packet.mtype is coap.ACK:
            self._sender.settle(source, packet.mid)

    def _take_reset(self, packet: Message, source: Target) -> None:
        self._sender.settle(source, packet.mid)
        for name, waiter in list(self._waiter_by_name.items()):
            if name[0] == source and waiter.message_id == packet.mid:
                waiter.resolve(None)

    def _take_response(self, packet: Message, source: Target) -> None:
        name = (source, packet.token)
        if packet.mtype is coap.ACK:
            self._sender.settle(source, packet.mid)
        elif self._is_repeat(packet, source, name):
            return
        waiter = self._waiter_by_name.get(name)
        if waiter is not None:
            waiter.resolve(packet)
        feed = self._feed_by_name.get(name)
        # A refused registration may be repeated, so it ends no feed.
        is_refused = waiter is not None and not packet.code.is_successful()
        if feed is not None and not is_refused:
            self._notify(feed, packet)

    def _is_repeat(
        self, packet: Message, source: Target, name: RequestName
    ) -> bool:
        known = name in self._waiter_by_name or name in self._feed_by_name
        if packet.mtype is coap.CON:
            # An unknown token gets a reset, which ends a feed that this
            # caller does not know (any more).
            mtype = coap.ACK if known else coap.RST
            frame = coap.encode(coap.empty(mtype, packet.mid))
            self.send_raw(frame, source)
        now = asyncio.get_running_loop().time()
        reply = self._duplicates.reply_of(source, packet.mid, now)
        return reply is not None

    def _notify(self, feed: Observation, packet: Message) -> None:
        now = asyncio.get_running_loop().time()
        if feed.take(packet, now):
            self.counters.notifications += 1
        elif feed.ended:
            self.counters.broken_feeds += 1
        else:
            self.counters.stale += 1


def request_for(path: str) -> Message:
    """Return a GET of a path."""
    return Message(code=coap.GET, uri_path=tuple(path.strip('/').split('/')))


def submission_to(path: str, payload: bytes) -> Message:
    """Return a POST to a path."""
    segments = tuple(path.strip('/').split('/'))
    return Message(code=coap.POST, uri_path=segments, payload=payload)
