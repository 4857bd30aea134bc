"""The flows that an agent knows: its server's, and where others are."""

import enum

import attrs

from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.envelopes import Envelope
from redwingstream.packets.flow import Address, FlowId

MAX_FLOWS = 20000
"""Flows that are remembered; a server holds 2,000 and closes the rest."""

MAX_ELSEWHERE = 40000
"""Flows of which this agent knows where else they are carried; losing one
costs a search."""

DEFAULT_FLOW_LIFE = 60.0
"""Seconds after which a flow may be given up, where nobody says otherwise: the
users' figure."""

WAITING_SECONDS = 1.5
"""After so long a request that the server has not begun to answer does not
count as load any more: it was lost, or the server has given it up.  Under
overload a request waits for a second here and some tenths at the server."""

HANDSHAKE_SECONDS = 0.15
"""After so long a flow whose caller has not gone on does not count as load.  A
caller goes on within a round trip; one that has given up, because its packet
waited here, never does.  Counted like others, such flows fill the servers'
places on paper, and new ones wait so long that their callers give up too."""


class FlowState(enum.Enum):
    """How far a flow has come at this server."""

    OFFERED = enum.auto()
    ACCEPTED = enum.auto()
    ESTABLISHED = enum.auto()


@attrs.define
class CarriedFlow:
    """A flow at the server beside this agent.

    Parameters
    ----------
    flow : FlowId
        The flow.
    envelope : Envelope
        With which its opening packet came.
    standing : Standing
        How far it has come.
    opened_at : float
        When the opening packet came.
    waits_since : float or None
        Since when the server owes an answer.
    has_asked : bool
        True once the caller has sent data.
    has_answered : bool
        True once the server has sent data.
    is_ending : bool
        True once the server has sent its last packet.
    """

    flow: FlowId
    envelope: Envelope
    standing: FlowState
    opened_at: float
    waits_since: float | None = None
    has_asked: bool = False
    has_answered: bool = False
    is_ending: bool = False

    def is_given_up(self, now: float) -> bool:
        """Whether nobody waits for the server's answer any more."""
        if self.waits_since is None:
            return False
        limit = WAITING_SECONDS if self.has_asked else HANDSHAKE_SECONDS
        return now - self.waits_since > limit


class AgentFlows:
    """The flows that one agent knows.

    Parameters
    ----------
    idle_timeout : float
        Seconds after which a flow without packets is forgotten.
    flow_life : float
        Seconds after which any flow may be given up.  For so long it is
        remembered where else a flow is carried: its packets pass by hints of
        the balancers, so nothing is seen of it here, and when the balancers
        change, this is what finds it.
    """

    def __init__(
        self, idle_timeout: float, flow_life: float = DEFAULT_FLOW_LIFE
    ) -> None:
        self.waiting = 0
        self.flow_life = flow_life
        self._carried: BoundedTable[FlowId, CarriedFlow] = BoundedTable(
            MAX_FLOWS, idle_timeout
        )
        self._elsewhere: BoundedTable[FlowId, Address] = BoundedTable(
            MAX_ELSEWHERE, flow_life
        )

    @property
    def count(self) -> int:
        """How many flows of this server are known."""
        return len(self._carried)

    @property
    def idle_timeout(self) -> float:
        """Seconds after which a flow without packets is forgotten."""
        return self._carried.age

    def extend_idle_timeout(self, idle_timeout: float) -> None:
        """Go by another time-out from now on, when it is a longer one.

        Flows that were opened under a longer one may rest for as long as that.
        To remember a flow too long costs a row; one that is forgotten while its
        server holds it goes astray, or is taken for dead.
        """
        self._carried.age = max(self._carried.age, idle_timeout)

    def carried(self, flow: FlowId, now: float) -> CarriedFlow | None:
        """Return a flow of this server; None when it is not known as such."""
        return self._carried.get(flow, now)

    def elsewhere(self, flow: FlowId, now: float) -> Address | None:
        """Return the agent that carries a flow, as far as known."""
        return self._elsewhere.get(flow, now)

    def note_elsewhere(self, flow: FlowId, agent: Address, now: float) -> None:
        """Remember that another agent carries a flow."""
        self._elsewhere.put(flow, agent, now)

    def add(self, carried: CarriedFlow, now: float) -> None:
        """Remember a flow of this server."""
        self._carried.put(carried.flow, carried, now)

    def forget(self, carried: CarriedFlow) -> None:
        """Forget a flow of this server."""
        self.settle(carried)
        self._carried.pop(carried.flow)

    def owe(self, carried: CarriedFlow, now: float) -> None:
        """The server owes an answer."""
        if carried.waits_since is None:
            self.waiting += 1
            carried.waits_since = now

    def ask(self, carried: CarriedFlow, now: float) -> None:
        """The caller has sent data, so the server owes an answer."""
        if not carried.has_asked:
            carried.has_asked = True
            self.settle(carried)
        self.owe(carried, now)

    def settle(self, carried: CarriedFlow) -> None:
        """The server owes no answer any more."""
        if carried.waits_since is not None:
            self.waiting -= 1
            carried.waits_since = None

    def forget_old(self, now: float) -> None:
        """Forget what is old, and what the server will not answer any more."""
        for old in self._carried.forget_old(now):
            self.settle(old)
        self._elsewhere.forget_old(now)
        for carried in self._carried.rows():
            if carried.is_given_up(now):
                self.settle(carried)

    def clear(self) -> None:
        """Forget this server's flows: another run of it holds none of them."""
        for carried in self._carried.rows():
            self.forget(carried)
