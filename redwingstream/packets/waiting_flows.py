"""New flows that wait for the server beside an agent."""

from collections import OrderedDict

import attrs

from redwingstream.packets.envelopes import Envelope
from redwingstream.packets.flow import FlowId, Head

MAX_WAITING_FLOWS = 512
"""Maximum number of waiting flows; more cannot be served within a second."""


@attrs.frozen
class WaitingFlow:
    """A new flow that waits.

    Parameters
    ----------
    envelope : Envelope
        Envelope of its opening packet.
    head : Head
        Header of that packet.
    late_at : float
        Time in seconds from which it can hardly be answered in time.
    refuse_at : float
        Time in seconds from which it does not wait any longer.
    """

    envelope: Envelope
    head: Head
    late_at: float
    refuse_at: float

    def is_late(self, now: float) -> bool:
        """Whether it can hardly be answered in time any more."""
        return now > self.late_at


class WaitingFlows:
    """New flows that wait, in the order of their arrival."""

    def __init__(self) -> None:
        self._waiting_by_flow: OrderedDict[FlowId, WaitingFlow] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of waiting flows."""
        return len(self._waiting_by_flow)

    def __contains__(self, flow: FlowId) -> bool:
        """Whether a flow waits."""
        return flow in self._waiting_by_flow

    @property
    def is_full(self) -> bool:
        """Whether the maximum number of flows waits."""
        return len(self._waiting_by_flow) >= MAX_WAITING_FLOWS

    def add(self, flow: FlowId, held: WaitingFlow) -> None:
        """Add a flow at the end."""
        self._waiting_by_flow[flow] = held

    def newest(self) -> WaitingFlow | None:
        """Return the flow that came last, or None if none waits."""
        return next(reversed(self._waiting_by_flow.values()), None)

    def pop_newest(self) -> WaitingFlow:
        """Remove and return the flow that came last."""
        return self._waiting_by_flow.popitem()[1]

    def pop_oldest(self) -> WaitingFlow:
        """Remove and return the flow that has waited longest."""
        return self._waiting_by_flow.popitem(last=False)[1]

    def pop_overdue(self, now: float) -> list[WaitingFlow]:
        """Remove and return the flows that do not wait any longer."""
        overdue = [
            flow
            for flow, held in self._waiting_by_flow.items()
            if now > held.refuse_at
        ]
        return [self._waiting_by_flow.pop(flow) for flow in overdue]
