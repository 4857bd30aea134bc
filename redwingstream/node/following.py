"""Follows the tables: fetches them from whoever has newer ones."""

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
"""Seconds before a process is asked again that brought nothing newer."""

HEDGE_AFTER = 0.25
"""Seconds after which an unanswered fetch does not hold up another one."""

MAX_FETCHES = 4
"""Sources that are asked at the same time at most."""


class TablesFollower:
    """The tables of a member, kept up to date.

    Parameters
    ----------
    calls : CallClient
        Asks other processes.
    metrics : Metrics
        Counts fetches.

    Attributes
    ----------
    history : TablesHistory
        The tables and the latest updates.
    on_tables : callable
        Called whenever the tables have become newer.
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
        """Revision of the tables here."""
        return self.history.tables.revision

    def handle_revision(self, revision: int, source: Endpoint) -> None:
        """Fetch the tables when another process knows newer ones.

        This is how a change reaches a process that control cannot reach:
        callers' packets, their answers and probes name the revision of the
        peer that sent them.

        Notes
        -----
        A source may be heard and yet not answer calls, since something on the
        way has lost track of the connection.  Its fetch lasts until its
        timeout; were other sources not asked meanwhile, control's heartbeats
        alone could keep this process from its peers for good.
        """
        if revision > self.revision and self._may_ask(source):
            self._fetched_at = asyncio.get_running_loop().time()
            fetching = asyncio.create_task(self._fetch(source))
            self._fetch_by_source[source] = fetching
            fetching.add_done_callback(
                lambda _: self._fetch_by_source.pop(source)
            )

    def members(self) -> list[Endpoint]:
        """Return where the members of the tables here are reached."""
        rows = self.history.tables.member_by_host.values()
        return [parse_endpoint(row.endpoint) for row in rows]

    def close(self) -> None:
        """Stop fetching."""
        for fetching in self._fetch_by_source.values():
            fetching.cancel()

    def _may_ask(self, source: Endpoint) -> bool:
        under_way = self._fetch_by_source
        if source in under_way or len(under_way) >= MAX_FETCHES:
            return False
        now = asyncio.get_running_loop().time()
        return not under_way or now - self._fetched_at >= HEDGE_AFTER

    async def _fetch(self, source: Endpoint) -> None:
        if not await self._brings_newer(source):
            await asyncio.sleep(FETCH_PAUSE)

    async def _brings_newer(self, source: Endpoint) -> bool:
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
    """Stand in for a role that has nothing to do."""
