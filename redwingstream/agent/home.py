"""Decides on idempotent requests of the buckets of which this agent is home."""

import functools

import attrs
from aiocoap.message import Message

from redwingstream.agent.assignments import OutgoingAssignments
from redwingstream.agent.carrier import RequestExecutor
from redwingstream.agent.effects import PerformKeeperEffects
from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.runs import Run, deadline_of
from redwingstream.agent.wait_queue import Waiter
from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import ResultCode
from redwingstream.flows.blocks import is_later_block
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.forwarding.messages import Assigned, Packet
from redwingstream.placement.messages import BucketContents
from redwingstream.wire import coap

RECORD_TIMEOUT = 4.5
"""Seconds that a record may take; longer than control needs to replace a dead
heir, so that a feed is opened under the next view rather than refused."""


@attrs.frozen(eq=False)
class _WaitingFeed:
    record: FlowRecord
    packet: Packet
    request: Message
    bucket: int


class FlowPlacement:
    """Places feeds and plain requests, and remembers where.

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
    assignments : Assignments
        Chooses other agents.
    perform : callable
        Carries out what the keeper asks for.
    """

    def __init__(
        self,
        parts: AgentParts,
        replies: Replies,
        carrier: RequestExecutor,
        feeds: FeedRelay,
        assignments: OutgoingAssignments,
        perform: PerformKeeperEffects,
    ) -> None:
        self._parts = parts
        self._replies = replies
        self._carrier = carrier
        self._feeds = feeds
        self._assignments = assignments
        self._perform = perform
        self._waiting_by_ticket: dict[int, _WaitingFeed] = {}
        self._waiting_keys: set[FlowKey] = set()

    def plain(
        self, packet: Packet, request: Message, bucket: int, now: float
    ) -> None:
        """Have a plain idempotent request run where its flow is."""
        record = self._record_of(packet, request.token, now)
        if record is not None and self._pass_on(packet, record, now):
            return
        if request.opt.observe == coap.OBSERVE_CANCEL:
            self._feeds.deregister(packet, request, now)
        run = Run(packet, request, bucket, deadline_of(request, now))
        if self._start_now(run, now) or self._place_elsewhere(run, now):
            return
        waiter = Waiter(
            run.deadline,
            functools.partial(self._start_now, run),
            functools.partial(self._refuse, run),
        )
        if not self._carrier.queue.enter(waiter, now):
            self._refuse(run, now)

    def feed(
        self, packet: Packet, request: Message, bucket: int, now: float
    ) -> None:
        """Open a feed, or take the repetition of its registration."""
        key = FlowKey(packet.caller, packet.service, request.token)
        if key in self._waiting_keys or self.known_feed(packet, request, now):
            return
        if self.is_established(packet, request, now):
            # Its carrier is gone: the check of the feeds places it anew, also
            # beyond the limits.  Refused as a new feed it would end here.
            self._parts.metrics.count('registration_awaits_carrier')
            return
        has_room = self._feeds.has_room(now)
        carrier = self._parts.identity.carrier
        if not has_room:
            carrier = self._assignments.choose_carrier(now)
        if not carrier:
            self._replies.refuse(packet, request, ResultCode.OVERLOADED, now)
            return
        opened = FlowRecord(
            key=key,
            carrier=carrier,
            generation=self._parts.store.flows.next_generation(key),
            registration=packet.payload,
        )
        self._record_feed(_WaitingFeed(opened, packet, request, bucket), now)

    def known_feed(self, packet: Packet, request: Message, now: float) -> bool:
        """Hand a registration to the carrier of its feed, if one lives."""
        record = self._record_of(packet, request.token, now)
        if record is None or not record.registration:
            return False
        return self._go_on(record, packet, request, now)

    def is_established(
        self, packet: Packet, request: Message, now: float
    ) -> bool:
        """Whether a registration repeats that of a feed known here."""
        record = self._record_of(packet, request.token, now)
        return record is not None and bool(record.registration)

    def handle_recorded(self, ticket: int, now: float) -> bool:
        """Start a feed that home and heir hold; False if it is none."""
        waiting = self._take_waiting(ticket)
        if waiting is None:
            return False
        self._go_on(waiting.record, waiting.packet, waiting.request, now)
        return True

    def handle_record_refused(
        self, ticket: int, reason: ResultCode, now: float
    ) -> None:
        """Refuse a feed that could not be recorded."""
        waiting = self._take_waiting(ticket)
        if waiting is None:
            return
        packet = waiting.packet
        home = self._parts.home_of(waiting.bucket)
        if reason is ResultCode.OUTCOME_UNKNOWN:
            # An earlier home has opened it: to refuse it now would end an
            # established feed.
            self.feed(packet, waiting.request, waiting.bucket, now)
        elif reason is ResultCode.STALE and home is not None:
            self._parts.out.to_peer(home.endpoint, packet)
        else:
            self._replies.refuse(packet, waiting.request, reason, now)

    def _record_of(
        self, packet: Packet, token: bytes, now: float
    ) -> FlowRecord | None:
        return self._parts.store.flows.carrier_of(
            packet.caller, packet.service, token, now
        )

    def _go_on(
        self,
        record: FlowRecord,
        packet: Packet,
        request: Message,
        now: float,
    ) -> bool:
        """Hand a registration to the feed's carrier, if that lives."""
        if record.carrier == self._parts.identity.carrier:
            self._feeds.register(record, packet, request, now)
            return True
        return self._pass_on(packet, record, now)

    def _pass_on(self, packet: Packet, record: FlowRecord, now: float) -> bool:
        """Send a packet to the agent that carries its flow, if that lives."""
        if record.carrier == self._parts.identity.carrier:
            return False
        if self._parts.is_carrier_silent(record.carrier, now):
            return False
        endpoint = self._parts.endpoint_of_carrier(record.carrier)
        if endpoint is None:
            return False
        self._parts.metrics.count('passed_on')
        assigned = Assigned(
            packet=packet,
            home=self._parts.identity.endpoint,
            generation=record.generation,
            carrier_incarnation=int(record.carrier.rpartition('#')[2]),
        )
        self._parts.links.sent(parse_endpoint(endpoint), now)
        self._parts.out.to_peer(endpoint, assigned)
        return True

    def _start_now(self, run: Run, now: float) -> bool:
        goes_on = is_later_block(run.request)
        slot = self._carrier.reserve(now, goes_on=goes_on)
        if slot is not None:
            self._carrier.start(run, slot, now)
        return slot is not None

    def _refuse(self, run: Run, now: float) -> None:
        overloaded = ResultCode.OVERLOADED
        self._replies.refuse(run.packet, run.request, overloaded, now)

    def _place_elsewhere(self, run: Run, now: float) -> bool:
        # A block after the first must come from the server that sent the
        # first: another one may have another representation.
        carrier = ''
        if not is_later_block(run.request):
            carrier = self._assignments.choose_carrier(now)
        if not carrier:
            return False
        self._parts.metrics.count('placed_elsewhere')
        packet = run.packet
        key = FlowKey(packet.caller, packet.service)
        generation = self._parts.store.flows.next_generation(key)
        record = FlowRecord(key, carrier, generation)
        self._parts.store.flows.put(run.bucket, record, now)
        # Not waited for: a placement that is forgotten costs a transfer in
        # blocks its next block, which its caller asks for again.
        self._record_flow(record, run.bucket, now)
        return self._pass_on(packet, record, now)

    def _record_feed(self, waiting: _WaitingFeed, now: float) -> None:
        ticket, effects = self._parts.keeper.record(
            waiting.bucket,
            BucketContents(flows=(waiting.record,)),
            now,
            now + RECORD_TIMEOUT,
        )
        self._waiting_by_ticket[ticket] = waiting
        self._waiting_keys.add(waiting.record.key)
        self._perform(effects, now)

    def _record_flow(self, record: FlowRecord, bucket: int, now: float) -> None:
        contents = BucketContents(flows=(record,))
        _, effects = self._parts.keeper.record(
            bucket, contents, now, now + RECORD_TIMEOUT
        )
        self._perform(effects, now)

    def _take_waiting(self, ticket: int) -> _WaitingFeed | None:
        waiting = self._waiting_by_ticket.pop(ticket, None)
        if waiting is not None:
            self._waiting_keys.discard(waiting.record.key)
        return waiting
