"""What an agent knows of flows that are not in its table."""

from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.flow import FlowId, Head

MAX_UNCONFIRMED = 20000
"""Maximum number of removed flows that the server may still hold."""

MAX_DENIED = 8192
"""Maximum number of flows that the server has denied and that are remembered,
each for the maximum life of a flow."""


MAX_PAUSE = 1.0
"""Seconds for which an agent may stand still without losing packets of its
server, which wait in its socket."""


class Coverage:
    """Answers of the server on flows without an entry in the agent's table.

    Parameters
    ----------
    flow_life : float
        Maximum life of a flow in seconds.
    max_silence : float
        Maximum time in seconds between two packets of a flow that the server
        holds.

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

    def __init__(self, flow_life: float, max_silence: float) -> None:
        self.max_silence = max_silence
        self.seen_since = float('inf')
        self.is_server_newer = False
        self.is_server_awaited = False
        self._ran_at: float | None = None
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

    def record_evicted(self, now: float) -> None:
        """Record that an entry was removed because the table was full."""
        self.seen_since = now
        self.is_server_newer = False

    def record_running(self, now: float) -> None:
        """Record that the agent runs; detect that it has stood still."""
        ran_at = self._ran_at
        if ran_at is not None and now - ran_at > MAX_PAUSE:
            self.seen_since = now
        self._ran_at = now

    def is_complete(self, now: float) -> bool:
        """Whether each flow that the server holds has an entry.

        Flows whose entries were removed without the server's answer are not
        counted.
        """
        if self.is_server_newer:
            return True
        if self._ran_at is not None:
            self.record_running(now)
        return now >= self.seen_since + self.max_silence

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
