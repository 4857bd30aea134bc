"""Agents to which a balancer has sent the opening packets of new flows."""

import attrs

from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.flow import Address, FlowId
from redwingstream.packets.trust import Trust

MAX_OPENING = 20000
"""Maximum number of new flows without an answer that are remembered; a caller
gives up after 1.4 s."""

OPENING_SECONDS = 2
"""Seconds for which a new flow is remembered.  A caller sends its last copy
0.6 s after the first packet and gives up after 1.4 s."""


@attrs.frozen
class _Attempt:
    """An agent and the time at which it was sent an opening packet."""

    agent: Address
    sent_at: float


@attrs.define
class _Opening:
    """A new flow, and the agents that were sent it."""

    attempts: list[_Attempt] = attrs.field(factory=list)
    is_answered: bool = False


class OpeningAttempts:
    """Agents that were sent the new flows of the last seconds.

    Parameters
    ----------
    trust : Trust
        Is told of the agents that did not answer.
    """

    def __init__(self, trust: Trust) -> None:
        self._trust = trust
        self._opening: BoundedTable[FlowId, _Opening] = BoundedTable(
            MAX_OPENING, OPENING_SECONDS
        )

    def tried_agents(self, flow: FlowId, now: float) -> tuple[Address, ...]:
        """Return the agents that were sent a flow; doubt silent ones."""
        opening = self._opening.get(flow, now)
        if opening is None:
            return ()
        if not opening.is_answered:
            self._doubt_silent(opening, now)
        return tuple(one.agent for one in opening.attempts)

    def record_sent(self, flow: FlowId, agent: Address, now: float) -> None:
        """Record that a new flow was sent to an agent."""
        opening = self._opening.get(flow, now)
        if opening is None:
            opening = _Opening()
            self._opening.put(flow, opening, now)
        opening.attempts.append(_Attempt(agent, now))
        self._trust.record_sent(agent, now)

    def record_passed(self, flow: FlowId, agent: Address, now: float) -> None:
        """Record that an agent has passed a new flow on to another agent."""
        if self._opening.get(flow, now) is not None:
            self.record_sent(flow, agent, now)

    def record_answered(self, flow: FlowId, now: float) -> None:
        """Record that an agent carries a flow or lets it wait."""
        opening = self._opening.get(flow, now)
        if opening is not None:
            opening.is_answered = True

    def evict_expired(self, now: float) -> None:
        """Evict flows whose callers have given up."""
        self._opening.evict_expired(now)

    def _doubt_silent(self, opening: _Opening, now: float) -> None:
        full_at = self._trust.link_full_at(now)
        for one in opening.attempts:
            if one.sent_at <= full_at:
                continue
            if not self._trust.heard_since(one.agent, one.sent_at):
                self._trust.doubt(one.agent, now)
