"""Requests that the former home of their bucket is still running.

After a planned change the new home holds the record of a request, while the
old one waits for its server's answer.  A replay would be told *unknown* of a
request whose answer is on its way.  So the replay waits for the outcome, for
as long as the former home lives and the request can still be running.
"""

import attrs

from redwingstream.agent.parts import AgentParts
from redwingstream.agent.runs import DEFAULT_DEADLINE, Run
from redwingstream.requests.records import LedgerEntry, RequestState
from redwingstream.requests.slots import Identity

LONGEST_RUN = DEFAULT_DEADLINE + 1


@attrs.frozen(eq=False)
class _Awaited:
    run: Run
    until: float


class RunsElsewhere:
    """Replays that wait for an outcome from a former home.

    Parameters
    ----------
    parts : AgentParts
        The agent.
    """

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts
        self._awaited_by_identity: dict[Identity, _Awaited] = {}

    def wait(self, run: Run, now: float) -> bool:
        """Let a replay wait; False when there is nothing to wait for."""
        if run.identity in self._awaited_by_identity:
            return True
        entry = self._entry(run, now)
        if entry is None or entry.state is not RequestState.STARTED:
            return False
        remaining = LONGEST_RUN - entry.age
        if remaining <= 0 or not self._may_come(run, now):
            return False
        awaited = _Awaited(run, now + remaining)
        self._awaited_by_identity[run.identity] = awaited
        return True

    def take_out(self, identity: Identity) -> Run | None:
        """Return a replay whose outcome is known now."""
        awaited = self._awaited_by_identity.pop(identity, None)
        return None if awaited is None else awaited.run

    def take_hopeless(self, now: float) -> list[Run]:
        """Return the replays whose outcome will not come any more."""
        hopeless = [
            awaited.run
            for awaited in self._awaited_by_identity.values()
            if now >= awaited.until or not self._may_come(awaited.run, now)
        ]
        for run in hopeless:
            self._awaited_by_identity.pop(run.identity)
        return hopeless

    def _may_come(self, run: Run, now: float) -> bool:
        former = self._parts.former_home_of(run.bucket)
        return bool(former) and not self._parts.is_carrier_silent(former, now)

    def _entry(self, run: Run, now: float) -> LedgerEntry | None:
        ledger = self._parts.store.ledger
        return ledger.entry(run.key, run.checksum, now)
