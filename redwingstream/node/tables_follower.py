"""Keeps the tables of a member up to date.

Newer tables are fetched from any process that has them: a control instance or
another member (balancer or agent).
"""

import asyncio
from collections.abc import Callable

from absl import logging

from redwingstream.endpoints import Endpoint, parse_endpoint
from redwingstream.errors import CallFailedError
from redwingstream.node.metrics import Metrics
from redwingstream.tables.history import TablesHistory
from redwingstream.tables.messages import FetchTables, TablesUpdate
from redwingstream.wire.calls import CallClient

FETCH_PAUSE = 0.1
"""Seconds before a process that had no newer tables is asked again."""

HEDGE_AFTER = 0.25
"""Seconds after which a fetch without an answer no longer delays others."""

MAX_FETCHES = 4
"""Maximum number of processes that are asked at the same time."""


class TablesFollower:
    """Fetches newer tables and holds the newest ones.

    Parameters
    ----------
    calls : CallClient
        Calls other processes.
    metrics : Metrics
        Counts fetches and shows the revision.

    Attributes
    ----------
    history : TablesHistory
        The tables and the latest updates.
    on_tables : callable
        Called after newer tables have been applied.
    """

    def __init__(self, calls: CallClient, metrics: Metrics) -> None:
        self.history = TablesHistory()
        self.on_tables: Callable[[], None] = _do_nothing
        self._calls = calls
        self._metrics = metrics
        self._fetch_by_source: dict[Endpoint, asyncio.Task[None]] = {}
        self._fetched_at = float()

    @property
    def revision(self) -> int:
        """Revision of the tables of this process."""
        return self.history.tables.revision

    def handle_revision(self, revision: int, source: Endpoint) -> None:
        """Fetch the tables when another process has newer ones.

        Callers' packets, their answers and probes contain the revision of the
        peer that sent them.  So a change also reaches a process that control
        cannot reach.

        Parameters
        ----------
        revision : int
            Revision of the tables of the other process.
        source : Endpoint
            Endpoint of the other process.

        Notes
        -----
        A process whose datagrams arrive may not answer calls, because a device
        on the network path has lost the state of the TCP connection.  Its fetch
        lasts until the timeout.  If other processes were not asked meanwhile,
        control's heartbeats alone could keep this process from asking its peers
        for ever.
        """
        if revision > self.revision and self._may_fetch(source):
            self._fetched_at = asyncio.get_running_loop().time()
            fetch_task = asyncio.create_task(self._fetch(source))
            self._fetch_by_source[source] = fetch_task
            fetch_task.add_done_callback(
                lambda _: self._fetch_by_source.pop(source)
            )

    def members(self) -> list[Endpoint]:
        """Return the endpoints of the members in the tables."""
        rows = self.history.tables.member_by_host.values()
        return [parse_endpoint(row.endpoint) for row in rows]

    def close(self) -> None:
        """Cancel all fetches."""
        for fetch_task in self._fetch_by_source.values():
            fetch_task.cancel()

    def _may_fetch(self, source: Endpoint) -> bool:
        running = self._fetch_by_source
        if source in running or len(running) >= MAX_FETCHES:
            return False
        now = asyncio.get_running_loop().time()
        return not running or now - self._fetched_at >= HEDGE_AFTER

    async def _fetch(self, source: Endpoint) -> None:
        if not await self._fetch_newer(source):
            await asyncio.sleep(FETCH_PAUSE)

    async def _fetch_newer(self, source: Endpoint) -> bool:
        try:
            update = await self._calls.call(
                source, FetchTables(self.revision), TablesUpdate
            )
        except CallFailedError as error:
            self._metrics.count('tables_not_fetched')
            logging.warning('node: Tables not fetched: %s.', error)
            return False
        if not self.history.apply_update(update):
            return False
        self._metrics.count('tables_fetched')
        self._metrics.gauge('revision', update.revision)
        self.on_tables()
        return True


def _do_nothing() -> None:
    """Default of ``on_tables``: do nothing."""
