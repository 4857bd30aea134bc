"""Decides on idempotent requests of the buckets of which this agent is home.

A request runs on the server beside this agent where that has room, else at
another agent.  The choice is recorded for feeds and for transfers in blocks,
so that later packets of the flow reach the same carrier.
"""

import functools

import attrs
from aiocoap.message import Message

from redwingstream.agent.effects import PerformKeeperEffects
from redwingstream.agent.feeds import FeedRelay
from redwingstream.agent.outgoing_assignments import OutgoingAssignments
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.request_executor import RequestExecutor
from redwingstream.agent.runs import Run, request_deadline
from redwingstream.agent.wait_queue import Waiter
from redwingstream.endpoints import parse_endpoint
from redwingstream.errors import ResultCode
from redwingstream.flows.block_transfers import is_later_block
from redwingstream.flows.records import FlowKey, FlowRecord
from redwingstream.forwarding.messages import Assigned, Packet
from redwingstream.placement.messages import BucketContents
from redwingstream.wire import coap

RECORD_TIMEOUT = 4.5
"""Seconds for which a record may stay unacknowledged.

Longer than the control instances need to replace a dead heir, so that a feed
is opened under the next view rather than refused.
"""


@attrs.frozen(eq=False)
class _WaitingFeed:
    record: FlowRecord
    packet: Packet
    request: Message
    bucket: int


class FlowPlacement:
    """Places feeds and plain requests, and records their carriers.

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
    assignments : OutgoingAssignments
        Chooses other agents.
    perform : callable
        Carries out the effects that the keeper of buckets returns.
    """

    def __init__(
        self,
        parts: AgentParts,
        replies: Replies,
        executor: RequestExecutor,
        feeds: FeedRelay,
        assignments: OutgoingAssignments,
        perform: PerformKeeperEffects,
    ) -> None:
        self._parts = parts
        self._replies = replies
        self._executor = executor
        self._feeds = feeds
        self._assignments = assignments
        self._perform = perform
        self._waiting_by_ticket: dict[int, _WaitingFeed] = {}
        self._waiting_keys: set[FlowKey] = set()

    def place_request(
        self, packet: Packet, request: Message, bucket: int, now: float
    ) -> None:
        """Run a plain idempotent request at its flow's carrier, if it has one.

        Without a carrier it runs on the server beside this agent, at another
        agent, or after a wait; it is refused if none of these has room.
        """
        record = self._find_record(packet, request.token, now)
        if record is not None and self._pass_on(packet, record, now):
            return
        if request.opt.observe == coap.OBSERVE_CANCEL:
            self._feeds.deregister(packet, request, now)
        run = Run(packet, request, bucket, request_deadline(request, now))
        if self._try_start(run, now) or self._place_elsewhere(run, now):
            return
        waiter = Waiter(
            run.deadline,
            functools.partial(self._try_start, run),
            functools.partial(self._refuse, run),
        )
        if not self._executor.queue.enter(waiter, now):
            self._refuse(run, now)

    def place_feed(
        self, packet: Packet, request: Message, bucket: int, now: float
    ) -> None:
        """Open a feed, or handle the repetition of its registration."""
        key = FlowKey(packet.caller, packet.service, request.token)
        if key in self._waiting_keys or self.forward_registration(
            packet, request, now
        ):
            return
        if self.is_established(packet, request, now):
            # Its carrier is gone.  FeedChecks places it anew, even beyond the
            # limits; refusing it as a new feed would end it.
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

    def forward_registration(
        self, packet: Packet, request: Message, now: float
    ) -> bool:
        """Pass a registration to the carrier of its feed, if one is alive."""
        record = self._find_record(packet, request.token, now)
        if record is None or not record.registration:
            return False
        return self._forward_to_carrier(record, packet, request, now)

    def is_established(
        self, packet: Packet, request: Message, now: float
    ) -> bool:
        """Whether a registration repeats that of a feed recorded here."""
        record = self._find_record(packet, request.token, now)
        return record is not None and bool(record.registration)

    def handle_recorded(self, ticket: int, now: float) -> bool:
        """Start the feed of a ticket, now that home and heir hold its record.

        Returns False when the ticket is not that of a feed.
        """
        waiting = self._pop_waiting(ticket)
        if waiting is None:
            return False
        self._forward_to_carrier(
            waiting.record, waiting.packet, waiting.request, now
        )
        return True

    def handle_record_refused(
        self, ticket: int, reason: ResultCode, now: float
    ) -> None:
        """Handle that the record of a feed was refused."""
        waiting = self._pop_waiting(ticket)
        if waiting is None:
            return
        packet = waiting.packet
        home = self._parts.home_of(waiting.bucket)
        if reason is ResultCode.OUTCOME_UNKNOWN:
            # An earlier home has opened the feed; refusing it now would end
            # an established feed.
            self.place_feed(packet, waiting.request, waiting.bucket, now)
        elif reason is ResultCode.STALE and home is not None:
            self._parts.out.to_peer(home.endpoint, packet)
        else:
            self._replies.refuse(packet, waiting.request, reason, now)

    def _find_record(
        self, packet: Packet, token: bytes, now: float
    ) -> FlowRecord | None:
        return self._parts.store.flows.record_for(
            packet.caller, packet.service, token, now
        )

    def _forward_to_carrier(
        self,
        record: FlowRecord,
        packet: Packet,
        request: Message,
        now: float,
    ) -> bool:
        """Pass a registration to the feed's carrier, if that is alive."""
        if record.carrier == self._parts.identity.carrier:
            self._feeds.register(record, packet, request, now)
            return True
        return self._pass_on(packet, record, now)

    def _pass_on(self, packet: Packet, record: FlowRecord, now: float) -> bool:
        """Send a packet to the carrier of its flow, if that is alive."""
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
        self._parts.links.record_sent(parse_endpoint(endpoint), now)
        self._parts.out.to_peer(endpoint, assigned)
        return True

    def _try_start(self, run: Run, now: float) -> bool:
        is_continuation = is_later_block(run.request)
        slot = self._executor.reserve(now, is_continuation=is_continuation)
        if slot is not None:
            self._executor.start(run, slot, now)
        return slot is not None

    def _refuse(self, run: Run, now: float) -> None:
        overloaded = ResultCode.OVERLOADED
        self._replies.refuse(run.packet, run.request, overloaded, now)

    def _place_elsewhere(self, run: Run, now: float) -> bool:
        # Later blocks must come from the server that sent the first one:
        # another server may have another representation.
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
        # The acknowledgement is not awaited: if the placement is lost, the
        # transfer in blocks loses one block, which its caller requests again.
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

    def _pop_waiting(self, ticket: int) -> _WaitingFeed | None:
        waiting = self._waiting_by_ticket.pop(ticket, None)
        if waiting is not None:
            self._waiting_keys.discard(waiting.record.key)
        return waiting
