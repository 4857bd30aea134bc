"""Control instances are killed and frozen while operators and callers go on."""

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from demo.layout import CONTROLS, SERVERS, SWARD
from processes.cluster import Cluster, edits_of, open_cluster, until
from processes.traffic import listening, submitting
from redwingstream.errors import (
    CallFailedError,
    ChangeRefusedError,
    ResultCode,
)
from redwingstream.tables.edits import (
    ChangeAnswer,
    ChangeRequest,
)

LONGER_THAN_EVERY_TIMEOUT = 6.0


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def cluster(tmp_path_factory) -> AsyncIterator[Cluster]:
    """Three control instances, two balancers, two servers of one pool."""
    folder = tmp_path_factory.mktemp('control')
    async with open_cluster(folder, SERVERS[:2], balancers=2) as opened:
        yield opened


class Writer:
    """An operator who adds one route after the other."""

    def __init__(self, cluster: Cluster, first: int) -> None:
        self._cluster = cluster
        self._next = first
        self.accepted: list[int] = []
        self.revisions: list[int] = []
        self.stopped = False

    async def go_on(self) -> None:
        """Add routes until stopped."""
        while not self.stopped:
            revision = await self._cluster.route(self._next)
            self.accepted.append(self._next)
            self.revisions.append(revision)
            self._next += 1

    async def until_accepted(self, more: int) -> None:
        """Wait until some more routes were accepted than now."""
        wanted = len(self.accepted) + more

        async def is_reached() -> bool:
            return len(self.accepted) >= wanted

        await until(is_reached, f'{more} more changes are accepted')


async def _holds_everywhere(cluster: Cluster, routes: set[int]) -> None:
    async def do_all_hold() -> bool:
        for name in CONTROLS:
            dumped = await cluster.dump(name)
            if not dumped:
                return False
            services = {row['service'] for row in dumped['tables']['routes']}
            if not {f'10.9.9.9:{number}' for number in routes} <= services:
                return False
        return True

    await until(do_all_hold, f'{len(routes)} routes are on every instance')


class TestOperators:
    """Operators race each other and resend."""

    async def test_one_of_two_with_the_same_revision_wins(self, cluster):
        """Two operators look at the tables and change them at once.

        Both commands are based on the same revision.  One is accepted; the
        other exits with CONFLICT, is told the revision that won, and its
        change is not in the tables.
        """
        read = await cluster.client.read_tables()
        based_on = f'--based-on={read.config_revision}'
        ended = await asyncio.gather(
            *(
                cluster.tool.run(
                    'route', 'set', f'10.9.9.9:{number}', SWARD, based_on
                )
                for number in (1, 2)
            )
        )
        codes = [result.code for result in ended]
        assert sorted(codes) == [ResultCode.OK, ResultCode.CONFLICT]
        loser = ended[codes.index(ResultCode.CONFLICT)]
        revision = (await cluster.client.read_tables()).config_revision
        assert f'(current revision {revision})' in loser.errors
        winner = codes.index(ResultCode.OK) + 1
        assert await cluster.routes() & {1, 2} == {winner}

    async def test_a_resend_gets_the_first_answer(self, cluster):
        """The answer to a change is lost because the leader is killed.

        The operator sends the same request again, to the next leader and once
        more after another change.  Each time the first answer comes back, and
        the same id with another change is refused.
        """
        read = await cluster.client.read_tables()
        request = ChangeRequest('lost', read.config_revision, edits_of(3))
        leader = await cluster.leader()
        asking = asyncio.create_task(_change(cluster, request))
        await cluster.kill(leader)
        first = await asking
        await cluster.start(leader)
        await cluster.route(4)
        assert await _change(cluster, request) == first
        other = ChangeRequest('lost', read.config_revision, edits_of(5))
        with pytest.raises(ChangeRefusedError) as refused:
            await _change(cluster, other)
        assert refused.value.code is ResultCode.REQUEST_ID_REUSED
        assert await cluster.routes() >= {3, 4}
        assert 5 not in await cluster.routes()


