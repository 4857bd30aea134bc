"""The flows known to an agent: those of its server, and carriers of others."""

import enum
from collections.abc import Collection

import attrs

from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.coverage import Coverage
from redwingstream.packets.envelopes import Envelope
from redwingstream.packets.flow import Address, FlowId, Head
from redwingstream.packets.flow_identity import (
    HALF_OF_SEQUENCES,
    SEQUENCE_MASK,
    Identity,
    SentRange,
)

MAX_FLOWS = 20000
"""Maximum number of flows of the server that are remembered; a server holds
2,000 and closes the rest."""

MAX_CARRIERS = 40000
"""Maximum number of flows whose carrier is remembered; without it a lookup is
needed."""

DEFAULT_FLOW_LIFE = 60.0
"""Default maximum life of a flow in seconds, as required by the users."""

LATE_PACKET_SECONDS = 8
"""Maximum delay of a packet: a balancer that stood still forwards what it was
sent before, up to seven seconds later."""

MAX_ANSWER_WAIT = 1.5
"""Seconds after which a request that the server has not begun to answer no
longer counts as load: it was lost, or the server has given it up.  Under
overload a request waits for one second at the agent and some tenths at the
server."""

MAX_HANDSHAKE_WAIT = 0.15
"""Seconds after which a new flow without a request no longer counts as load.  A
caller sends its request within a round trip, but never if it has given up while
its opening packet waited here.  If such flows counted as load, idle servers
would appear busy, and new flows would wait until their callers give up too."""


class FlowState(enum.Enum):
    """Progress of a flow at the server.

    ``OFFERED``: the opening packet was delivered.  ``ACCEPTED``: the server has
    accepted the flow.  ``ESTABLISHED``: the server has sent another packet.
    """

    OFFERED = enum.auto()
    ACCEPTED = enum.auto()
    ESTABLISHED = enum.auto()


@attrs.define
class CarriedFlow:
    """A flow of the server beside this agent.

    Parameters
    ----------
    flow : FlowId
        The flow.
    envelope : Envelope
        Envelope of its opening packet, without a packet if the flow was opened
        before this agent started.
    state : FlowState
        Progress of the flow at the server.
    opened_at : float
        Time in seconds at which the opening packet was delivered.
    wait_started_at : float or None
        Time in seconds from which an answer of the server is awaited; None if
        none is.
    has_asked : bool
        True once the caller has sent data.
    is_sending : bool
        True while an upload of the caller has not reached the server as a
        whole.
    has_answered : bool
        True once the server has sent data.
    is_ending : bool
        True once the server has sent its last packet.
    sent : SentRange or None
        What the server has sent; None if this agent has not seen it accept the
        flow.
    is_sent_complete : bool
        True if the server cannot have held the flow before its opening packet,
        so that ``sent`` is all that it has sent.
    last_envelope : Envelope or None
        Envelope of the caller's last packet that was delivered.
    acknowledged : int or None
        Last acknowledgement number of the caller; None until it is known.
    asked_end : int or None
        Sequence number after the caller's data; None before its first data.
    is_request_answered : bool
        True once the server has sent data after data of the caller.
    is_reused : bool
        True once the caller has sent new data after an answer of the server.
    """

    flow: FlowId
    envelope: Envelope
    state: FlowState
    opened_at: float
    wait_started_at: float | None = None
    has_asked: bool = False
    is_sending: bool = False
    has_answered: bool = False
    is_ending: bool = False
    sent: SentRange | None = None
    is_sent_complete: bool = False
    last_envelope: Envelope | None = None
    acknowledged: int | None = None
    asked_end: int | None = None
    is_request_answered: bool = False
    is_reused: bool = False

    def record_delivered(self, envelope: Envelope, head: Head) -> None:
        """Record a packet of the caller that is delivered to the server."""
        self.last_envelope = envelope
        self.acknowledged = head.acknowledged
        if not head.size:
            return
        end = (head.sequence + head.size) & SEQUENCE_MASK
        if self.asked_end is None:
            self.asked_end = end
            return
        advance = (end - self.asked_end) & SEQUENCE_MASK
        # A retransmission of the first request is not a second one.
        if 0 < advance < HALF_OF_SEQUENCES:
            self.asked_end = end
            self.is_reused |= self.is_request_answered

    @property
    def is_answer_awaited(self) -> bool:
        """Whether the caller has sent at least a part of a request."""
        is_waiting = self.wait_started_at is not None
        return self.has_asked and (is_waiting or self.is_sending)

    def record_sent(self, head: Head) -> None:
        """Record a packet of the server."""
        if head.size and self.asked_end is not None:
            self.is_request_answered = True
        if self.sent is not None and not head.is_accepting:
            self.sent.record(head)
        elif head.is_accepting and not self._is_accepted_by(head):
            self.sent = SentRange(head.sequence)

    def identify(self, head: Head) -> Identity:
        """Return whether a caller's packet belongs to this flow."""
        if self.sent is None or head.is_reset:
            return Identity.UNKNOWN
        identity = self.sent.identify(head)
        if identity is Identity.OTHER and not self.is_sent_complete:
            return Identity.UNKNOWN
        return identity

    def is_given_up(self, now: float) -> bool:
        """Whether the answer is overdue and no longer counts as load."""
        if self.wait_started_at is None:
            return False
        limit = MAX_ANSWER_WAIT if self.has_asked else MAX_HANDSHAKE_WAIT
        return now - self.wait_started_at > limit

    def _is_accepted_by(self, head: Head) -> bool:
        return self.sent is not None and self.sent.first == head.sequence


