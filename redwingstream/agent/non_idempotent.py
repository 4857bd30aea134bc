"""Non-idempotent requests at their home: at most one run each.

A request is entered in the ledger, gets a place on a server, is recorded at
home and heir, and runs, in this order.  A failure before the run ends it as
*not run*, a failure after that as *unknown*.  While the bucket is not in effect
here, a request that looks new may be the replay of one that an earlier home has
run; no request is answered as *not run* then.
"""

import functools

import attrs
from aiocoap.message import Message

from redwingstream.agent.awaited_outcomes import AwaitedOutcomes
from redwingstream.agent.effects import PerformKeeperEffects
from redwingstream.agent.outgoing_assignments import OutgoingAssignments
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.request_endings import RequestEndings
from redwingstream.agent.request_executor import RequestExecutor, Slot
from redwingstream.agent.runs import Run, RunEnd, request_deadline, request_key
from redwingstream.agent.wait_queue import Waiter
from redwingstream.errors import ResultCode
from redwingstream.forwarding.messages import Packet, RunOutcome
from redwingstream.placement.messages import BucketContents
from redwingstream.requests.begin_results import (
    BeginResult,
    Fresh,
    Full,
    OutcomeUnknown,
    Running,
)
from redwingstream.requests.checksum import request_checksum
from redwingstream.requests.outcomes import reply_packet
from redwingstream.requests.records import RequestState

RECORD_TIMEOUT = 4.5
"""Seconds for which a record may stay unacknowledged before the request ends
as *not run*.

Longer than the control instances need to replace a dead heir (lease of 3 s), so
that a request is run under the next view rather than refused.
"""

SLOT_HOLD_TIMEOUT = 0.1
"""Seconds for which a slot stays reserved while the heir does not acknowledge
the record."""


@attrs.define(eq=False)
class _Waiting:
    """A request whose record the heir has not acknowledged yet.

    Parameters
    ----------
    run : Run
        The request.
    sent_at : float
        When its record was sent, in seconds by the event loop's clock.
    slot : Slot, optional
        Its reserved slot on the server beside this agent.
    carrier : str
        The agent that runs it when there is no slot.  When this is empty too,
        a place is chosen after the acknowledgement.
    """

    run: Run
    sent_at: float
    slot: Slot | None = None
    carrier: str = ''


