"""Which processes are asked for newer tables, and how often."""

import asyncio

import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.errors import CallFailedError, ResultCode
from redwingstream.node.following import (
    HEDGE_AFTER,
    MAX_FETCHES,
    TablesFollower,
)
from redwingstream.node.metrics import Metrics
from redwingstream.tables.messages import FetchTables, TablesUpdate
from redwingstream.tables.rows import ZoneMark
from redwingstream.wire.calls import DEFAULT_TIMEOUT

CONTROL = Endpoint('127.0.0.1', 7000)
PEER = Endpoint('127.0.0.2', 7000)
UPDATE = TablesUpdate(since=0, revision=5, zones=(ZoneMark('carse', out=True),))
HEARTBEAT = 1.0
PACKET = 0.01


class FakeCalls:
    """Calls of which some endpoints never answer.

    Attributes
    ----------
    update_by_endpoint : dict
        What those answer that do.
    asked : list of Endpoint
        Who was called.
    most_running : int
        How many calls there were at once.
    """

    def __init__(self) -> None:
        self.update_by_endpoint: dict[Endpoint, TablesUpdate] = {}
        self.asked: list[Endpoint] = []
        self.most_running = 0
        self._running = 0

    async def call(
        self, endpoint: Endpoint, request: FetchTables, answer_class: type
    ) -> TablesUpdate:
        """Answer after a moment, or fail after the usual timeout."""
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
    """Return calls that nobody answers yet."""
    return FakeCalls()


@pytest.fixture
def follower(calls: FakeCalls) -> TablesFollower:
    """Return a follower without tables."""
    return TablesFollower(calls, Metrics('test', None))


@pytest.mark.looptime
class TestTablesFollower:
    """On a paused clock, with peers of which some do not answer calls."""

    async def test_asks_a_peer_while_another_does_not_answer(
        self, calls: FakeCalls, follower: TablesFollower
    ) -> None:
        """A zone taken out gets packets for many seconds more.

        Something on the way lets control's heartbeats through and drops its
        calls.  Each heartbeat starts a fetch that lasts until its timeout,
        and what peers say in the meantime was not listened to.
        """
        calls.update_by_endpoint[PEER] = UPDATE
        follower.handle_revision(UPDATE.revision, CONTROL)
        await asyncio.sleep(2 * HEDGE_AFTER)
        follower.handle_revision(UPDATE.revision, PEER)
        await asyncio.sleep(2 * PACKET)
        assert follower.history.tables.is_zone_out('carse')
        follower.close()

    async def test_one_fetch_is_enough_while_it_is_young(
        self, calls: FakeCalls, follower: TablesFollower
    ) -> None:
        calls.update_by_endpoint.update({CONTROL: UPDATE, PEER: UPDATE})
        follower.handle_revision(UPDATE.revision, CONTROL)
        follower.handle_revision(UPDATE.revision, PEER)
        await asyncio.sleep(HEARTBEAT)
        assert calls.asked == [CONTROL]

    async def test_does_not_ask_many_at_once(
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
        """A process spends its time on fetches that bring nothing.

        An agent passes on packets whose balancer knows newer tables, and has
        not got them itself yet.  Each packet led to one more call to it.
        """
        calls.update_by_endpoint[PEER] = TablesUpdate(since=0, revision=0)
        for _ in range(100):
            follower.handle_revision(UPDATE.revision, PEER)
            await asyncio.sleep(PACKET)
        assert len(calls.asked) <= 10
        follower.close()
