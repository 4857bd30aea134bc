"""How non-idempotent requests end: told, remembered, passed on."""

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

_REPEATABLE = frozenset((RequestState.ANSWERED, RequestState.NOT_RUN))


class RequestEndings:
    """Ends requests so that whoever is asked later says the same.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    replies : Replies
        Builds and sends final answers.
    perform : callable
        Carries out what the keeper asks for.
    """

    def __init__(
        self, parts: AgentParts, replies: Replies, perform: PerformKeeperEffects
    ) -> None:
        self._parts = parts
        self._ledger = parts.store.ledger
        self._replies = replies
        self._perform = perform

    def is_ledger_complete(self, bucket: int) -> bool:
        """Whether the ledger knows of every earlier run in the bucket."""
        return isinstance(self._parts.keeper.status(bucket), InEffect)

    def handle_run_end(self, end: RunEnd, now: float) -> None:
        """Take the end of a run: remember it, answer, tell the heir."""
        run = end.run
        self._ledger.finish(run.key, run.checksum, end.state, end.answer, now)
        self._replies.send(run.packet, end.answer)
        if self.is_ledger_complete(run.bucket):
            self._tell_heir(run, now)
        else:
            self._tell_next_home(end)

    def end_unknown(self, run: Run, now: float) -> None:
        """Tell that a request may have run, and remember it so."""
        self._parts.store.release(run.identity)
        answer = self._replies.unknown(run.request)
        self.handle_run_end(RunEnd(run, RequestState.UNKNOWN, answer), now)

    def end_unrecorded(self, run: Run, reason: ResultCode, now: float) -> None:
        """Tell that a request has not run that no heir has acknowledged."""
        answer = self._replies.not_run(run.request, reason, now)
        self._ledger.abandon(run.key, run.checksum, answer, now)
        self._replies.send(run.packet, answer)

    def forward_to_next_home(self, run: Run, now: float) -> None:
        """Let the next home decide on what surely has not run here.

        Notes
        -----
        To say *not run* would be false if a duplicate of the packet has
        reached the next home.  What is kept here is *unknown*, and withheld
        from the next home, which would otherwise have to say so too.
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
        """Answer a request that another home has recorded meanwhile."""
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
        """Return what is surely known of a request, also by an heir."""
        key = request_key(packet, request)
        entry = self._ledger.entry(key, request_checksum(request))
        if entry is None or entry.state not in _REPEATABLE:
            return None
        return entry if entry.answer else None

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
        if home is not None and not self._parts.is_this_agent(home):
            self._parts.out.to_peer(home.endpoint, end.as_outcome())
