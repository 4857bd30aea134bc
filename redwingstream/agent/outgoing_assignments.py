"""Requests that this agent, as home, has assigned to other agents."""

import attrs

from redwingstream.agent.parts import AgentParts, carrier_name
from redwingstream.agent.runs import Run
from redwingstream.forwarding.messages import Assigned
from redwingstream.requests.slots import Identity

REPEAT_INTERVAL = 0.25
"""Seconds between two copies of an assignment."""

MAX_COPIES = 4
"""Maximum number of copies of an assignment, with the first one."""

OUTCOME_GRACE = 1.0
"""Seconds after the deadline of a request in which its outcome is still
awaited."""


@attrs.define(eq=False)
class _Assignment:
    run: Run
    message: Assigned
    carrier: str
    endpoint: str
    sent_at: float
    copies: int = 1


class OutgoingAssignments:
    """Assigns requests to other agents; repeats this until outcomes arrive.

    Parameters
    ----------
    parts : AgentParts
        State that the modules of the agent share.

    Notes
    -----
    Without repetition a lost datagram would end a request as *unknown* that
    has never run.  Repeating is safe: the carrier knows the requests that it
    was assigned, and a later run of that agent ignores the assignment.
    """

    def __init__(self, parts: AgentParts) -> None:
        self._parts = parts
        self._assignment_by_identity: dict[Identity, _Assignment] = {}

    def __len__(self) -> int:
        """Return the number of outcomes awaited."""
        return len(self._assignment_by_identity)

    def choose_carrier(self, now: float) -> str:
        """Return the name of a carrier with room; empty if there is none."""
        exclude = frozenset((self._parts.identity.host,))
        return self._carrier_at(self._parts.loads.choose(exclude, now))

    def choose_carrier_for_open_feed(self, now: float) -> str:
        """Return the name of a carrier for an established feed, room or not.

        Empty if there is none.
        """
        exclude = frozenset((self._parts.identity.host,))
        loads = self._parts.loads
        return self._carrier_at(loads.choose_for_open_feed(exclude, now))

    def start(self, run: Run, carrier: str, now: float) -> None:
        """Assign a request to a carrier."""
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
        """Remove and return a request whose outcome has arrived."""
        assignment = self._assignment_by_identity.pop(identity, None)
        return None if assignment is None else assignment.run

    def pop_all(self) -> list[Run]:
        """Remove and return all requests; their outcomes are not awaited."""
        assignments = list(self._assignment_by_identity.values())
        self._assignment_by_identity.clear()
        return [assignment.run for assignment in assignments]

    def tick(self, now: float) -> list[Run]:
        """Repeat assignments that are due; remove and return hopeless requests.

        No outcome is expected of a request that is past its deadline, nor of
        one whose carrier the control instances have removed.
        """
        hopeless = []
        for identity, assignment in list(self._assignment_by_identity.items()):
            if self._is_hopeless(assignment, now):
                self._assignment_by_identity.pop(identity)
                hopeless.append(assignment.run)
            elif self._is_due(assignment, now):
                self._repeat(assignment, now)
        return hopeless

    def _repeat(self, assignment: _Assignment, now: float) -> None:
        """Send an assignment again, within the retry budget.

        Without the budget, agents that answer late because of overload would
        get each request four times and answer later still.
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
        return not is_spent and now - assignment.sent_at >= REPEAT_INTERVAL

    def _send(self, assignment: _Assignment, now: float) -> None:
        assignment.sent_at = now
        if assignment.endpoint:
            self._parts.out.to_peer(assignment.endpoint, assignment.message)
