"""Follows the tables: fetches them from whoever has newer ones."""

import asyncio
from collections.abc import Callable

from absl import logging

from redwingstream.endpoints import Endpoint
from redwingstream.errors import CallFailedError
from redwingstream.node.metrics import Metrics
from redwingstream.tables.history import TablesHistory
from redwingstream.tables.messages import FetchTables, TablesUpdate
from redwingstream.wire.calls import CallClient

FETCH_PAUSE = 0.1
"""Seconds after a failed fetch before another process is asked."""


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
        self._fetching: asyncio.Task[None] | None = None

    @property
    def revision(self) -> int:
        """Revision of the tables here."""
        return self.history.tables.revision

    def hear(self, revision: int, source: Endpoint) -> None:
        """Fetch the tables when another process knows newer ones.

        This is how a change reaches a process that control cannot reach:
        callers' packets, their answers and probes name the revision of the
        peer that sent them.
        """
        if revision > self.revision and self._fetching is None:
            self._fetching = asyncio.create_task(self._fetch(source))

    def close(self) -> None:
        """Stop fetching."""
        if self._fetching is not None:
            self._fetching.cancel()

    async def _fetch(self, source: Endpoint) -> None:
        try:
            update = await self._calls.call(
                source, FetchTables(self.revision), TablesUpdate
            )
        except CallFailedError as error:
            self._metrics.count('tables_not_fetched')
            logging.warning('node: Tables not fetched: %s.', error)
            await asyncio.sleep(FETCH_PAUSE)
            return
        finally:
            self._fetching = None
        if self.history.take(update):
            self._metrics.count('tables_fetched')
            self._metrics.gauge('revision', update.revision)
            self.on_tables()


def _do_nothing() -> None:
    """Stand in for a role that has nothing to do."""
