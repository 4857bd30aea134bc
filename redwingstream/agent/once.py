"""Non-idempotent requests at their home: at most one run each.

The order is: ledger, place on a server, record at home and heir, run.  Whatever
goes wrong before the run ends as *not run*; whatever after it, as *unknown*.
While the bucket is not in effect here, a request that looks new may be the
replay of one that an earlier home has run, so nothing is called *not run* then.
"""

import functools

import attrs
from aiocoap.message import Message

from redwingstream.agent.assignments import OutgoingAssignments
from redwingstream.agent.carrier import RequestExecutor, Slot
from redwingstream.agent.effects import PerformKeeperEffects
from redwingstream.agent.elsewhere import RunsElsewhere
from redwingstream.agent.request_endings import RequestEndings
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.runs import Run, RunEnd, deadline_of, request_key
from redwingstream.agent.wait_queue import Waiter
from redwingstream.errors import ResultCode
from redwingstream.forwarding.messages import Packet, RunOutcome
from redwingstream.placement.messages import BucketContents
from redwingstream.requests.begun import (
    Begun,
    Fresh,
    Full,
    OutcomeUnknown,
    Running,
)
from redwingstream.requests.checksum import request_checksum
from redwingstream.requests.outcomes import told_again
from redwingstream.requests.records import RequestState

RECORD_TIMEOUT = 4.5
"""Seconds that a record may take; after that: not run.

Longer than control needs to replace a dead heir (lease of 3 s), so that a
request is run under the next view rather than refused.
"""

SLOT_PATIENCE = 0.1
"""Seconds after which a slot is given back while the heir is silent."""


@attrs.define(eq=False)
class _Waiting:
    """A request that is being recorded.

    ``slot`` is a place on the own server; without one it goes to ``carrier``,
    and without that either a place is looked for once it is recorded.
    """

    run: Run
    since: float
    slot: Slot | None = None
    carrier: str = ''


