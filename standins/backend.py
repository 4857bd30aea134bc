"""Stand-in for a backend server: CoAP over UDP with a bounded load.

Resources: ``GET /feed`` and ``/board`` with Observe, ``POST /readings`` and
``/reservations`` (not idempotent), ``GET /reports/...`` (Block2),
``/.well-known/health`` and ``/load``, ``POST /.standin/cold`` (turns cold
without a restart).

A request is run at most once for each message (RFC 7252, section 4.5).  The
effect of a submission takes place when it starts to run.
"""

import argparse
import asyncio
import contextlib
import functools
import json
import pathlib
import sys
from collections.abc import Iterator, Sequence

import aiocoap
import attrs
from absl import logging
from aiocoap.message import Message

from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import ResultCode, WireError
from redwingstream.wire import coap
from redwingstream.wire.datagrams import DatagramSocket, open_datagrams
from standins import processes
from standins.feeds import Feeds
from standins.reliable import Duplicates, ReliableSender, Target
from standins.resources import FEED_PATHS, Load, Resources, RunCounter
from standins.work import Admission, Limits, Work

SEPARATE_AFTER = 1.0
COME_BACK = 1
NOTE_PERIOD = 0.1
DRAIN_POLL = 0.05

_HEALTH = ('.well-known', 'health')
_LOAD = ('load',)
_TURN_COLD = ('.standin', 'cold')


