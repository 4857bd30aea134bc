"""Ends non-idempotent requests at their home.

A home owns the bucket of a request; its heir is the replica of the bucket.
The outcome is kept in the ledger, sent to the caller, and passed to the heir
or to the next home, so that a replay of the request gets the same answer.
"""

from aiocoap.message import Message

from redwingstream.agent.effects import PerformKeeperEffects
from redwingstream.agent.parts import AgentParts
from redwingstream.agent.replies import Replies
from redwingstream.agent.runs import Run, RunEnd, request_key
from redwingstream.errors import ResultCode
from redwingstream.forwarding.messages import Packet
from redwingstream.placement.effects import InEffect
from redwingstream.placement.messages import BucketContents
from redwingstream.requests.checksum import request_checksum
from redwingstream.requests.records import LedgerEntry, RequestState

OUTCOME_TIMEOUT = 10.0
"""Seconds to wait for the heir to acknowledge an outcome."""

_REPEATABLE_STATES = frozenset((RequestState.ANSWERED, RequestState.NOT_RUN))


class RequestEndings:
    """Ends requests so that every agent answers a replay in the same way.

    Parameters
    ----------
    parts : AgentParts
        State and decision objects of the agent.
    replies : Replies
        Builds and sends final answers.
    perform : callable
        Performs effects of the bucket keeper.
    """

    def __init__(
        self, parts: AgentParts, replies: Replies, perform: PerformKeeperEffects
    ) -> None:
        self._parts = parts
        self._ledger = parts.store.ledger
        self._replies = replies
        self._perform = perform

    def is_ledger_complete(self, bucket: int) -> bool:
        """Whether the ledger holds every earlier run of the bucket."""
        return isinstance(self._parts.keeper.status(bucket), InEffect)

    def handle_run_end(self, end: RunEnd, now: float) -> None:
        """Record the end of a run, answer the caller and notify the heir."""
        run = end.run
        self._ledger.finish(run.key, run.checksum, end.state, end.answer, now)
        self._replies.send(run.packet, end.answer)
        if self.is_ledger_complete(run.bucket):
            self._notify_heir(run, now)
        else:
            self._notify_next_home(end)

    def end_unknown(self, run: Run, now: float) -> None:
        """End a request as *unknown*: it may have run."""
        self._parts.store.release(run.identity)
        answer = self._replies.unknown(run.request)
        self.handle_run_end(RunEnd(run, RequestState.UNKNOWN, answer), now)

    def end_unrecorded(self, run: Run, reason: ResultCode, now: float) -> None:
        """End a request as *not run*, as no heir has acknowledged it."""
        answer = self._replies.not_run(run.request, reason, now)
        self._ledger.abandon(run.key, run.checksum, answer, now)
        self._replies.send(run.packet, answer)

    def forward_to_next_home(self, run: Run, now: float) -> None:
        """Forward a request that has not run here to the next home.

        Notes
        -----
        The answer *not run* would be false if a duplicate of the packet has
        reached the next home.  The ledger here keeps *unknown*, but this entry
        is withheld from the next home, which would otherwise have to answer
        *unknown* too.
        """
        home = self._parts.home_of(run.bucket)
        if home is None or self._parts.is_this_agent(home):
            self.end_unknown(run, now)
            return
        self._parts.metrics.count('handed_on')
        self._parts.store.withhold(run.identity)
        unknown = RequestState.UNKNOWN
        self._ledger.finish(run.key, run.checksum, unknown, b'', now)
        self._parts.out.to_peer(home.endpoint, run.packet)

    def answer_from_ledger(self, run: Run, now: float) -> None:
        """Answer a request that another home has recorded in the meantime."""
        self._parts.store.release(run.identity)
        entry = self.find_known_answer(run.packet, run.request)
        if entry is None:
            self.end_unknown(run, now)
            return
        self._ledger.finish(
            run.key, run.checksum, entry.state, entry.answer, now
        )
        self._replies.send(run.packet, entry.answer)

    def find_known_answer(
        self, packet: Packet, request: Message
    ) -> LedgerEntry | None:
        """Return the final outcome of a request, if the ledger holds one.

        An heir may use it as well.
        """
        key = request_key(packet, request)
        entry = self._ledger.find_entry(key, request_checksum(request))
        if entry is None or entry.state not in _REPEATABLE_STATES:
            return None
        return entry if entry.answer else None

    def _notify_heir(self, run: Run, now: float) -> None:
        """Send the outcome to the heir, for replays after a failure.

        Nothing waits for the acknowledgement: if the message is lost, a replay
        at the heir gets *unknown*.
        """
        entry = self._ledger.find_entry(run.key, run.checksum, now)
        if entry is None:
            return
        contents = BucketContents(entries=(entry,))
        _, effects = self._parts.keeper.record(
            run.bucket, contents, now, now + OUTCOME_TIMEOUT
        )
        self._perform(effects, now)

    def _notify_next_home(self, end: RunEnd) -> None:
        home = self._parts.home_of(end.run.bucket)
        if home is not None and not self._parts.is_this_agent(home):
            self._parts.out.to_peer(home.endpoint, end.as_outcome())
