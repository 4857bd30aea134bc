"""Requests that run or wait for a slot at one backend server."""

import asyncio
import functools
from collections import deque
from collections.abc import Callable

import attrs
from aiocoap.message import Message

from redwingstream.errors import ResultCode
from redwingstream.wire import coap
from standins.reliable import ExchangeKey
from standins.resources import Resources
from standins.work import Admission, Limits, Work

COME_BACK = 1
SEPARATE_AFTER = 1.0

Reply = Callable[[Message], None]


@attrs.define(eq=False)
class _Job:
    """One request in hand."""

    request: Message
    reply: Reply
    response: Message | None = None
    end: asyncio.TimerHandle | None = None

    def cancel_timer(self) -> None:
        """Keep the job's timer from going off."""
        if self.end is not None:
            self.end.cancel()


@attrs.define
class JobCounters:
    """What became of the requests since the start."""

    runs: int = 0
    shed: int = 0
    cancelled: int = 0
    late: int = 0


class Jobs:
    """Runs requests within the limits of one backend server.

    Parameters
    ----------
    resources : Resources
        What answers them.
    limits : Limits
        What the server bears.
    """

    def __init__(self, resources: Resources, limits: Limits) -> None:
        self._loop = asyncio.get_running_loop()
        self.work = Work(limits, self._loop.time())
        self.counters = JobCounters()
        self._resources = resources
        self._job_by_exchange: dict[ExchangeKey, _Job] = {}
        self._waiting: deque[ExchangeKey] = deque()

    @property
    def count(self) -> int:
        """How many requests are running or waiting."""
        return len(self._job_by_exchange)

    def start(
        self, exchange: ExchangeKey, request: Message, reply: Reply
    ) -> Admission:
        """Run a request now or later, or refuse it.

        Parameters
        ----------
        exchange : tuple
            Source and message id.
        request : Message
            What to run.
        reply : callable
            Takes the response, unless the job is cancelled.

        Returns
        -------
        Admission
            What was done; ``FALLEN`` means that nothing is answered.
        """
        admission = self.work.admit(self._loop.time())
        match admission:
            case Admission.RUN:
                self._run(exchange, _Job(request, reply))
            case Admission.WAIT:
                self._wait(exchange, _Job(request, reply))
            case Admission.SHED:
                reply(self.refuse(request))
            case Admission.FALLEN:
                self.stop()
        return admission

    def refuse(self, request: Message) -> Message:
        """Return the answer to a request that was not run."""
        self.counters.shed += 1
        draining = self.work.draining
        reason = ResultCode.DRAINING if draining else ResultCode.OVERLOADED
        return coap.refusal(request, reason, COME_BACK)

    def cancel(self, exchange: ExchangeKey) -> None:
        """Give up a request; its caller does not want the answer."""
        if exchange in self._job_by_exchange:
            self.counters.cancelled += 1
            self._release(exchange)

    def stop(self) -> None:
        """Give up everything in hand without an answer."""
        for exchange in list(self._job_by_exchange):
            self._release(exchange, go_on=False)

    def _run(self, exchange: ExchangeKey, job: _Job) -> None:
        self._job_by_exchange[exchange] = job
        self.counters.runs += 1
        job.response = self._resources.answer(job.request)
        seconds = self.work.service_time(self._loop.time())
        job.end = self._loop.call_later(seconds, self._finish, exchange)

    def _finish(self, exchange: ExchangeKey) -> None:
        job = self._job_by_exchange[exchange]
        self._release(exchange)
        if job.response is not None:
            job.reply(job.response)

    def _wait(self, exchange: ExchangeKey, job: _Job) -> None:
        self._job_by_exchange[exchange] = job
        self._waiting.append(exchange)
        deadline = coap.deadline_of(job.request)
        if deadline is not None:
            give_up = functools.partial(self._give_up, exchange)
            job.end = self._loop.call_later(deadline, give_up)

    def _give_up(self, exchange: ExchangeKey) -> None:
        job = self._job_by_exchange[exchange]
        self.counters.late += 1
        self._release(exchange)
        job.reply(
            coap.refusal(job.request, ResultCode.DEADLINE_PASSED, COME_BACK)
        )

    def _release(self, exchange: ExchangeKey, *, go_on: bool = True) -> None:
        job = self._job_by_exchange.pop(exchange)
        job.cancel_timer()
        if job.response is None:
            self._waiting.remove(exchange)
            self.work.give_up_waiting()
            return
        self.work.finish()
        if go_on and self._waiting:
            self._run_next()

    def _run_next(self) -> None:
        exchange = self._waiting.popleft()
        job = self._job_by_exchange[exchange]
        job.cancel_timer()
        self.work.start_waiting()
        self._run(exchange, job)
