"""Replays of requests that the former home of their bucket is still running.

After a planned change of view the new home holds the record of a request, while
the former home still waits for its server's answer.  Answering a replay as
*unknown* would hide an answer that is about to arrive.  So the replay waits for
the outcome, as long as the former home is alive and the request can still be
running.
"""

import attrs

from redwingstream.agent.parts import AgentParts
from redwingstream.agent.runs import MAX_REQUEST_SECONDS, Run
from redwingstream.requests.records import LedgerEntry, RequestState
from redwingstream.requests.slots import Identity

MAX_RUN_SECONDS = MAX_REQUEST_SECONDS + 1
"""Seconds after which the outcome of a request is not expected any more."""


@attrs.frozen(eq=False)
class _Awaited:
    run: Run
    expires_at: float


class AwaitedOutcomes:
    """Replays that wait for an outcome from the former home of their bucket.

    Parameters
    ----------
    parts : AgentParts
        State that the modules of the agent share.
    """

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts
        self._awaited_by_identity: dict[Identity, _Awaited] = {}

    def try_add(self, run: Run, now: float) -> bool:
        """Let a replay wait; return False when no outcome can be expected."""
        if run.identity in self._awaited_by_identity:
            return True
        entry = self._find_entry(run, now)
        if entry is None or entry.state is not RequestState.STARTED:
            return False
        remaining = MAX_RUN_SECONDS - entry.age
        if remaining <= 0 or not self._is_expected(run, now):
            return False
        awaited = _Awaited(run, now + remaining)
        self._awaited_by_identity[run.identity] = awaited
        return True

    def pop(self, identity: Identity) -> Run | None:
        """Remove and return the replay that waits for a request, if any."""
        awaited = self._awaited_by_identity.pop(identity, None)
        return None if awaited is None else awaited.run

    def pop_hopeless(self, now: float) -> list[Run]:
        """Remove and return the replays whose outcome will not arrive."""
        hopeless = [
            awaited.run
            for awaited in self._awaited_by_identity.values()
            if now >= awaited.expires_at
            or not self._is_expected(awaited.run, now)
        ]
        for run in hopeless:
            self._awaited_by_identity.pop(run.identity)
        return hopeless

    def _is_expected(self, run: Run, now: float) -> bool:
        former = self._parts.former_home_of(run.bucket)
        return bool(former) and not self._parts.is_carrier_silent(former, now)

    def _find_entry(self, run: Run, now: float) -> LedgerEntry | None:
        ledger = self._parts.store.ledger
        return ledger.find_entry(run.key, run.checksum, now)
