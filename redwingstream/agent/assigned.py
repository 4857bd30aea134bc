"""Requests that other homes have assigned to this agent's server."""

from collections import OrderedDict

import attrs

from redwingstream.agent.carrier import Carrier
from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.parts import REPLAY_HORIZON, AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.runs import Run, RunEnd, deadline_of, key_of
from redwingstream.errors import ResultCode, WireError
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.forwarding.messages import Assigned, RunOutcome
from redwingstream.requests.checksum import request_checksum
from redwingstream.requests.records import RequestKey, RequestState
from redwingstream.wire import coap


@attrs.define(eq=False)
class _Known:
    since: float
    outcome: RunOutcome | None = None


class AssignedRequests:
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
        carrier: Carrier,
        feeds: FeedRelay,
    ) -> None:
        self._parts = parts
        self._replies = replies
        self._carrier = carrier
        self._feeds = feeds
        self._known_by_key: OrderedDict[RequestKey, _Known] = OrderedDict()

    def take(self, assigned: Assigned, now: float) -> None:
        """Take an assignment, or its repetition."""
        self._parts.paths.heard(assigned.packet.balancer, now)
        if assigned.carrier_incarnation != self._parts.me.incarnation:
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

    def ended(self, end: RunEnd, now: float) -> None:
        """Tell the home how an assigned request ended."""
        outcome = RunOutcome(end.run.key, end.state, end.answer)
        known = self._known_by_key.get(end.run.key)
        if known is not None:
            known.outcome = outcome
        self._parts.out.to_peer(end.run.home, outcome)

    def expire(self, now: float) -> None:
        """Forget assignments that no home repeats any more."""
        while self._known_by_key:
            key, known = next(iter(self._known_by_key.items()))
            if now - known.since < REPLAY_HORIZON:
                return
            self._known_by_key.pop(key)

    def _take_once(
        self, assigned: Assigned, request: coap.Message, now: float
    ) -> None:
        key = key_of(assigned.packet, request)
        known = self._known_by_key.get(key)
        if known is not None:
            if known.outcome is not None:
                self._parts.out.to_peer(assigned.home, known.outcome)
            return
        self._known_by_key[key] = _Known(now)
        run = self._run_of(assigned, request, now)
        slot = self._carrier.reserve(now)
        if slot is None:
            answer = self._replies.not_run(request, ResultCode.OVERLOADED, now)
            self.ended(RunEnd(run, RequestState.NOT_RUN, answer), now)
            return
        self._carrier.start(run, slot, now)

    def _take_feed(
        self, assigned: Assigned, request: coap.Message, now: float
    ) -> None:
        packet = assigned.packet
        record = FlowRecord(
            key=FlowKey(packet.caller, packet.service, request.token),
            carrier=self._parts.me.carrier,
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
        slot = self._carrier.reserve(now)
        if slot is None:
            self._replies.refuse(packet, request, ResultCode.OVERLOADED, now)
            return
        run = attrs.evolve(self._run_of(assigned, request, now), home='')
        self._carrier.start(run, slot, now)

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
