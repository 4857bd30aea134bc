"""Whether the server beside an agent has started after the agent.

Neither the times nor the numbers of reports can tell: clocks are set back, and
reports are late or lost.  A port that refuses connections and accepts them
later belongs to a process that has started in between.
"""

from collections.abc import Callable

from redwingstream.endpoints import Endpoint
from redwingstream.fleet.server_probe import PortState, probe_port
from redwingstream.openings.reports import ServerState
from redwingstream.packets.coverage import Coverage


class ServerStart:
    """Checks the server's port at the agent's start and after a report.

    Parameters
    ----------
    server : Endpoint
        Endpoint of the server.
    state : ServerState
        State of the server according to its reports.
    coverage : Coverage
        What is known of flows that are not in the agent's table.
    clock : callable
        Returns the time in seconds, by the event loop's clock.
    """

    def __init__(
        self,
        server: Endpoint,
        state: ServerState,
        coverage: Coverage,
        clock: Callable[[], float],
    ) -> None:
        self._server = server
        self._state = state
        self._coverage = coverage
        self._clock = clock
        self._checked_at = float('-inf')

    @property
    def is_due(self) -> bool:
        """Whether a server may listen that did not listen before."""
        reported_at = self._state.received_at
        return (
            self._coverage.is_server_awaited and reported_at > self._checked_at
        )

    async def check_absent(self) -> None:
        """Record that no server listens when the agent starts."""
        checked_at = self._clock()
        if await probe_port(self._server) is PortState.REFUSED:
            self._coverage.record_server_absent(checked_at)

    async def check_listening(self) -> None:
        """Record that the awaited server listens."""
        self._checked_at = self._clock()
        if await probe_port(self._server) is PortState.LISTENING:
            self._coverage.record_server_listening()
