"""Runs requests on the server beside this agent."""

import itertools
from collections.abc import Callable, Hashable

import attrs
from aiocoap.message import Message

from redwingstream.admission.concurrency_limit import RunResult
from redwingstream.agent.effects import PerformServerEffects
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.runs import Run, RunEnd, answer_with
from redwingstream.agent.wait_queue import WaitQueue
from redwingstream.errors import ResultCode
from redwingstream.flows.records import FlowKey
from redwingstream.requests.records import RequestState
from redwingstream.wire import coap

_TRIAL_INTERVAL = 1.0


@attrs.frozen
class Slot:
    """A place on the server that admission has given out.

    Parameters
    ----------
    taken_at : float
        When, in seconds of the loop's clock.
    """

    taken_at: float


@attrs.frozen(eq=False)
class _Started:
    run: Run
    slot: Slot
    exchange: int


class RequestExecutor:
    """The requests that this agent's server is running.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    replies : Replies
        Builds final answers.
    on_end : callable
        Takes each :class:`RunEnd` and the time.
    perform : callable
        Carries out what the server's side asks for; see
        :class:`~redwingstream.agent.server_side.ServerSide`.

    Attributes
    ----------
    queue : WaitQueue
        Requests that wait a moment for a place.
    """

    def __init__(
        self,
        parts: AgentParts,
        replies: Replies,
        on_end: Callable[[RunEnd, float], None],
        perform: PerformServerEffects,
    ) -> None:
        self.queue = WaitQueue(parts.limit)
        self._parts = parts
        self._perform = perform
        self._replies = replies
        self._on_end = on_end
        self._serial = itertools.count(1)
        self._started_by_owner: dict[Hashable, _Started] = {}
        self._trial_at = float()

    def __len__(self) -> int:
        """Return how many requests are running."""
        return len(self._started_by_owner)

    def reserve(self, now: float, *, goes_on: bool = False) -> Slot | None:
        """Take a place on the server, if it can bear one more request.

        Parameters
        ----------
        now : float
            Seconds.
        goes_on : bool
            True for a later block of an answer: a server that leaves finishes
            what it has begun.
        """
        if self._parts.is_leaving and not goes_on:
            return None
        if not self._takes_work(now) or not self._parts.limit.try_start(now):
            return None
        self._parts.gauge.record_served(now)
        return Slot(now)

    def release(self, slot: Slot, now: float) -> None:
        """Give a place back that was not used."""
        self._parts.limit.record_finished(
            now - slot.taken_at, RunResult.CANCELLED, now
        )
        self.queue.admit_waiting(now)

    def start(self, run: Run, slot: Slot, now: float) -> None:
        """Hand a request to the server in a place that was reserved."""
        owner = next(self._serial)
        number, effects = self._parts.upstream.send_request(
            run.request, owner, now, run.deadline
        )
        if number is None:
            self.release(slot, now)
            answer = self._replies.not_run(
                run.request, ResultCode.DEADLINE_PASSED, now
            )
            self._on_end(RunEnd(run, RequestState.NOT_RUN, answer), now)
            return
        self._parts.metrics.count('run')
        self._started_by_owner[owner] = _Started(run, slot, number)
        self._perform(effects, now)

    def tick(self, now: float) -> None:
        """Admit who waits, or refuse those who have waited long enough."""
        parts = self._parts
        if parts.is_leaving or parts.is_zone_out() or parts.server_is_silent:
            self.queue.clear(now)
        self._learn_latency(now)
        self.queue.admit_waiting(now)
        self.queue.refuse_expired(now)

    def cancel_all(self, now: float) -> None:
        """Give up all that runs: cancelled at the server, told truthfully."""
        self.queue.clear(now)
        for started in list(self._started_by_owner.values()):
            effects = self._parts.upstream.cancel(started.exchange, now)
            self._perform(effects, now)

    def handle_response(
        self, owner: Hashable, response: Message, now: float
    ) -> None:
        """Take the server's answer."""
        started = self._started_by_owner.pop(owner, None)
        if started is None:
            return
        self._parts.server_is_silent = False
        run = started.run
        answer = answer_with(run.request, response)
        if response.code is coap.SERVICE_UNAVAILABLE:
            self._finish(started, RunResult.REFUSED, now)
            self._on_end(RunEnd(run, RequestState.NOT_RUN, answer), now)
            return
        self._finish(started, RunResult.COMPLETED, now)
        flow = FlowKey(run.packet.caller, run.packet.service)
        self._parts.store.transfers.note(
            run.bucket, flow, run.request, response, now
        )
        self._on_end(RunEnd(run, RequestState.ANSWERED, answer), now)

    def handle_failure(
        self, owner: Hashable, state: RequestState, why: ResultCode, now: float
    ) -> None:
        """Take the end of a run without an answer."""
        started = self._started_by_owner.pop(owner, None)
        if started is None:
            return
        is_cancelled = why is ResultCode.OUTCOME_UNKNOWN
        run_result = (
            RunResult.CANCELLED if is_cancelled else RunResult.TIMED_OUT
        )
        self._finish(started, run_result, now)
        request = started.run.request
        if state is RequestState.NOT_RUN:
            answer = self._replies.not_run(request, why, now)
            self._on_end(RunEnd(started.run, RequestState.NOT_RUN, answer), now)
            return
        answer = self._replies.unknown(request)
        self._on_end(RunEnd(started.run, RequestState.UNKNOWN, answer), now)

    def _learn_latency(self, now: float) -> None:
        """Take from the peers how long requests take, until it is measured."""
        limit = self._parts.limit
        if limit.expected_latency is not None:
            return
        latency = self._parts.loads.expected_latency(now)
        if latency is not None:
            limit.set_expected_latency(latency)

    def _takes_work(self, now: float) -> bool:
        if self._parts.is_zone_out():
            return False
        if not self._parts.server_is_silent:
            return True
        # One request at a time finds out whether the server is back.
        if now - self._trial_at < _TRIAL_INTERVAL:
            return False
        self._trial_at = now
        return True

    def _finish(
        self, started: _Started, run_result: RunResult, now: float
    ) -> None:
        latency = now - started.slot.taken_at
        self._parts.limit.record_finished(latency, run_result, now)
        self.queue.admit_waiting(now)
