"""Which agents a balancer has sent a new flow to."""

import attrs

from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.flow import Address, FlowId
from redwingstream.packets.trust import Trust

MAX_OPENING = 20000
"""New flows that wait for an answer; a caller gives up after 1.4 s."""

OPENING_SECONDS = 2
"""A caller sends its last copy 0.6 s after the first packet and gives up after
1.4 s."""


@attrs.frozen
class _Try:
    """An agent that was sent an opening packet, and when."""

    agent: Address
    sent_at: float


@attrs.define
class _Opening:
    """A new flow that no agent has taken yet."""

    tries: list[_Try] = attrs.field(factory=list)
    is_answered: bool = False


class Tries:
    """The agents that were sent the new flows of the last seconds.

    Parameters
    ----------
    trust : Trust
        Learns which of them did not answer.
    """

    def __init__(self, trust: Trust) -> None:
        self._trust = trust
        self._opening: BoundedTable[FlowId, _Opening] = BoundedTable(
            MAX_OPENING, OPENING_SECONDS
        )

    def tried(self, flow: FlowId, now: float) -> tuple[Address, ...]:
        """Return the agents that were sent a flow; doubt those still silent."""
        opening = self._opening.get(flow, now)
        if opening is None:
            return ()
        if not opening.is_answered:
            self._doubt_silent(opening, now)
        return tuple(one.agent for one in opening.tries)

    def note_sent(self, flow: FlowId, agent: Address, now: float) -> None:
        """An agent was sent a new flow."""
        opening = self._opening.get(flow, now)
        if opening is None:
            opening = _Opening()
            self._opening.put(flow, opening, now)
        opening.tries.append(_Try(agent, now))
        self._trust.note_sent(agent, now)

    def note_passed(self, flow: FlowId, agent: Address, now: float) -> None:
        """An agent was passed a flow that was sent to another one."""
        if self._opening.get(flow, now) is not None:
            self.note_sent(flow, agent, now)

    def note_answered(self, flow: FlowId, now: float) -> None:
        """An agent carries a flow, or holds it."""
        opening = self._opening.get(flow, now)
        if opening is not None:
            opening.is_answered = True

    def forget_old(self, now: float) -> None:
        """Forget flows whose callers have given up."""
        self._opening.forget_old(now)

    def _doubt_silent(self, opening: _Opening, now: float) -> None:
        for one in opening.tries:
            if not self._trust.heard_since(one.agent, one.sent_at):
                self._trust.doubt(one.agent, now)