class AgentFlows:
    """The flows known to one agent.

    Parameters
    ----------
    idle_timeout : float
        Seconds without packets after which the server may discard a flow.
    flow_life : float
        Maximum life of a flow in seconds.  The carriers of other flows are
        remembered for this time: by the hints of the balancers, the packets of
        these flows do not pass this agent, and when the balancers change, this
        agent must still know the carriers.

    Attributes
    ----------
    waiting : int
        Number of flows that await an answer of the server.
    coverage : Coverage
        What is known of flows that are not in the table.
    """

    def __init__(
        self, idle_timeout: float, flow_life: float = DEFAULT_FLOW_LIFE
    ) -> None:
        self.waiting = 0
        self.flow_life = flow_life
        self._carried: BoundedTable[FlowId, CarriedFlow] = BoundedTable(
            MAX_FLOWS, idle_timeout + LATE_PACKET_SECONDS
        )
        self._ended: BoundedTable[FlowId, CarriedFlow] = BoundedTable(
            MAX_FLOWS, self._carried.age
        )
        self._carriers: BoundedTable[FlowId, Address] = BoundedTable(
            MAX_CARRIERS, flow_life
        )
        self.coverage = Coverage(flow_life, self._carried.age)

    @property
    def count(self) -> int:
        """Number of known flows of the server that have not ended."""
        return len(self._carried)

    def extend_idle_timeout(self, idle_timeout: float) -> None:
        """Apply another idle time-out if it is longer than the current one.

        Flows opened under a longer time-out may be idle for that long.  A flow
        that is remembered too long costs only memory, but packets of a flow
        that is evicted while its server holds it may not reach the server, or
        the flow is declared dead.
        """
        age = max(self._carried.age, idle_timeout + LATE_PACKET_SECONDS)
        self._carried.age = age
        self._ended.age = age
        self.coverage.max_silence = age

    def find_carried(self, flow: FlowId, now: float) -> CarriedFlow | None:
        """Return a flow of the server, or None if it is not known."""
        return self._carried.get(flow, now) or self._ended.get(flow, now)

    def find_carrier(self, flow: FlowId, now: float) -> Address | None:
        """Return the other agent that carries a flow, or None if not known."""
        return self._carriers.get(flow, now)

    def record_carrier(self, flow: FlowId, agent: Address, now: float) -> None:
        """Record that another agent carries a flow."""
        self._carriers.put(flow, agent, now)

    def carried_flows(self) -> list[CarriedFlow]:
        """Return the flows of the server, the ended ones first."""
        return [*self._ended.rows(), *self._carried.rows()]

    def add(self, carried: CarriedFlow, now: float) -> None:
        """Add a flow of the server."""
        overflowed = self._carried.overflowed
        self._carried.put(carried.flow, carried, now)
        if self._carried.overflowed > overflowed:
            self.coverage.record_evicted(now)

    def remove(self, carried: CarriedFlow) -> None:
        """Remove a flow that the server does not hold."""
        self.stop_waiting(carried)
        self._carried.pop(carried.flow)
        self._ended.pop(carried.flow)

    def end(self, carried: CarriedFlow, now: float) -> None:
        """Record that the server has sent its last packet on a flow.

        Late packets of the flow may still arrive, but it takes no place at the
        server.
        """
        if not carried.is_ending:
            carried.is_ending = True
            self._carried.pop(carried.flow)
            self._ended.put(carried.flow, carried, now)

    def forget(self, carried: CarriedFlow, now: float) -> None:
        """Remove a flow that the server may still hold."""
        self.remove(carried)
        self.coverage.record_unconfirmed(carried.flow, now)

    def forget_opened_before(
        self,
        opened_before: float,
        now: float,
        asked: Collection[FlowId] = (),
    ) -> None:
        """Remove flows of an earlier run of the server.

        Parameters
        ----------
        opened_before : float
            Time in seconds, by the event loop's clock; later flows stay.
        now : float
            Current time in seconds.
        asked : collection of FlowId
            Flows whose packets the server has been sent again; they stay until
            it returns these.
        """
        for carried in self.carried_flows():
            if carried.opened_at < opened_before and carried.flow not in asked:
                self.forget(carried, now)

    def start_waiting(self, carried: CarriedFlow, now: float) -> None:
        """Count the flow as awaiting an answer of the server."""
        if carried.wait_started_at is None:
            self.waiting += 1
            carried.wait_started_at = now

    def stop_waiting(self, carried: CarriedFlow) -> None:
        """Count the flow as no longer awaiting an answer."""
        carried.is_sending = False
        if carried.wait_started_at is not None:
            self.waiting -= 1
            carried.wait_started_at = None

    def evict_expired(self, now: float) -> None:
        """Evict expired flows, and stop waiting for overdue answers."""
        for old in self._carried.evict_expired(now):
            self.stop_waiting(old)
        self._ended.evict_expired(now)
        self._carriers.evict_expired(now)
        self.coverage.record_running(now)
        self.coverage.evict_expired(now)
        for carried in self._carried.rows():
            if carried.is_given_up(now):
                self.stop_waiting(carried)
