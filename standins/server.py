"""A backend server on one UDP socket: takes requests, answers, notifies."""

import asyncio
import contextlib
import functools
import json
import sys
import zlib
from collections.abc import Iterator

import aiocoap
import attrs
from absl import logging
from aiocoap.message import Message

from redwingstream.endpoints import Endpoint
from redwingstream.errors import ResultCode, WireError
from redwingstream.wire import coap
from redwingstream.wire.datagrams import DatagramSocket, open_datagrams
from standins.feeds import Feeds
from standins.jobs import COME_BACK, SEPARATE_AFTER, Jobs
from standins.reliable import Duplicates, ReliableSender, Target
from standins.resources import FEED_PATHS, Load, LoadState, Resources
from standins.work import Admission, Limits

TICK_PERIOD = 0.1

_HEALTH = ('.well-known', 'health')
_LOAD = ('load',)
_TURN_COLD = ('.standin', 'cold')


@attrs.define
class Counters:
    """What came in since the start."""

    requests: int = 0
    taken: int = 0
    repeated: int = 0
    malformed: int = 0


class Backend:
    """A backend server on one UDP socket.

    Parameters
    ----------
    resources : Resources
        What it answers.
    limits : Limits
        What it bears.
    feed_period : float
        Seconds between two notifications.
    exit_on_fall : bool
        True ends the process when it falls over.
    """

    def __init__(
        self,
        resources: Resources,
        limits: Limits,
        feed_period: float = 1.0,
        *,
        exit_on_fall: bool = False,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.jobs = Jobs(resources, limits)
        self.load = Load()
        self.counters = Counters()
        self._exit_on_fall = exit_on_fall
        self._duplicates = Duplicates()
        self._socket: DatagramSocket | None = None
        seed = zlib.crc32(resources.host.encode())
        self._sender = ReliableSender(self._send, seed)
        self.feeds = Feeds(resources.host, self._sender, feed_period)

    @contextlib.contextmanager
    def open(self, endpoint: Endpoint) -> Iterator[Endpoint]:
        """Serve on an endpoint until the block ends; yields the real one."""
        with (
            open_datagrams(endpoint, self.take) as opened,
            contextlib.closing(self._sender),
        ):
            self._socket = opened
            ticking = asyncio.create_task(self._tick())
            try:
                yield opened.endpoint
            finally:
                ticking.cancel()
                self.jobs.stop()

    async def drain(self, feed_seconds: float) -> None:
        """Take no new work; wait for what runs, and a while for feeds.

        Feeds that are left then are ended by a last notification.
        """
        self.jobs.work.draining = True
        end = self._loop.time() + feed_seconds
        while self.jobs.count:
            await asyncio.sleep(TICK_PERIOD)
        while self.feeds.count and self._loop.time() < end:
            await asyncio.sleep(TICK_PERIOD)
        self.feeds.end_all()

    def take(self, payload: bytes, source: Target) -> None:
        """Take one datagram."""
        if self.jobs.work.is_fallen(self._loop.time()):
            return
        try:
            packet = coap.decode(payload)
        except WireError:
            self.counters.malformed += 1
            return
        self._take_packet(packet, source)

    def _take_packet(self, packet: Message, source: Target) -> None:
        if coap.is_request(packet):
            self._take_request(packet, source)
        elif packet.mtype is coap.ACK:
            self._sender.settle(source, packet.mid)
            self.feeds.acknowledged(source, packet.mid)
        elif packet.mtype is coap.RST:
            self._take_reset(source, packet.mid)

    def _take_reset(self, source: Target, message_id: int) -> None:
        self.feeds.rejected(source, message_id)
        if not self._sender.settle(source, message_id):
            self.jobs.cancel((source, message_id))

    def _take_request(self, request: Message, source: Target) -> None:
        now = self._loop.time()
        reply = self._duplicates.reply_of(source, request.mid, now)
        if reply is not None:
            self.counters.repeated += 1
            acknowledgement = coap.empty(coap.ACK, request.mid)
            self._send(reply or coap.encode(acknowledgement), source)
            return
        self.counters.requests += 1
        path = request.opt.uri_path
        if path in {_HEALTH, _LOAD, _TURN_COLD}:
            self._answer(request, source, self._answer_operator(request))
        elif path and path[0] in FEED_PATHS:
            self._answer(request, source, self._answer_feed(request, source))
        else:
            self._start_job(request, source)

    def _answer_operator(self, request: Message) -> Message:
        now = self._loop.time()
        if request.opt.uri_path == _TURN_COLD:
            self.jobs.work.turn_cold(now)
            logging.info('backend: turned cold')
            return coap.reply_to(request, coap.CHANGED)
        told = self.load.tell(self._state(now), now)
        if request.opt.uri_path == _HEALTH and not told.healthy:
            return coap.refusal(request, ResultCode.DRAINING, COME_BACK)
        encoded = json.dumps(attrs.asdict(told)).encode()
        return coap.reply_to(request, coap.CONTENT, encoded)

    def _answer_feed(self, request: Message, source: Target) -> Message:
        if request.code != coap.GET:
            return coap.reply_to(request, aiocoap.METHOD_NOT_ALLOWED)
        if request.opt.observe != coap.OBSERVE_REGISTER:
            self.feeds.remove(source, request.token)
            return self.feeds.state_for(request)
        self.counters.taken += 1
        is_new = not self.feeds.has(source, request.token)
        if is_new and self.jobs.work.draining:
            return self.jobs.refuse(request)
        registered = self.feeds.register(request, source)
        return registered or self.jobs.refuse(request)

    def _start_job(self, request: Message, source: Target) -> None:
        self.counters.taken += 1
        separate = self._loop.call_later(
            SEPARATE_AFTER, self._acknowledge, request, source
        )
        admission = self.jobs.start(
            (source, request.mid),
            request,
            functools.partial(self._finish_job, separate, request, source),
        )
        if admission is Admission.FALLEN:
            separate.cancel()
            logging.warning('backend: fell over, cold and above its limit')
            if self._exit_on_fall:
                sys.exit(ResultCode.OVERLOADED)

    def _finish_job(
        self,
        separate: asyncio.TimerHandle,
        request: Message,
        source: Target,
        response: Message,
    ) -> None:
        separate.cancel()
        self._answer(request, source, response)

    def _acknowledge(self, request: Message, source: Target) -> None:
        if request.mtype is coap.CON:
            self._send(coap.encode(coap.empty(coap.ACK, request.mid)), source)
            request.mtype = coap.NON

    def _answer(
        self, request: Message, source: Target, response: Message
    ) -> None:
        if request.mtype is coap.CON:
            frame = coap.encode(response)
            self._duplicates.store(source, request.mid, frame)
            self._send(frame, source)
            return
        # The ACK went out alone, so the response is an exchange of its own
        # and is repeated until it is acknowledged.
        self._sender.send(response, source)

    def _send(self, frame: bytes, target: Target) -> None:
        if self._socket is not None:
            self._socket.send(frame, target)

    def _state(self, now: float) -> LoadState:
        work = self.jobs.work
        return LoadState(
            healthy=not work.is_fallen(now) and not work.draining,
            running=work.running,
            waiting=work.waiting,
            slots=work.limits.slots,
            feeds=self.feeds.count,
            taken=self.counters.taken,
        )

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_PERIOD)
            now = self._loop.time()
            self.load.note(self._state(now), now)
            if not self.jobs.work.is_fallen(now):
                self.feeds.notify(now)
