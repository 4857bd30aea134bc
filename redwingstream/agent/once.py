"""Non-idempotent requests at their home: at most one run each.

The order is: ledger, place on a server, record at home and heir, run.  Whatever
goes wrong before the run ends as *not run*; whatever after it, as *unknown*.
"""

import attrs
from aiocoap.message import Message

from redwingstream.agent.assignments import Assignments
from redwingstream.agent.carrier import Carrier, Slot
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.runs import Run, RunEnd, deadline_of, key_of
from redwingstream.errors import ResultCode
from redwingstream.forwarding.messages import Packet, RunOutcome
from redwingstream.placement.effects import Effect
from redwingstream.placement.messages import BucketContents
from redwingstream.requests.begun import Fresh, Running
from redwingstream.requests.checksum import request_checksum
from redwingstream.requests.outcomes import told_again
from redwingstream.requests.records import RequestKey, RequestState

RECORD_TIMEOUT = 2.0
"""Seconds that the heir may take to acknowledge; after that: not run."""


@attrs.frozen(eq=False)
class _Waiting:
    """A request that is being recorded.

    ``slot`` is a place on the own server; without one it goes to ``carrier``.
    """

    run: Run
    slot: Slot | None
    carrier: str


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
    """

    def __init__(
        self,
        parts: AgentParts,
        replies: Replies,
        carrier: Carrier,
        assignments: Assignments,
    ) -> None:
        self._parts = parts
        self._replies = replies
        self._carrier = carrier
        self._assignments = assignments
        self._waiting_by_ticket: dict[int, _Waiting] = {}

    def __len__(self) -> int:
        """Return how many requests are being recorded."""
        return len(self._waiting_by_ticket)

    def take(
        self, packet: Packet, request: Message, bucket: int, now: float
    ) -> list[Effect]:
        """Take a request whose home this agent is.

        Returns
        -------
        list of Effect
            Of the keeper, for the core to carry out.
        """
        checksum = request_checksum(request)
        key = key_of(packet, request)
        begun = self._parts.store.ledger.begin(bucket, key, checksum, now)
        if not isinstance(begun, Fresh):
            self._replay(packet, request, begun)
            return []
        self._parts.budget.fresh()
        run = Run(packet, request, bucket, deadline_of(request, now), checksum)
        slot = self._carrier.reserve(now)
        carrier = '' if slot else self._assignments.choose(now)
        if not slot and not carrier:
            self._end_unrecorded(run, ResultCode.OVERLOADED, now)
            return []
        return self._record(_Waiting(run, slot, carrier), now)

    def recorded(self, ticket: int, now: float) -> bool:
        """Run a request that home and heir hold; False if it is none."""
        waiting = self._waiting_by_ticket.pop(ticket, None)
        if waiting is None:
            return False
        if waiting.slot is not None:
            self._carrier.start(waiting.run, waiting.slot, now)
        else:
            self._assignments.start(waiting.run, waiting.carrier, now)
        return True

    def refused(
        self, ticket: int, reason: ResultCode, now: float
    ) -> list[Effect]:
        """End a request that must not run here."""
        waiting = self._waiting_by_ticket.pop(ticket, None)
        if waiting is None:
            return []
        if waiting.slot is not None:
            self._carrier.release(waiting.slot, now)
        run = waiting.run
        if reason in {ResultCode.RECOVERING, ResultCode.OUTCOME_UNKNOWN}:
            # It may be the replay of a request that a lost home has run.
            answer = self._replies.unknown(run.request)
            return self.ended(RunEnd(run, RequestState.UNKNOWN, answer), now)
        self._end_unrecorded(run, reason, now)
        return []

    def ended(self, end: RunEnd, now: float) -> list[Effect]:
        """Take the end of a run: remember it, answer, tell the heir."""
        run = end.run
        ledger = self._parts.store.ledger
        ledger.finish(run.key, run.checksum, end.state, end.answer, now)
        self._replies.send(run.packet, end.answer)
        return self._tell_heir(run, now)

    def outcome(self, outcome: RunOutcome, now: float) -> list[Effect]:
        """Take the outcome of a run at another agent."""
        run = self._assignments.finish(outcome.key)
        if run is None:
            self._parts.metrics.count('outcome_late')
            return []
        return self.ended(RunEnd(run, outcome.state, outcome.answer), now)

    def tick(self, now: float) -> list[Effect]:
        """Repeat assignments; end those whose carrier does not answer."""
        effects: list[Effect] = []
        for run in self._assignments.tick(now):
            answer = self._replies.unknown(run.request)
            end = RunEnd(run, RequestState.UNKNOWN, answer)
            effects.extend(self.ended(end, now))
        return effects

    def is_running(self, key: RequestKey) -> bool:
        """Whether a request waits for another agent's outcome."""
        return self._assignments.has(key)

    def _replay(self, packet: Packet, request: Message, begun: object) -> None:
        self._parts.metrics.count('replayed')
        if isinstance(begun, Running):
            # No empty ACK: the answer itself comes as one, and the caller's
            # next copy gets it should that be lost.
            return
        payload = told_again(request, begun)
        if payload is not None:
            self._replies.send(packet, payload)

    def _record(self, waiting: _Waiting, now: float) -> list[Effect]:
        run = waiting.run
        entry = self._parts.store.ledger.entry(run.key, run.checksum, now)
        contents = BucketContents(entries=(entry,) if entry else ())
        give_up_at = min(run.deadline, now + RECORD_TIMEOUT)
        ticket, effects = self._parts.keeper.record(
            run.bucket, contents, now, give_up_at
        )
        self._waiting_by_ticket[ticket] = waiting
        return effects

    def _end_unrecorded(self, run: Run, reason: ResultCode, now: float) -> None:
        answer = self._replies.not_run(run.request, reason, now)
        ledger = self._parts.store.ledger
        ledger.abandon(run.key, run.checksum, answer, now)
        self._replies.send(run.packet, answer)

    def _tell_heir(self, run: Run, now: float) -> list[Effect]:
        """Pass the outcome on, so that a replay finds it after a failure.

        Nothing waits for it: without it a replay gets *unknown*.
        """
        entry = self._parts.store.ledger.entry(run.key, run.checksum, now)
        if entry is None:
            return []
        contents = BucketContents(entries=(entry,))
        _, effects = self._parts.keeper.record(
            run.bucket, contents, now, now + RECORD_TIMEOUT
        )
        return effects
