"""Tests which processes are asked for newer tables, and how often."""

import asyncio

import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.errors import CallFailedError, ResultCode
from redwingstream.node.metrics import Metrics
from redwingstream.node.tables_follower import (
    HEDGE_AFTER,
    MAX_FETCHES,
    TablesFollower,
)
from redwingstream.tables.messages import FetchTables, TablesUpdate
from redwingstream.tables.rows import ZoneMark
from redwingstream.wire.calls import DEFAULT_TIMEOUT

CONTROL = Endpoint('127.0.0.1', 7000)
PEER = Endpoint('127.0.0.2', 7000)
UPDATE = TablesUpdate(since=0, revision=5, zones=(ZoneMark('carse', out=True),))
HEARTBEAT = 1.0
PACKET = 0.01


class FakeCalls:
    """A fake call client; some endpoints never answer.

    Attributes
    ----------
    update_by_endpoint : dict
        Answers of the endpoints that do answer.
    asked : list of Endpoint
        Endpoints that were called.
    most_running : int
        Highest number of calls at the same time.
    """

    def __init__(self) -> None:
        self.update_by_endpoint: dict[Endpoint, TablesUpdate] = {}
        self.asked: list[Endpoint] = []
        self.most_running = 0
        self._running = 0

    async def call(
        self, endpoint: Endpoint, request: FetchTables, answer_class: type
    ) -> TablesUpdate:
        """Answer after a short delay, or fail after the default timeout."""
        self.asked.append(endpoint)
        self._running += 1
        self.most_running = max(self.most_running, self._running)
        update = await self._answer(endpoint)
        self._running -= 1
        return update

    async def _answer(self, endpoint: Endpoint) -> TablesUpdate:
        update = self.update_by_endpoint.get(endpoint)
        if update is None:
            await asyncio.sleep(DEFAULT_TIMEOUT)
            self._running -= 1
            raise CallFailedError('no answer', ResultCode.TIMED_OUT)
        await asyncio.sleep(PACKET)
        return update


@pytest.fixture
def calls() -> FakeCalls:
    """Return a client whose calls nobody answers yet."""
    return FakeCalls()


@pytest.fixture
def follower(calls: FakeCalls) -> TablesFollower:
    """Return a follower without tables."""
    return TablesFollower(calls, Metrics('test', None))


@pytest.mark.looptime
class TestTablesFollower:
    """A follower on a simulated clock; some peers do not answer calls."""

    async def test_asks_a_peer_while_another_does_not_answer(
        self, calls: FakeCalls, follower: TablesFollower
    ) -> None:
        """A fetch without an answer must not delay the tables of other peers.

        A device on the network path lets control's heartbeats through and drops
        calls to it.  Each heartbeat starts a fetch that lasts until its
        timeout.  If peers were not asked meanwhile, a zone that was taken out
        would get packets for many seconds more.
        """
        calls.update_by_endpoint[PEER] = UPDATE
        follower.handle_revision(UPDATE.revision, CONTROL)
        await asyncio.sleep(2 * HEDGE_AFTER)
        follower.handle_revision(UPDATE.revision, PEER)
        await asyncio.sleep(2 * PACKET)
        assert follower.history.tables.is_zone_out('carse')
        follower.close()

    async def test_starts_no_second_fetch_before_the_hedge_delay(
        self, calls: FakeCalls, follower: TablesFollower
    ) -> None:
        calls.update_by_endpoint.update({CONTROL: UPDATE, PEER: UPDATE})
        follower.handle_revision(UPDATE.revision, CONTROL)
        follower.handle_revision(UPDATE.revision, PEER)
        await asyncio.sleep(HEARTBEAT)
        assert calls.asked == [CONTROL]

    async def test_limits_the_number_of_fetches(
        self, calls: FakeCalls, follower: TablesFollower
    ) -> None:
        sources = [Endpoint('127.0.0.3', port) for port in range(1, 20)]
        for source in sources:
            follower.handle_revision(UPDATE.revision, source)
            await asyncio.sleep(HEDGE_AFTER)
        assert calls.most_running == MAX_FETCHES
        follower.close()

    async def test_pauses_when_a_source_has_nothing_newer(
        self, calls: FakeCalls, follower: TablesFollower
    ) -> None:
        """A process must not call a source without newer tables per packet.

        An agent passes on packets with the newer revision of their balancer but
        does not have these tables itself yet.
        """
        calls.update_by_endpoint[PEER] = TablesUpdate(since=0, revision=0)
        for _ in range(100):
            follower.handle_revision(UPDATE.revision, PEER)
            await asyncio.sleep(PACKET)
        assert len(calls.asked) <= 10
        follower.close()
