"""Requests that other homes have assigned to this agent's server."""

import functools
from collections import OrderedDict
from collections.abc import Callable

import attrs

from redwingstream.agent.carrier import RequestExecutor
from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.parts import REPLAY_HORIZON, AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.runs import Run, RunEnd, deadline_of
from redwingstream.agent.wait_queue import Waiter
from redwingstream.errors import ResultCode, WireError
from redwingstream.flows.blocks import is_later_block
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.forwarding.messages import Assigned
from redwingstream.requests.checksum import request_checksum
from redwingstream.requests.records import RequestState
from redwingstream.requests.slots import Identity
from redwingstream.wire import coap

_Refuse = Callable[[Run, float], None]

RETOLD_FOR = 60.0
"""Seconds in which the outcome of a run is told to a new home of its bucket."""


@attrs.define(eq=False)
class _Known:
    since: float
    end: RunEnd | None = None


class IncomingAssignments:
    """Runs what homes assign, each non-idempotent request once.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    replies : Replies
        Builds and sends final answers.
    carrier : Carrier
        Runs at the own server.
    feeds : FeedRelay
        Feeds of the own server.
    """

    def __init__(
        self,
        parts: AgentParts,
        replies: Replies,
        carrier: RequestExecutor,
        feeds: FeedRelay,
    ) -> None:
        self._parts = parts
        self._replies = replies
        self._carrier = carrier
        self._feeds = feeds
        self._known: OrderedDict[Identity, _Known] = OrderedDict()

    def take(self, assigned: Assigned, now: float) -> None:
        """Take an assignment, or its repetition."""
        self._parts.paths.heard(assigned.packet.balancer, now)
        if assigned.carrier_incarnation != self._parts.identity.incarnation:
            # What the former run did is not known here: running it now could
            # be a second run.
            self._parts.metrics.count('assigned_to_former_run')
            return
        try:
            request = coap.decode(assigned.packet.payload)
        except WireError:
            self._parts.metrics.count('caller_malformed')
            return
        if assigned.wants_outcome:
            self._take_once(assigned, request, now)
        elif request.opt.observe == coap.OBSERVE_REGISTER:
            self._take_feed(assigned, request, now)
        else:
            self._take_plain(assigned, request, now)

    def report_end(self, end: RunEnd, now: float) -> None:
        """Tell the home how an assigned request ended."""
        known = self._known.get(end.run.identity)
        if known is not None:
            known.end = end
        self._tell(end.run.home, end)
        self._tell_other_home(end)

    def notify_new_homes(self, now: float) -> None:
        """Tell new homes how requests ended that former ones assigned.

        Guards against a home that is lost before it hears an outcome: replays
        would get *unknown*, although this agent has the answer.
        """
        for known in self._known.values():
            if known.end is not None and now - known.since < RETOLD_FOR:
                self._tell_other_home(known.end)

    def evict_expired(self, now: float) -> None:
        """Forget assignments that no home repeats any more."""
        while self._known:
            identity, known = next(iter(self._known.items()))
            if now - known.since < REPLAY_HORIZON:
                return
            self._known.pop(identity)

    def _take_once(
        self, assigned: Assigned, request: coap.Message, now: float
    ) -> None:
        run = self._run_of(assigned, request, now)
        known = self._known.get(run.identity)
        if known is not None:
            if known.end is not None:
                self._tell(assigned.home, known.end)
            return
        self._known[run.identity] = _Known(now)
        self._start(run, self._refuse_once, now)

    def _take_feed(
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

    def _take_plain(
        self, assigned: Assigned, request: coap.Message, now: float
    ) -> None:
        packet = assigned.packet
        if request.opt.observe == coap.OBSERVE_CANCEL:
            self._feeds.deregister(packet, request, now)
        run = attrs.evolve(
            self._run_of(assigned, request, now), home='', checksum=b''
        )
        self._start(run, self._refuse_plain, now)

    def _start(self, run: Run, refuse: _Refuse, now: float) -> None:
        """Run a request now or in a moment, or refuse it."""
        if self._start_now(run, now):
            return
        waiter = Waiter(
            run.deadline,
            functools.partial(self._start_now, run),
            functools.partial(refuse, run),
        )
        if not self._carrier.queue.enter(waiter, now):
            refuse(run, now)

    def _start_now(self, run: Run, now: float) -> bool:
        goes_on = is_later_block(run.request)
        slot = self._carrier.reserve(now, goes_on=goes_on)
        if slot is not None:
            self._carrier.start(run, slot, now)
        return slot is not None

    def _refuse_once(self, run: Run, now: float) -> None:
        request = run.request
        answer = self._replies.not_run(request, ResultCode.OVERLOADED, now)
        self.report_end(RunEnd(run, RequestState.NOT_RUN, answer), now)

    def _refuse_plain(self, run: Run, now: float) -> None:
        overloaded = ResultCode.OVERLOADED
        self._replies.refuse(run.packet, run.request, overloaded, now)

    def _tell(self, home: str, end: RunEnd) -> None:
        self._parts.out.to_peer(home, end.as_outcome())

    def _tell_other_home(self, end: RunEnd) -> None:
        home = self._parts.home_of(end.run.bucket)
        if home is not None and home.endpoint != end.run.home:
            self._tell(home.endpoint, end)

    def _run_of(
        self, assigned: Assigned, request: coap.Message, now: float
    ) -> Run:
        packet = assigned.packet
        return Run(
            packet=packet,
            request=request,
            bucket=self._parts.bucket_of(packet.caller, packet.service),
            deadline=deadline_of(request, now),
            checksum=request_checksum(request),
            home=assigned.home,
        )
