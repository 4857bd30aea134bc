"""What an agent knows of flows that are not in its table."""

from redwingstream.packets.bounded_table import BoundedTable
from redwingstream.packets.flow import FlowId

MAX_UNCONFIRMED = 20000
"""Maximum number of removed flows that the server may still hold."""

MAX_NOT_HELD = 8192
"""Maximum number of flows remembered as not held by the server, each for the
maximum life of a flow.  A flow that the server opens later is found in the
table of its own flows first."""


class Coverage:
    """Answers of the server on flows without an entry in the agent's table.

    Parameters
    ----------
    flow_life : float
        Maximum life of a flow in seconds.

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

    def __init__(self, flow_life: float) -> None:
        self.seen_since = float('inf')
        self.is_server_newer = False
        self.is_server_awaited = False
        self._unconfirmed: BoundedTable[FlowId, bool] = BoundedTable(
            MAX_UNCONFIRMED, flow_life
        )
        self._not_held: BoundedTable[FlowId, bool] = BoundedTable(
            MAX_NOT_HELD, flow_life
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

    def is_complete(self, idle_timeout: float, now: float) -> bool:
        """Whether each flow that the server holds has an entry.

        Flows whose entries were removed without the server's answer are not
        counted.

        Parameters
        ----------
        idle_timeout : float
            Seconds within which the server sends on each flow that it holds.
        now : float
            Current time in seconds, by the event loop's clock.
        """
        return self.is_server_newer or now >= self.seen_since + idle_timeout

    def record_unconfirmed(self, flow: FlowId, now: float) -> None:
        """Record a flow whose entry is removed without the server's answer."""
        self._unconfirmed.put(flow, row=True, now=now)

    def record_not_held(self, flow: FlowId, now: float) -> None:
        """Record the server's answer that it does not hold a flow."""
        self._unconfirmed.pop(flow)
        self._not_held.put(flow, row=True, now=now)

    def is_unconfirmed(self, flow: FlowId, now: float) -> bool:
        """Whether the server may hold a flow whose entry was removed."""
        return self._unconfirmed.get(flow, now) is not None

    def is_not_held(self, flow: FlowId, now: float) -> bool:
        """Whether the server has shown that it does not hold a flow."""
        return self._not_held.get(flow, now) is not None

    def evict_expired(self, now: float) -> None:
        """Evict old entries."""
        self._unconfirmed.evict_expired(now)
        self._not_held.evict_expired(now)
