"""Non-idempotent requests at their home: at most one run each.

The order is: ledger, place on a server, record at home and heir, run.  Whatever
goes wrong before the run ends as *not run*; whatever after it, as *unknown*.
While the bucket is not in effect here, a request that looks new may be the
replay of one that an earlier home has run, so nothing is called *not run* then.
"""

import functools

import attrs
from aiocoap.message import Message

from redwingstream.agent.assignments import Assignments
from redwingstream.agent.carrier import Carrier, Slot
from redwingstream.agent.elsewhere import RunsElsewhere
from redwingstream.agent.parts import AgentParts, PerformEffects
from redwingstream.agent.replies import Replies
from redwingstream.agent.runs import Run, RunEnd, deadline_of, key_of
from redwingstream.agent.waiting import Waiter
from redwingstream.errors import ResultCode
from redwingstream.forwarding.messages import Packet, RunOutcome
from redwingstream.placement.effects import InEffect
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
from redwingstream.requests.records import LedgerEntry, RequestState

RECORD_TIMEOUT = 4.5
"""Seconds that a record may take; after that: not run.

Longer than control needs to replace a dead heir (lease of 3 s), so that a
request is run under the next view rather than refused.
"""

SLOT_PATIENCE = 0.1
"""Seconds after which a slot is given back while the heir is silent."""

OUTCOME_TIMEOUT = 10.0

_REPEATABLE = frozenset((RequestState.ANSWERED, RequestState.NOT_RUN))


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


