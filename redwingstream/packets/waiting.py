"""New flows that wait a moment for the server beside an agent."""

from collections import OrderedDict

import attrs

from redwingstream.packets.envelopes import Envelope
from redwingstream.packets.flow import FlowId, Head

MAX_HELD = 512
"""New flows that wait at once; more cannot be served within a second."""


@attrs.frozen
class Held:
    """A new flow that waits.

    Parameters
    ----------
    envelope : Envelope
        With which its opening packet came.
    head : Head
        Of that packet.
    since : float
        When it came.
    """

    envelope: Envelope
    head: Head
    since: float


class WaitingRoom:
    """New flows that wait, in the order in which they came."""

    def __init__(self) -> None:
        self._held_by_flow: OrderedDict[FlowId, Held] = OrderedDict()

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._held_by_flow)

    def __contains__(self, flow: FlowId) -> bool:
        """Whether a flow waits."""
        return flow in self._held_by_flow

    @property
    def is_full(self) -> bool:
        """Whether no more may wait."""
        return len(self._held_by_flow) >= MAX_HELD

    def add(self, flow: FlowId, held: Held) -> None:
        """Let a flow wait."""
        self._held_by_flow[flow] = held

    def first(self) -> Held | None:
        """Return the flow that has waited longest; None when none waits."""
        return next(iter(self._held_by_flow.values()), None)

    def pop(self) -> Held:
        """Remove the flow that has waited longest."""
        return self._held_by_flow.popitem(last=False)[1]