@attrs.define
class Counters:
    """What a backend server did since it started."""

    requests: int = 0
    runs: int = 0
    shed: int = 0
    repeated: int = 0
    cancelled: int = 0
    late: int = 0
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
        loop = asyncio.get_running_loop()
        self.work = Work(limits, loop.time())
        self.load = Load()
        self.counters = Counters()
        self._resources = resources
        self._exit_on_fall = exit_on_fall
        self._time = loop.time
        self._duplicates = Duplicates()
        self._socket: DatagramSocket | None = None
        self._slot_free = asyncio.Condition()
        self._task_by_exchange: dict[
            tuple[Target, int], asyncio.Task[None]
        ] = {}
        self._sender = ReliableSender(self._send, hash_seed(resources.host))
        self.feeds = Feeds(resources.host, self._sender, feed_period)

    @contextlib.contextmanager
    def open(self, endpoint: Endpoint) -> Iterator[Endpoint]:
        """Serve on an endpoint until the block ends; yields the real one."""
        with open_datagrams(endpoint, self.take) as opened:
            self._socket = opened
            ticking = asyncio.create_task(self._tick())
            try:
                yield opened.endpoint
            finally:
                ticking.cancel()
                for task in list(self._task_by_exchange.values()):
                    task.cancel()
                self._sender.close()

    async def drain(self, feed_seconds: float) -> None:
        """Take no new work; wait for what runs, and a while for feeds."""
        self.work.draining = True
        end = self._time() + feed_seconds
        while self._task_by_exchange:
            await asyncio.sleep(DRAIN_POLL)
        while self.feeds.count and self._time() < end:
            await asyncio.sleep(DRAIN_POLL)

    def take(self, payload: bytes, source: Target) -> None:
        """Take one datagram."""
        if self.work.is_fallen(self._time()):
            return
        try:
            packet = coap.decode(payload)
        except WireError:
            self.counters.malformed += 1
            return
        if coap.is_request(packet):
            self._take_request(packet, source)
        elif packet.mtype in {coap.ACK, coap.RST}:
            self._take_settled(packet, source)

    def _take_settled(self, packet: Message, source: Target) -> None:
        pending = self._sender.settle(source, packet.mid)
        if packet.mtype is coap.ACK:
            self.feeds.acknowledged(source, packet.mid)
            return
        self.feeds.rejected(source, packet.mid)
        task = self._task_by_exchange.pop((source, packet.mid), None)
        if task is not None and not pending:
            self.counters.cancelled += 1
            task.cancel()

    def _take_request(self, request: Message, source: Target) -> None:
        reply = self._duplicates.reply_of(source, request.mid, self._time())
        if reply is not None:
            self.counters.repeated += 1
            acknowledgement = coap.empty(coap.ACK, request.mid)
            self._send(reply or coap.encode(acknowledgement), source)
            return
        self.counters.requests += 1
        path = request.opt.uri_path
        if path in {_HEALTH, _LOAD, _TURN_COLD}:
            self._answer(request, source, self._report_state(request))
        elif path and path[0] in FEED_PATHS:
            self._take_feed(request, source)
        else:
            self._take_work(request, source)

    def _report_state(self, request: Message) -> Message:
        now = self._time()
        if request.opt.uri_path == _TURN_COLD:
            self.work.turn_cold(now)
            logging.info('backend: turned cold')
            return coap.reply_to(request, coap.CHANGED)
        state = self.load.answer(self.work, self.feeds.count, now)
        if request.opt.uri_path == _HEALTH and not state['healthy']:
            return coap.refusal(request, ResultCode.DRAINING, COME_BACK)
        return coap.reply_to(request, coap.CONTENT, json.dumps(state).encode())

    def _take_feed(self, request: Message, source: Target) -> None:
        if request.code != coap.GET:
            response = coap.reply_to(request, aiocoap.METHOD_NOT_ALLOWED)
        elif request.opt.observe == coap.OBSERVE_REGISTER:
            response = self._register(request, source)
        else:
            self.feeds.remove(source, request.token)
            response = self.feeds.state_for(request)
        self._answer(request, source, response)

    def _register(self, request: Message, source: Target) -> Message:
        if self.work.draining and not self.feeds.has(source, request.token):
            return self._shed(request, ResultCode.DRAINING)
        registered = self.feeds.register(request, source)
        return registered or self._shed(request, ResultCode.OVERLOADED)

    def _take_work(self, request: Message, source: Target) -> None:
        now = self._time()
        deadline = coap.deadline_of(request)
        admission = self.work.admit(now)
        match admission:
            case Admission.FALLEN:
                self._fall()
            case Admission.SHED:
                reason = ResultCode.OVERLOADED
                if self.work.draining:
                    reason = ResultCode.DRAINING
                self._answer(request, source, self._shed(request, reason))
            case _:
                must_wait = admission is Admission.WAIT
                running = self._run(request, source, deadline, must_wait)
                task = asyncio.create_task(running)
                exchange = (source, request.mid)
                self._task_by_exchange[exchange] = task
                task.add_done_callback(
                    functools.partial(self._forget_task, exchange)
                )

    def _forget_task(
        self, exchange: tuple[Target, int], task: asyncio.Task[None]
    ) -> None:
        if self._task_by_exchange.get(exchange) is task:
            self._task_by_exchange.pop(exchange)

    async def _run(
        self,
        request: Message,
        source: Target,
        deadline: float | None,
        must_wait: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        separate = loop.call_later(
            SEPARATE_AFTER, self._acknowledge, request, source
        )
        try:
            response = await self._response(request, deadline, must_wait)
        finally:
            separate.cancel()
        self._answer(request, source, response)

    async def _response(
        self, request: Message, deadline: float | None, must_wait: bool
    ) -> Message:
        if must_wait and not await self._has_slot(deadline):
            self.counters.late += 1
            return self._shed(request, ResultCode.DEADLINE_PASSED)
        try:
            self.counters.runs += 1
            response = self._resources.answer(request)
            await asyncio.sleep(self.work.service_time(self._time()))
        finally:
            self.work.finish()
            await self._tell_waiting()
        return response

    async def _has_slot(self, deadline: float | None) -> bool:
        try:
            async with asyncio.timeout(deadline), self._slot_free:
                await self._slot_free.wait_for(self._is_slot_free)
        except TimeoutError:
            self.work.give_up_waiting()
            return False
        except asyncio.CancelledError:
            self.work.give_up_waiting()
            raise
        self.work.start_waiting()
        return True

    def _is_slot_free(self) -> bool:
        return self.work.running < self.work.limits.slots

    async def _tell_waiting(self) -> None:
        async with self._slot_free:
            self._slot_free.notify()

    def _shed(self, request: Message, reason: ResultCode) -> Message:
        self.counters.shed += 1
        return coap.refusal(request, reason, COME_BACK)

    def _acknowledge(self, request: Message, source: Target) -> None:
        if request.mtype is coap.CON:
            self._send(coap.encode(coap.empty(coap.ACK, request.mid)), source)
            request.mtype = coap.NON

    def _answer(
        self, request: Message, source: Target, response: Message
    ) -> None:
        if request.mtype is not coap.CON:
            # The ACK went out alone, so the response is an exchange of its
            # own and is repeated until it is acknowledged.
            response.token = request.token
            self._sender.send(response, source)
            return
        frame = coap.encode(response)
        self._duplicates.store(source, request.mid, frame)
        self._send(frame, source)

    def _send(self, frame: bytes, target: Target) -> None:
        if self._socket is not None:
            self._socket.send(frame, target)

    def _fall(self) -> None:
        logging.warning('backend: fell over, more than it bears while cold')
        for task in list(self._task_by_exchange.values()):
            task.cancel()
        if self._exit_on_fall:
            sys.exit(ResultCode.OVERLOADED)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(NOTE_PERIOD)
            now = self._time()
            self.load.note(self.work, self.feeds.count, now)
            if not self.work.is_fallen(now):
                self.feeds.notify(now)


def hash_seed(name: str) -> int:
    """Return a seed that follows from a name."""
    return int.from_bytes(name.encode()[-8:], 'big')


def read_flags(arguments: Sequence[str] | None = None) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog='standins.backend')
    parser.add_argument('--host', required=True)
    parser.add_argument(
        '--endpoint', type=parse_endpoint, required=True, metavar='IP:PORT'
    )
    parser.add_argument('--runs-file', type=pathlib.Path)
    parser.add_argument('--report-size', type=int, default=40000)
    parser.add_argument('--feed-period', type=float, default=1.0)
    parser.add_argument('--drain-seconds', type=float, default=5.0)
    parser.add_argument('--exit-on-fall', action='store_true')
    parser.add_argument('--load-lag', type=float, default=0)
    parser.add_argument('--load-lies', action='store_true')
    for limit in attrs.fields(Limits):
        flag = '--{0}'.format(limit.name.replace('_', '-'))
        parser.add_argument(flag, type=limit.type, default=limit.default)
    return parser.parse_args(arguments)


async def run(flags: argparse.Namespace) -> None:
    """Serve until the process is asked to end, then drain."""
    names = [field.name for field in attrs.fields(Limits)]
    limits = Limits(**{name: getattr(flags, name) for name in names})
    runs = RunCounter(flags.runs_file)
    resources = Resources(flags.host, runs, flags.report_size)
    backend = Backend(
        resources,
        limits,
        flags.feed_period,
        exit_on_fall=flags.exit_on_fall,
    )
    backend.load.lag = flags.load_lag
    backend.load.lies = flags.load_lies
    with backend.open(flags.endpoint):
        logging.info('backend: ready')
        await processes.wait_for_end()
        await backend.drain(flags.drain_seconds)
    logging.info('backend: %s', backend.counters)


if __name__ == '__main__':
    processes.set_up_logs()
    asyncio.run(run(read_flags()))
