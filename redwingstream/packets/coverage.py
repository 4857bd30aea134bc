"""What an agent knows of flows that are not in its table."""

from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.flow import FlowId, Head

MAX_UNCONFIRMED = 20000
"""Maximum number of removed flows that the server may still hold."""

MAX_DENIED = 8192
"""Maximum number of flows that the server has denied and that are remembered,
each for the maximum life of a flow."""


class Coverage:
    """Answers of the server on flows without an entry in the agent's table.

    Parameters
    ----------
    flow_life : float
        Maximum life of a flow in seconds.
    idle_timeout : float
        Seconds within which the server sends on each flow that it holds.

    Attributes
    ----------
    seen_since : float
        Time in seconds from which the agent has seen all packets of its server,
        and has kept the entries of their flows.
    is_server_newer : bool
        True if the server has started after that, so that each flow that it
        holds has an entry.
    is_server_awaited : bool
        True if no process has listened on the server's port after that.
    """

    def __init__(self, flow_life: float, idle_timeout: float) -> None:
        self.idle_timeout = idle_timeout
        self.seen_since = float('inf')
        self.is_server_newer = False
        self.is_server_awaited = False
        self._unconfirmed: BoundedTable[FlowId, bool] = BoundedTable(
            MAX_UNCONFIRMED, flow_life
        )
        self._denied: BoundedTable[FlowId, int] = BoundedTable(
            MAX_DENIED, flow_life
        )

    def record_server_absent(self, now: float) -> None:
        """Record that no process listens on the server's port.

        A server that leaves closes its port and serves its flows for some
        seconds, so that it may hold flows of before.
        """
        self.seen_since = now
        self.is_server_newer = False
        self.is_server_awaited = True

    def record_server_listening(self) -> None:
        """Record that a process listens on the server's port."""
        self.is_server_newer |= self.is_server_awaited
        self.is_server_awaited = False

    def is_complete(self, now: float) -> bool:
        """Whether each flow that the server holds has an entry.

        Flows whose entries were removed without the server's answer are not
        counted.
        """
        return (
            self.is_server_newer or now >= self.seen_since + self.idle_timeout
        )

    def record_unconfirmed(self, flow: FlowId, now: float) -> None:
        """Record a flow whose entry is removed without the server's answer."""
        self._unconfirmed.put(flow, row=True, now=now)

    def record_denied(self, head: Head, now: float) -> None:
        """Record the server's answer that it does not hold a packet's flow.

        Another flow from the same port, which the server may hold, has other
        acknowledgement numbers.
        """
        self._denied.put(head.inbound, head.acknowledged, now)

    def has_denied(self, flow: FlowId, now: float) -> bool:
        """Whether the server has denied a flow from this port."""
        return self._denied.get(flow, now) is not None

    def is_surely_new(self, flow: FlowId, now: float) -> bool:
        """Whether a flow without an entry has not been opened before."""
        if self._unconfirmed.get(flow, now) is not None:
            return False
        return self.is_complete(now)

    def is_absent(self, head: Head, now: float) -> bool:
        """Whether the server cannot hold the flow of a caller's packet.

        The flow has no entry.
        """
        flow = head.inbound
        if self._denied.get(flow, now) == head.acknowledged:
            return True
        return self.is_surely_new(flow, now)

    def evict_expired(self, now: float) -> None:
        """Evict old entries."""
        self._unconfirmed.evict_expired(now)
        self._denied.evict_expired(now)
