"""Requests that a home has another agent run."""

import attrs

from redwingstream.agent.parts import AgentParts, carrier_name
from redwingstream.agent.runs import Run
from redwingstream.forwarding.messages import Assigned
from redwingstream.requests.slots import Identity

REPEAT_AFTER = 0.25
MAX_COPIES = 4
OUTCOME_GRACE = 1.0
"""Seconds after its deadline in which an outcome may still arrive."""


@attrs.define(eq=False)
class _Assignment:
    run: Run
    message: Assigned
    carrier: str
    endpoint: str
    sent_at: float
    copies: int = 1


class OutgoingAssignments:
    """Runs at other agents, repeated until their outcome comes.

    Parameters
    ----------
    parts : AgentParts
        The agent.

    Notes
    -----
    Repeating guards against a lost datagram, which would leave a request
    *unknown* that was never run.  It is safe because the carrier knows what it
    was assigned, and another run of it refuses the assignment.
    """

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts
        self._assignment_by_identity: dict[Identity, _Assignment] = {}

    def __len__(self) -> int:
        """Return how many outcomes are awaited."""
        return len(self._assignment_by_identity)

    def choose_carrier(self, now: float) -> str:
        """Return a carrier with room, or an empty text."""
        exclude = frozenset((self._parts.identity.host,))
        return self._carrier_at(self._parts.loads.choose(exclude, now))

    def choose_carrier_for_open_feed(self, now: float) -> str:
        """Return a carrier for a feed that goes on, with or without room."""
        exclude = frozenset((self._parts.identity.host,))
        loads = self._parts.loads
        return self._carrier_at(loads.choose_for_open_feed(exclude, now))

    def start(self, run: Run, carrier: str, now: float) -> None:
        """Have a carrier run a request."""
        endpoint = self._parts.endpoint_of_carrier(carrier)
        incarnation = int(carrier.rpartition('#')[2])
        message = Assigned(
            packet=run.packet,
            home=self._parts.identity.endpoint,
            generation=0,
            carrier_incarnation=incarnation,
            wants_outcome=True,
        )
        assignment = _Assignment(run, message, carrier, endpoint or '', now)
        self._assignment_by_identity[run.identity] = assignment
        self._send(assignment, now)

    def finish(self, identity: Identity) -> Run | None:
        """Take out a request whose outcome has come."""
        assignment = self._assignment_by_identity.pop(identity, None)
        return None if assignment is None else assignment.run

    def take_all(self) -> list[Run]:
        """Take out all requests: nobody will wait for them any more."""
        assignments = list(self._assignment_by_identity.values())
        self._assignment_by_identity.clear()
        return [assignment.run for assignment in assignments]

    def tick(self, now: float) -> list[Run]:
        """Repeat what is due; take out what no outcome is expected of.

        That is what is past its deadline, and what a run of an agent had that
        control has removed.
        """
        late = []
        for identity, assignment in list(self._assignment_by_identity.items()):
            if self._is_hopeless(assignment, now):
                self._assignment_by_identity.pop(identity)
                late.append(assignment.run)
            elif self._is_due(assignment, now):
                self._repeat(assignment, now)
        return late

    def _repeat(self, assignment: _Assignment, now: float) -> None:
        """Send an assignment again, within the budget for repeats.

        Without the budget agents that answer late for want of time would be
        sent each request four times, and answer later still.
        """
        assignment.copies += 1
        if self._parts.budget.try_retry():
            self._send(assignment, now)
        else:
            assignment.sent_at = now
            self._parts.metrics.count('repeat_spared')

    def _is_hopeless(self, assignment: _Assignment, now: float) -> bool:
        if self._parts.endpoint_of_carrier(assignment.carrier) is None:
            return True
        return now > assignment.run.deadline + OUTCOME_GRACE

    def _carrier_at(self, host: str | None) -> str:
        member = self._parts.tables.member_by_host.get(host or '')
        if member is None or self._parts.tables.is_zone_out(member.zone):
            return ''
        return carrier_name(member.host, member.incarnation)

    def _is_due(self, assignment: _Assignment, now: float) -> bool:
        is_spent = assignment.copies >= MAX_COPIES
        return not is_spent and now - assignment.sent_at >= REPEAT_AFTER

    def _send(self, assignment: _Assignment, now: float) -> None:
        assignment.sent_at = now
        if assignment.endpoint:
            self._parts.out.to_peer(assignment.endpoint, assignment.message)