class NonIdempotentRequests:
    """Decides on non-idempotent requests of the buckets whose home is here.

    Parameters
    ----------
    parts : AgentParts
        State that the modules of the agent share.
    replies : Replies
        Builds and sends final answers.
    executor : RequestExecutor
        Runs requests on the server beside this agent.
    assignments : OutgoingAssignments
        Has other agents run requests.
    endings : RequestEndings
        Records and answers the outcomes of requests.
    perform : callable
        Carries out the effects that the keeper of buckets returns.
    """

    def __init__(
        self,
        parts: AgentParts,
        replies: Replies,
        executor: RequestExecutor,
        assignments: OutgoingAssignments,
        endings: RequestEndings,
        perform: PerformKeeperEffects,
    ) -> None:
        self._parts = parts
        self._ledger = parts.store.ledger
        self._replies = replies
        self._executor = executor
        self._assignments = assignments
        self._perform = perform
        self._endings = endings
        self._awaited = AwaitedOutcomes(parts)
        self._waiting_by_ticket: dict[int, _Waiting] = {}

    def __len__(self) -> int:
        """Return how many requests, here or elsewhere, have no outcome yet."""
        return len(self._waiting_by_ticket) + len(self._assignments)

    def handle_request(
        self, packet: Packet, request: Message, bucket: int, now: float
    ) -> None:
        """Handle a request of a bucket of which this agent is home."""
        checksum = request_checksum(request)
        key = request_key(packet, request)
        begun = self._ledger.begin(bucket, key, checksum, now)
        run = Run(
            packet, request, bucket, request_deadline(request, now), checksum
        )
        match begun:
            case Fresh() if self._endings.is_ledger_complete(bucket):
                self._parts.budget.record_request()
                self._place(run, now)
            case Fresh():
                self._endings.end_unknown(run, now)
            case Full() if not self._endings.is_ledger_complete(bucket):
                self._replies.send(packet, self._replies.unknown(request))
            case OutcomeUnknown(b'') if self._awaited.try_add(run, now):
                self._parts.metrics.count('run_elsewhere')
            case _:
                self._replay(packet, request, begun)

    def handle_recorded(self, ticket: int, now: float) -> bool:
        """Run the request of a ticket, now that home and heir hold its record.

        Returns False when the ticket is not that of such a request.
        """
        waiting = self._pop_waiting(ticket)
        if waiting is None:
            return False
        self._parts.store.release(waiting.run.identity)
        self._launch(waiting, now)
        return True

    def handle_record_refused(
        self, ticket: int, reason: ResultCode, now: float
    ) -> None:
        """Handle that the record of a request was refused; it must not run."""
        waiting = self._pop_waiting(ticket)
        if waiting is None:
            return
        if waiting.slot is not None:
            self._executor.release(waiting.slot, now)
        run = waiting.run
        if reason is ResultCode.OUTCOME_UNKNOWN:
            self._endings.answer_from_ledger(run, now)
        elif reason is ResultCode.RECOVERING:
            # It may be the replay of a request that a lost home has run.
            self._endings.end_unknown(run, now)
        elif self._endings.is_ledger_complete(run.bucket):
            self._parts.store.release(run.identity)
            self._endings.end_unrecorded(run, reason, now)
        else:
            self._endings.forward_to_next_home(run, now)

    def handle_outcome(self, outcome: RunOutcome, now: float) -> None:
        """Handle the outcome of a run at another agent."""
        identity = (outcome.key, outcome.checksum)
        run = self._assignments.finish(identity)
        if run is not None:
            self._endings.handle_run_end(
                RunEnd(run, outcome.state, outcome.answer), now
            )
            return
        # An earlier home started this run; its replays are answered from
        # the ledger here.
        self._parts.metrics.count('outcome_late')
        if self._ledger.find_entry(*identity) is not None:
            self._ledger.finish(*identity, outcome.state, outcome.answer, now)
        replay = self._awaited.pop(identity)
        if replay is not None:
            self._endings.answer_from_ledger(replay, now)

    def tick(self, now: float) -> None:
        """Repeat assignments; end those whose carrier does not answer."""
        hopeless = self._assignments.tick(now)
        hopeless.extend(self._awaited.pop_hopeless(now))
        for run in hopeless:
            self._endings.end_unknown(run, now)
        # Iterates over a copy: a released slot admits a waiting request,
        # which may end others.
        for ticket in list(self._waiting_by_ticket):
            self._release_late_slot(ticket, now)

    def end_all(self, now: float) -> None:
        """End all requests without an outcome, because the process stops."""
        for ticket in list(self._waiting_by_ticket):
            waiting = self._pop_waiting(ticket)
            if waiting is not None:
                # The heir may hold its record, and a new home may ask for that.
                self._endings.end_unknown(waiting.run, now)
        for run in self._assignments.pop_all():
            self._endings.end_unknown(run, now)

    def _place(self, run: Run, now: float) -> None:
        slot = self._executor.reserve(now)
        carrier = '' if slot else self._assignments.choose_carrier(now)
        if slot or carrier:
            self._record(_Waiting(run, now, slot, carrier), now)
            return
        waiter = Waiter(
            run.deadline,
            functools.partial(self._try_start, run),
            functools.partial(self._end_unadmitted, run),
        )
        if not self._executor.queue.enter(waiter, now):
            self._end_unadmitted(run, now)

    def _try_start(self, run: Run, now: float) -> bool:
        slot = self._executor.reserve(now)
        if slot is None:
            return False
        if self._endings.is_ledger_complete(run.bucket):
            self._record(_Waiting(run, now, slot), now)
        else:
            self._executor.release(slot, now)
            self._endings.forward_to_next_home(run, now)
        return True

    def _end_unadmitted(self, run: Run, now: float) -> None:
        if self._endings.is_ledger_complete(run.bucket):
            self._endings.end_unrecorded(run, ResultCode.OVERLOADED, now)
        else:
            self._endings.forward_to_next_home(run, now)

    def _record(self, waiting: _Waiting, now: float) -> None:
        run = waiting.run
        entry = self._ledger.find_entry(run.key, run.checksum, now)
        contents = BucketContents(entries=(entry,) if entry else ())
        self._parts.store.withhold(run.identity)
        ticket, effects = self._parts.keeper.record(
            run.bucket, contents, now, min(run.deadline, now + RECORD_TIMEOUT)
        )
        self._waiting_by_ticket[ticket] = waiting
        self._perform(effects, now)

    def _release_late_slot(self, ticket: int, now: float) -> None:
        """Release a slot whose request has waited too long for the heir.

        The heir may be dead; other requests can use the slot meanwhile.
        """
        waiting = self._waiting_by_ticket.get(ticket)
        if waiting is None or waiting.slot is None:
            return
        if now - waiting.sent_at > SLOT_HOLD_TIMEOUT:
            slot = waiting.slot
            waiting.slot = None
            self._executor.release(slot, now)

    def _launch(self, waiting: _Waiting, now: float) -> None:
        run = waiting.run
        slot = waiting.slot
        carrier = waiting.carrier
        if self._parts.endpoint_of_carrier(carrier) is None:
            # None was chosen, or it left while the record was on its way.
            carrier = ''
        if slot is None and not carrier:
            slot = self._executor.reserve(now)
        if slot is not None:
            self._executor.start(run, slot, now)
            return
        carrier = carrier or self._assignments.choose_carrier(now)
        if carrier:
            self._assignments.start(run, carrier, now)
            return
        request = run.request
        answer = self._replies.not_run(request, ResultCode.OVERLOADED, now)
        self._endings.handle_run_end(
            RunEnd(run, RequestState.NOT_RUN, answer), now
        )

    def _pop_waiting(self, ticket: int) -> _Waiting | None:
        return self._waiting_by_ticket.pop(ticket, None)

    def _replay(
        self, packet: Packet, request: Message, begun: BeginResult
    ) -> None:
        self._parts.metrics.count('replayed')
        if isinstance(begun, Running):
            # No empty ACK is sent: the answer is piggybacked on the ACK.  If
            # it is lost, the caller's next retransmission gets it.
            return
        payload = reply_packet(request, begun)
        if payload is not None:
            self._replies.send(packet, payload)