class OnceRequests:
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
    perform : callable
        Carries out what the keeper asks for.
    """

    def __init__(
        self,
        parts: AgentParts,
        replies: Replies,
        carrier: Carrier,
        assignments: Assignments,
        perform: PerformEffects,
    ) -> None:
        self._parts = parts
        self._ledger = parts.store.ledger
        self._replies = replies
        self._carrier = carrier
        self._assignments = assignments
        self._perform = perform
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
        key = key_of(packet, request)
        begun = self._ledger.begin(bucket, key, checksum, now)
        run = Run(packet, request, bucket, deadline_of(request, now), checksum)
        match begun:
            case Fresh() if self._is_sure(bucket):
                self._parts.budget.fresh()
                self._place(run, now)
            case Fresh():
                self._end_unknown(run, now)
            case Full() if not self._is_sure(bucket):
                self._replies.send(packet, self._replies.unknown(request))
            case OutcomeUnknown(b'') if self._elsewhere.wait(run, now):
                self._parts.metrics.count('run_elsewhere')
            case _:
                self._replay(packet, request, begun)

    def recorded(self, ticket: int, now: float) -> bool:
        """Run a request that home and heir hold; False if it is none."""
        waiting = self._take_out(ticket)
        if waiting is None:
            return False
        self._parts.store.release(waiting.run.identity)
        self._launch(waiting, now)
        return True

    def refused(self, ticket: int, reason: ResultCode, now: float) -> None:
        """End a request that must not run here."""
        waiting = self._take_out(ticket)
        if waiting is None:
            return
        if waiting.slot is not None:
            self._carrier.release(waiting.slot, now)
        run = waiting.run
        if reason is ResultCode.OUTCOME_UNKNOWN:
            self._tell_what_is_known(run, now)
        elif reason is ResultCode.RECOVERING:
            # It may be the replay of a request that a lost home has run.
            self._end_unknown(run, now)
        elif self._is_sure(run.bucket):
            self._parts.store.release(run.identity)
            self._end_unrecorded(run, reason, now)
        else:
            self._hand_on(run, now)

    def ended(self, end: RunEnd, now: float) -> None:
        """Take the end of a run: remember it, answer, tell the heir."""
        run = end.run
        self._ledger.finish(run.key, run.checksum, end.state, end.answer, now)
        self._replies.send(run.packet, end.answer)
        if self._is_sure(run.bucket):
            self._tell_heir(run, now)
        else:
            self._tell_next_home(end)

    def outcome(self, outcome: RunOutcome, now: float) -> None:
        """Take the outcome of a run at another agent."""
        identity = (outcome.key, outcome.checksum)
        run = self._assignments.finish(identity)
        if run is not None:
            self.ended(RunEnd(run, outcome.state, outcome.answer), now)
            return
        # Of a run that an earlier home has begun: its replays find it here.
        self._parts.metrics.count('outcome_late')
        if self._ledger.entry(*identity) is not None:
            self._ledger.finish(*identity, outcome.state, outcome.answer, now)
        replay = self._elsewhere.take_out(identity)
        if replay is not None:
            self._tell_what_is_known(replay, now)

    def tick(self, now: float) -> None:
        """Repeat assignments; end those whose carrier does not answer."""
        given_up = self._assignments.tick(now)
        given_up.extend(self._elsewhere.take_hopeless(now))
        for run in given_up:
            self._end_unknown(run, now)
        for waiting in self._waiting_by_ticket.values():
            is_slow = now - waiting.since > SLOT_PATIENCE
            if waiting.slot is not None and is_slow:
                # A dead heir would otherwise keep the server idle.
                self._carrier.release(waiting.slot, now)
                waiting.slot = None

    def give_up(self, now: float) -> None:
        """End all that has no outcome: the process stops."""
        for ticket in list(self._waiting_by_ticket):
            waiting = self._take_out(ticket)
            if waiting is not None:
                # The heir may hold its record, and may be asked for it.
                self._end_unknown(waiting.run, now)
        for run in self._assignments.take_all():
            self._end_unknown(run, now)

    def known_answer(
        self, packet: Packet, request: Message
    ) -> LedgerEntry | None:
        """Return what is surely known of a request, also by an heir."""
        key = key_of(packet, request)
        entry = self._ledger.entry(key, request_checksum(request))
        if entry is None or entry.state not in _REPEATABLE:
            return None
        return entry if entry.answer else None

    def _is_sure(self, bucket: int) -> bool:
        """Whether the ledger knows of every earlier run in the bucket."""
        return isinstance(self._parts.keeper.status(bucket), InEffect)

    def _place(self, run: Run, now: float) -> None:
        slot = self._carrier.reserve(now)
        carrier = '' if slot else self._assignments.choose(now)
        if slot or carrier:
            self._record(_Waiting(run, now, slot, carrier), now)
            return
        waiter = Waiter(
            run.deadline,
            functools.partial(self._admitted, run),
            functools.partial(self._not_admitted, run),
        )
        if not self._carrier.room.enter(waiter, now):
            self._not_admitted(run, now)

    def _admitted(self, run: Run, now: float) -> bool:
        slot = self._carrier.reserve(now)
        if slot is None:
            return False
        if self._is_sure(run.bucket):
            self._record(_Waiting(run, now, slot), now)
        else:
            self._carrier.release(slot, now)
            self._hand_on(run, now)
        return True

    def _not_admitted(self, run: Run, now: float) -> None:
        if self._is_sure(run.bucket):
            self._end_unrecorded(run, ResultCode.OVERLOADED, now)
        else:
            self._hand_on(run, now)

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

    def _launch(self, waiting: _Waiting, now: float) -> None:
        run = waiting.run
        slot = waiting.slot
        if slot is None and not waiting.carrier:
            slot = self._carrier.reserve(now)
        if slot is not None:
            self._carrier.start(run, slot, now)
            return
        carrier = waiting.carrier or self._assignments.choose(now)
        if carrier:
            self._assignments.start(run, carrier, now)
            return
        request = run.request
        answer = self._replies.not_run(request, ResultCode.OVERLOADED, now)
        self.ended(RunEnd(run, RequestState.NOT_RUN, answer), now)

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

    def _hand_on(self, run: Run, now: float) -> None:
        """Let the next home decide on what surely has not run here.

        Notes
        -----
        To say *not run* would be false if a duplicate of the packet has
        reached the next home.  What is kept here is *unknown*, and withheld
        from the next home, which would otherwise have to say so too.
        """
        home = self._parts.home_of(run.bucket)
        if home is None or self._parts.is_me(home):
            self._end_unknown(run, now)
            return
        self._parts.metrics.count('handed_on')
        self._parts.store.withhold(run.identity)
        unknown = RequestState.UNKNOWN
        self._ledger.finish(run.key, run.checksum, unknown, b'', now)
        self._parts.out.to_peer(home.endpoint, run.packet)

    def _tell_what_is_known(self, run: Run, now: float) -> None:
        """Answer a request that another home has recorded meanwhile."""
        self._parts.store.release(run.identity)
        entry = self.known_answer(run.packet, run.request)
        if entry is None:
            self._end_unknown(run, now)
            return
        self._ledger.finish(
            run.key, run.checksum, entry.state, entry.answer, now
        )
        self._replies.send(run.packet, entry.answer)

    def _end_unknown(self, run: Run, now: float) -> None:
        answer = self._replies.unknown(run.request)
        self.ended(RunEnd(run, RequestState.UNKNOWN, answer), now)

    def _end_unrecorded(self, run: Run, reason: ResultCode, now: float) -> None:
        answer = self._replies.not_run(run.request, reason, now)
        self._ledger.abandon(run.key, run.checksum, answer, now)
        self._replies.send(run.packet, answer)

    def _tell_heir(self, run: Run, now: float) -> None:
        """Pass the outcome on, so that a replay finds it after a failure.

        Nothing waits for it: without it a replay gets *unknown*.
        """
        entry = self._ledger.entry(run.key, run.checksum, now)
        if entry is None:
            return
        contents = BucketContents(entries=(entry,))
        _, effects = self._parts.keeper.record(
            run.bucket, contents, now, now + OUTCOME_TIMEOUT
        )
        self._perform(effects, now)

    def _tell_next_home(self, end: RunEnd) -> None:
        home = self._parts.home_of(end.run.bucket)
        if home is not None and not self._parts.is_me(home):
            self._parts.out.to_peer(home.endpoint, end.as_outcome())
