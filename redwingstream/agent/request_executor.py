"""Runs requests on the server beside this agent, within its limit."""

import itertools
from collections.abc import Callable, Hashable

import attrs
from aiocoap.message import Message

from redwingstream.admission.concurrency_limit import RunResult
from redwingstream.agent.effects import PerformServerEffects
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.runs import Run, RunEnd, readdress_response
from redwingstream.agent.wait_queue import WaitQueue
from redwingstream.errors import ResultCode
from redwingstream.flows.records import FlowKey
from redwingstream.requests.records import RequestState
from redwingstream.wire import coap

# Seconds between two trial requests to a server that does not answer.
_TRIAL_INTERVAL = 1.0


@attrs.frozen
class Slot:
    """A unit of the server's concurrency limit, reserved for one request.

    Parameters
    ----------
    taken_at : float
        When it was reserved, in seconds by the event loop's clock.
    """

    taken_at: float


@attrs.frozen(eq=False)
class _Started:
    run: Run
    slot: Slot
    exchange: int


class RequestExecutor:
    """Runs requests on the server and keeps track of them until they end.

    Parameters
    ----------
    parts : AgentParts
        State that the modules of the agent share.
    replies : Replies
        Builds final answers.
    on_end : callable
        Called with each :class:`RunEnd` and the current time.
    perform : callable
        Carries out the effects of the link to the server; see
        :class:`~redwingstream.agent.server_effects.ServerEffectHandler`.

    Attributes
    ----------
    queue : WaitQueue
        Requests that wait a short time for a slot.
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
        self._last_trial_at = float()

    def __len__(self) -> int:
        """Return the number of requests that are running."""
        return len(self._started_by_owner)

    def reserve(
        self, now: float, *, is_continuation: bool = False
    ) -> Slot | None:
        """Reserve a slot on the server; None if it has no room.

        Parameters
        ----------
        now : float
            Current time in seconds, by the event loop's clock.
        is_continuation : bool
            Whether the request is for a later block of an answer: an agent
            that leaves still finishes such transfers.
        """
        if self._parts.is_leaving and not is_continuation:
            return None
        if not self._accepts_work(now) or not self._parts.limit.try_start(now):
            return None
        self._parts.gauge.record_served(now)
        return Slot(now)

    def release(self, slot: Slot, now: float) -> None:
        """Release a slot that was not used."""
        self._parts.limit.record_finished(
            now - slot.taken_at, RunResult.CANCELLED, now
        )
        self.queue.admit_waiting(now)

    def start(self, run: Run, slot: Slot, now: float) -> None:
        """Send a request to the server, in a slot reserved for it."""
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
        """Admit waiting requests to free slots; refuse expired ones."""
        parts = self._parts
        if parts.is_leaving or parts.is_zone_out() or parts.server_is_silent:
            self.queue.refuse_all(now)
        self._learn_latency(now)
        self.queue.admit_waiting(now)
        self.queue.refuse_expired(now)

    def cancel_all(self, now: float) -> None:
        """Refuse all waiting requests; cancel running ones at the server."""
        self.queue.refuse_all(now)
        for started in list(self._started_by_owner.values()):
            effects = self._parts.upstream.cancel(started.exchange, now)
            self._perform(effects, now)

    def handle_response(
        self, owner: Hashable, response: Message, now: float
    ) -> None:
        """Handle the server's response to a request."""
        started = self._started_by_owner.pop(owner, None)
        if started is None:
            return
        self._parts.server_is_silent = False
        run = started.run
        answer = readdress_response(run.request, response)
        if response.code is coap.SERVICE_UNAVAILABLE:
            self._finish(started, RunResult.REFUSED, now)
            self._on_end(RunEnd(run, RequestState.NOT_RUN, answer), now)
            return
        self._finish(started, RunResult.COMPLETED, now)
        flow = FlowKey(run.packet.caller, run.packet.service)
        self._parts.store.transfers.record_response(
            run.bucket, flow, run.request, response, now
        )
        self._on_end(RunEnd(run, RequestState.ANSWERED, answer), now)

    def handle_failure(
        self, owner: Hashable, state: RequestState, why: ResultCode, now: float
    ) -> None:
        """Handle that a request has ended without a response."""
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
        """Use the latency that peers report until one is measured here."""
        limit = self._parts.limit
        if limit.expected_latency is not None:
            return
        latency = self._parts.loads.expected_latency(now)
        if latency is not None:
            limit.set_expected_latency(latency)

    def _accepts_work(self, now: float) -> bool:
        if self._parts.is_zone_out():
            return False
        if not self._parts.server_is_silent:
            return True
        # One trial request per interval shows whether the server is back.
        if now - self._last_trial_at < _TRIAL_INTERVAL:
            return False
        self._last_trial_at = now
        return True

    def _finish(
        self, started: _Started, run_result: RunResult, now: float
    ) -> None:
        latency = now - started.slot.taken_at
        self._parts.limit.record_finished(latency, run_result, now)
        self.queue.admit_waiting(now)