class NonIdempotentRequests:
    """Decides on non-idempotent requests of the buckets that are home here.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    replies : Replies
        Builds and sends final answers.
    carrier : Carrier
        Runs at the own server.
    assignments : Assignments
        Runs at other agents.
    endings : Endings
        Ends requests.
    perform : callable
        Carries out what the keeper asks for.
    """

    def __init__(
        self,
        parts: AgentParts,
        replies: Replies,
        carrier: RequestExecutor,
        assignments: OutgoingAssignments,
        endings: RequestEndings,
        perform: PerformKeeperEffects,
    ) -> None:
        self._parts = parts
        self._ledger = parts.store.ledger
        self._replies = replies
        self._carrier = carrier
        self._assignments = assignments
        self._perform = perform
        self._endings = endings
        self._elsewhere = RunsElsewhere(parts)
        self._waiting_by_ticket: dict[int, _Waiting] = {}

    def __len__(self) -> int:
        """Return how many requests have no outcome yet, wherever they are."""
        return len(self._waiting_by_ticket) + len(self._assignments)

    def take(
        self, packet: Packet, request: Message, bucket: int, now: float
    ) -> None:
        """Take a request whose home this agent is."""
        checksum = request_checksum(request)
        key = request_key(packet, request)
        begun = self._ledger.begin(bucket, key, checksum, now)
        run = Run(packet, request, bucket, deadline_of(request, now), checksum)
        match begun:
            case Fresh() if self._endings.is_ledger_complete(bucket):
                self._parts.budget.record_request()
                self._place(run, now)
            case Fresh():
                self._endings.end_unknown(run, now)
            case Full() if not self._endings.is_ledger_complete(bucket):
                self._replies.send(packet, self._replies.unknown(request))
            case OutcomeUnknown(b'') if self._elsewhere.wait(run, now):
                self._parts.metrics.count('run_elsewhere')
            case _:
                self._replay(packet, request, begun)

    def handle_recorded(self, ticket: int, now: float) -> bool:
        """Run a request that home and heir hold; False if it is none."""
        waiting = self._take_out(ticket)
        if waiting is None:
            return False
        self._parts.store.release(waiting.run.identity)
        self._launch(waiting, now)
        return True

    def handle_record_refused(
        self, ticket: int, reason: ResultCode, now: float
    ) -> None:
        """End a request that must not run here."""
        waiting = self._take_out(ticket)
        if waiting is None:
            return
        if waiting.slot is not None:
            self._carrier.release(waiting.slot, now)
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

    def outcome(self, outcome: RunOutcome, now: float) -> None:
        """Take the outcome of a run at another agent."""
        identity = (outcome.key, outcome.checksum)
        run = self._assignments.finish(identity)
        if run is not None:
            self._endings.handle_run_end(
                RunEnd(run, outcome.state, outcome.answer), now
            )
            return
        # Of a run that an earlier home has begun: its replays find it here.
        self._parts.metrics.count('outcome_late')
        if self._ledger.entry(*identity) is not None:
            self._ledger.finish(*identity, outcome.state, outcome.answer, now)
        replay = self._elsewhere.take_out(identity)
        if replay is not None:
            self._endings.answer_from_ledger(replay, now)

    def tick(self, now: float) -> None:
        """Repeat assignments; end those whose carrier does not answer."""
        given_up = self._assignments.tick(now)
        given_up.extend(self._elsewhere.take_hopeless(now))
        for run in given_up:
            self._endings.end_unknown(run, now)
        # A slot given back lets in a request that waits, which may end others.
        for ticket in list(self._waiting_by_ticket):
            self._give_slot_back(ticket, now)

    def give_up(self, now: float) -> None:
        """End all that has no outcome: the process stops."""
        for ticket in list(self._waiting_by_ticket):
            waiting = self._take_out(ticket)
            if waiting is not None:
                # The heir may hold its record, and may be asked for it.
                self._endings.end_unknown(waiting.run, now)
        for run in self._assignments.take_all():
            self._endings.end_unknown(run, now)

    def _place(self, run: Run, now: float) -> None:
        slot = self._carrier.reserve(now)
        carrier = '' if slot else self._assignments.choose_carrier(now)
        if slot or carrier:
            self._record(_Waiting(run, now, slot, carrier), now)
            return
        waiter = Waiter(
            run.deadline,
            functools.partial(self._admitted, run),
            functools.partial(self._not_admitted, run),
        )
        if not self._carrier.queue.enter(waiter, now):
            self._not_admitted(run, now)

    def _admitted(self, run: Run, now: float) -> bool:
        slot = self._carrier.reserve(now)
        if slot is None:
            return False
        if self._endings.is_ledger_complete(run.bucket):
            self._record(_Waiting(run, now, slot), now)
        else:
            self._carrier.release(slot, now)
            self._endings.forward_to_next_home(run, now)
        return True

    def _not_admitted(self, run: Run, now: float) -> None:
        if self._endings.is_ledger_complete(run.bucket):
            self._endings.end_unrecorded(run, ResultCode.OVERLOADED, now)
        else:
            self._endings.forward_to_next_home(run, now)

    def _record(self, waiting: _Waiting, now: float) -> None:
        run = waiting.run
        entry = self._ledger.entry(run.key, run.checksum, now)
        contents = BucketContents(entries=(entry,) if entry else ())
        self._parts.store.withhold(run.identity)
        ticket, effects = self._parts.keeper.record(
            run.bucket, contents, now, min(run.deadline, now + RECORD_TIMEOUT)
        )
        self._waiting_by_ticket[ticket] = waiting
        self._perform(effects, now)

    def _give_slot_back(self, ticket: int, now: float) -> None:
        """Let others have a slot while a heir is silent, perhaps dead."""
        waiting = self._waiting_by_ticket.get(ticket)
        if waiting is None or waiting.slot is None:
            return
        if now - waiting.since > SLOT_PATIENCE:
            slot = waiting.slot
            waiting.slot = None
            self._carrier.release(slot, now)

    def _launch(self, waiting: _Waiting, now: float) -> None:
        run = waiting.run
        slot = waiting.slot
        carrier = waiting.carrier
        if self._parts.endpoint_of_carrier(carrier) is None:
            # None chosen, or gone while the record was under way.
            carrier = ''
        if slot is None and not carrier:
            slot = self._carrier.reserve(now)
        if slot is not None:
            self._carrier.start(run, slot, now)
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

    def _take_out(self, ticket: int) -> _Waiting | None:
        return self._waiting_by_ticket.pop(ticket, None)

    def _replay(self, packet: Packet, request: Message, begun: Begun) -> None:
        self._parts.metrics.count('replayed')
        if isinstance(begun, Running):
            # No empty ACK: the answer itself comes as one, and the caller's
            # next copy gets it should that be lost.
            return
        payload = told_again(request, begun)
        if payload is not None:
            self._replies.send(packet, payload)
