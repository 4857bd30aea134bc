"""Requests that other homes have assigned to this agent."""

import functools
from collections import OrderedDict
from collections.abc import Callable

import attrs

from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.parts import REPLAY_HORIZON, AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.request_executor import RequestExecutor
from redwingstream.agent.runs import Run, RunEnd, request_deadline
from redwingstream.agent.wait_queue import Waiter
from redwingstream.errors import ResultCode, WireError
from redwingstream.flows.block_transfers import is_later_block
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.forwarding.messages import Assigned
from redwingstream.requests.checksum import request_checksum
from redwingstream.requests.records import RequestState
from redwingstream.requests.slots import Identity
from redwingstream.wire import coap

_Refuse = Callable[[Run, float], None]

OUTCOME_REPORT_SECONDS = 60.0
"""Seconds after an assignment in which its outcome is also reported to new
homes of the bucket."""


@attrs.define(eq=False)
class _KnownRun:
    started_at: float
    end: RunEnd | None = None


class IncomingAssignments:
    """Runs assigned requests, each non-idempotent one at most once.

    Parameters
    ----------
    parts : AgentParts
        State that the modules of the agent share.
    replies : Replies
        Builds and sends final answers.
    executor : RequestExecutor
        Runs requests on the server beside this agent.
    feeds : FeedRelay
        Feeds of the server beside this agent.
    """

    def __init__(
        self,
        parts: AgentParts,
        replies: Replies,
        executor: RequestExecutor,
        feeds: FeedRelay,
    ) -> None:
        self._parts = parts
        self._replies = replies
        self._executor = executor
        self._feeds = feeds
        self._known: OrderedDict[Identity, _KnownRun] = OrderedDict()

    def handle_assignment(self, assigned: Assigned, now: float) -> None:
        """Handle an assignment or its repetition."""
        self._parts.paths.record_heard(assigned.packet.balancer, now)
        if assigned.carrier_incarnation != self._parts.identity.incarnation:
            # The former run of this agent may have run the request; to run
            # it here could run it twice.
            self._parts.metrics.count('assigned_to_former_run')
            return
        try:
            request = coap.decode(assigned.packet.payload)
        except WireError:
            self._parts.metrics.count('caller_malformed')
            return
        if assigned.wants_outcome:
            self._handle_non_idempotent(assigned, request, now)
        elif request.opt.observe == coap.OBSERVE_REGISTER:
            self._handle_feed(assigned, request, now)
        else:
            self._handle_plain(assigned, request, now)

    def report_end(self, end: RunEnd, now: float) -> None:
        """Report the end of an assigned request to its home.

        Also reported to the present home of the bucket, if that is another.
        """
        known = self._known.get(end.run.identity)
        if known is not None:
            known.end = end
        self._notify_home(end.run.home, end)
        self._notify_new_home(end)

    def notify_new_homes(self, now: float) -> None:
        """Report outcomes to the new homes after a change of view.

        A home may be lost before an outcome reaches it.  Without this report
        replays would be answered as *unknown*, although this agent has the
        answer.
        """
        for known in self._known.values():
            if (
                known.end is not None
                and now - known.started_at < OUTCOME_REPORT_SECONDS
            ):
                self._notify_new_home(known.end)

    def evict_expired(self, now: float) -> None:
        """Evict assignments that no home repeats any more."""
        while self._known:
            identity, known = next(iter(self._known.items()))
            if now - known.started_at < REPLAY_HORIZON:
                return
            self._known.pop(identity)

    def _handle_non_idempotent(
        self, assigned: Assigned, request: coap.Message, now: float
    ) -> None:
        run = self._make_run(assigned, request, now)
        known = self._known.get(run.identity)
        if known is not None:
            if known.end is not None:
                self._notify_home(assigned.home, known.end)
            return
        self._known[run.identity] = _KnownRun(now)
        self._start(run, self._refuse_non_idempotent, now)

    def _handle_feed(
        self, assigned: Assigned, request: coap.Message, now: float
    ) -> None:
        packet = assigned.packet
        record = FlowRecord(
            key=FlowKey(packet.caller, packet.service, request.token),
            carrier=self._parts.identity.carrier,
            generation=assigned.generation,
            registration=packet.payload,
        )
        self._feeds.register(record, packet, request, now)

    def _handle_plain(
        self, assigned: Assigned, request: coap.Message, now: float
    ) -> None:
        packet = assigned.packet
        if request.opt.observe == coap.OBSERVE_CANCEL:
            self._feeds.deregister(packet, request, now)
        run = attrs.evolve(
            self._make_run(assigned, request, now), home='', checksum=b''
        )
        self._start(run, self._refuse_plain, now)

    def _start(self, run: Run, refuse: _Refuse, now: float) -> None:
        """Run a request now or after a wait in the queue, or refuse it."""
        if self._try_start(run, now):
            return
        waiter = Waiter(
            run.deadline,
            functools.partial(self._try_start, run),
            functools.partial(refuse, run),
        )
        if not self._executor.queue.enter(waiter, now):
            refuse(run, now)

    def _try_start(self, run: Run, now: float) -> bool:
        is_continuation = is_later_block(run.request)
        slot = self._executor.reserve(now, is_continuation=is_continuation)
        if slot is not None:
            self._executor.start(run, slot, now)
        return slot is not None

    def _refuse_non_idempotent(self, run: Run, now: float) -> None:
        request = run.request
        answer = self._replies.not_run(request, ResultCode.OVERLOADED, now)
        self.report_end(RunEnd(run, RequestState.NOT_RUN, answer), now)

    def _refuse_plain(self, run: Run, now: float) -> None:
        overloaded = ResultCode.OVERLOADED
        self._replies.refuse(run.packet, run.request, overloaded, now)

    def _notify_home(self, home: str, end: RunEnd) -> None:
        self._parts.out.to_peer(home, end.as_outcome())

    def _notify_new_home(self, end: RunEnd) -> None:
        home = self._parts.home_of(end.run.bucket)
        if home is not None and home.endpoint != end.run.home:
            self._notify_home(home.endpoint, end)

    def _make_run(
        self, assigned: Assigned, request: coap.Message, now: float
    ) -> Run:
        packet = assigned.packet
        return Run(
            packet=packet,
            request=request,
            bucket=self._parts.bucket_of(packet.caller, packet.service),
            deadline=request_deadline(request, now),
            checksum=request_checksum(request),
            home=assigned.home,
        )