class TestLeaderKilled:
    """The leader dies with kill -9."""

    async def test_no_accepted_change_is_lost(self, cluster):
        """Operators change the tables while one leader after another dies.

        The leader is killed in the middle of writes, three times, and started
        again each time.  Every change that was accepted is on every instance
        at the end, and revisions only grew.
        """
        writer = Writer(cluster, first=100)
        writing = asyncio.create_task(writer.go_on())
        for _ in range(3):
            await writer.until_accepted(10)
            leader = await cluster.leader()
            await cluster.kill(leader)
            await writer.until_accepted(10)
            await cluster.start(leader)
        writer.stopped = True
        await writing
        assert writer.revisions == sorted(set(writer.revisions))
        await _holds_everywhere(cluster, set(writer.accepted))


class TestLeaderFrozen:
    """The leader is stopped for longer than every timeout, and thawed."""

    async def test_a_stale_leader_says_no(self, cluster):
        """A leader is frozen (SIGSTOP), another one leads, then it is thawed.

        While it is frozen a change waits in its socket.  When it goes on it
        still believes that it leads; it must refuse the change, follow the new
        leader, and nothing accepted meanwhile is lost or reverted.
        """
        read = await cluster.client.read_tables()
        view = (await cluster.tables()).view_by_pool[SWARD]
        stale = await cluster.leader()
        cluster.freeze(stale)
        waiting = asyncio.create_task(
            cluster.change_at(
                stale,
                ChangeRequest('stale', read.config_revision, edits_of(6)),
                timeout=60,
            )
        )
        accepted = {await _route(cluster, number) for number in range(200, 220)}
        await asyncio.sleep(LONGER_THAN_EVERY_TIMEOUT)
        cluster.thaw(stale)
        with pytest.raises(CallFailedError) as refused:
            await waiting
        assert refused.value.code in {
            ResultCode.NOT_LEADER,
            ResultCode.NO_QUORUM,
        }

        async def follows() -> bool:
            dumped = await cluster.dump(stale)
            return dumped['consensus']['role'] == 'follower'

        await until(follows, 'the stale leader follows')
        assert len(await cluster.leaders()) == 1
        await _holds_everywhere(cluster, accepted)
        assert 6 not in await cluster.routes()
        # A change of leader is no reason to move anybody's buckets.
        after = (await cluster.tables()).view_by_pool[SWARD]
        assert after.members == view.members


class TestAllInstancesGone:
    """Every control instance dies at once."""

    async def test_traffic_goes_on_and_nothing_is_lost(self, cluster):
        """All three are killed while feeds stream and readings are submitted.

        Feeds, new flows and non-idempotent requests go on without them; a
        change is told that nobody answers.  They come back in another order,
        and hold what was accepted; no member was admitted anew.
        """
        accepted = {await _route(cluster, number) for number in range(300, 310)}
        before = (await cluster.tables()).member_by_host
        async with listening(cluster) as feeds, submitting(cluster) as readings:
            await cluster.kill(*CONTROLS)
            await feeds.go_on()
            await readings.until_answered(20)
            async with listening(cluster, 4) as fresh:
                await fresh.go_on()
            refused = await cluster.tool.run('route', 'list', '--timeout=3')
            assert refused.code == ResultCode.TIMED_OUT
            await cluster.start('c3', 'c1')
            await cluster.leader()
            await cluster.start('c2')
            await _holds_everywhere(cluster, accepted)
            await feeds.go_on()
            await readings.until_answered(20)
        after = (await cluster.tables()).member_by_host
        assert {host: row.incarnation for host, row in after.items()} == {
            host: row.incarnation for host, row in before.items()
        }


async def _route(cluster: Cluster, number: int) -> int:
    await cluster.route(number)
    return number


async def _change(cluster: Cluster, request: ChangeRequest) -> ChangeAnswer:
    return await cluster.client.change(
        request.edits, request.based_on, request_id=request.request_id
    )
