"""Agents and backend servers die, drain and freeze under traffic."""

import asyncio
from collections.abc import AsyncIterator

import pytest_asyncio

from demo.checks import count_runs
from demo.layout import SERVERS, SWARD, Server
from processes.cluster import Cluster, open_cluster, until
from processes.traffic import Feeds, Submissions, listening, submitting

HOSTS = ('sward-1', 'sward-2', 'sward-5')
THREE = (*SERVERS[:2], Server('sward-5', SWARD, 'carse', 5))
LONGER_THAN_THE_LEASE = 6.0


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def cluster(tmp_path_factory) -> AsyncIterator[Cluster]:
    """Three control instances, two balancers, three servers of one pool."""
    folder = tmp_path_factory.mktemp('agents')
    flags = {
        'sward': ('--drain-seconds=20',),
        'server': (
            '--service-time=0.05',
            '--slots=4',
            '--backlog=8',
            # Cold for two seconds after each start; one request more than it
            # bears then, and the process ends.
            '--cold-seconds=2',
            '--cold-slots=1',
            '--exit-on-fall',
        ),
    }
    async with open_cluster(folder, THREE, 2, flags) as opened:
        yield opened


def _others(host: str) -> list[str]:
    return [other for other in HOSTS if other != host]


def _busiest(feeds: Feeds) -> str:
    return feeds.hosts.most_common(1)[0][0]


async def _have_moved(feeds: Feeds, host: str) -> None:
    """Wait until every feed comes from another server, and go on there."""

    async def is_gone() -> bool:
        feeds.check()
        return host not in feeds.hosts

    await until(is_gone, f'no feed comes from {host}')
    await feeds.go_on()


class TestAgentKilled:
    """The process beside a backend server dies with kill -9."""

    async def test_feeds_move_and_nothing_runs_twice(self, cluster):
        """An agent dies while feeds stream and readings are submitted.

        Its lease ends, its buckets are taken over, and its feeds come from
        other servers.  Readings that were under way are answered, *not run* or
        *unknown*; none runs twice, none that ran is told *not run*.
        """
        async with listening(cluster) as feeds, submitting(cluster) as readings:
            host = _busiest(feeds)
            await cluster.kill(host)
            await _have_moved(feeds, host)
            await readings.until_answered(20)
            await cluster.start(host)
            await cluster.until_settled(*HOSTS)
            await readings.until_answered(20)


class TestAgentDrains:
    """The process beside a backend server is asked to end (SIGTERM)."""

    async def test_nothing_is_cut(self, cluster):
        """An agent drains with requests in progress and feeds.

        It takes no new work, the requests finish, the feeds move, and it exits
        with 0.  No reading that its callers sent ends *unknown*.
        """
        async with listening(cluster) as feeds, submitting(cluster) as readings:
            host = _busiest(feeds)
            assert await cluster.end(host) == 0
            await _have_moved(feeds, host)
            await readings.until_answered(20)
            assert not _unknown(readings)
            await cluster.start(host)
            await cluster.until_settled(*HOSTS)


class TestAgentFrozen:
    """An agent is stopped for longer than the lease, and thawed."""

    async def test_it_runs_nothing_again(self, cluster):
        """An agent is frozen (SIGSTOP); its buckets are taken over; it thaws.

        Readings that wait in its sockets may have been answered elsewhere
        meanwhile.  It must not run them any more, nor send stale states of
        feeds that it carried before.
        """
        async with listening(cluster) as feeds, submitting(cluster) as readings:
            host = _busiest(feeds)
            cluster.freeze(host)
            await cluster.until_settled(*_others(host))
            await _have_moved(feeds, host)
            await readings.until_answered(10)
            await asyncio.sleep(LONGER_THAN_THE_LEASE)
            cluster.thaw(host)
            await cluster.until_settled(*HOSTS)
            await feeds.go_on()
            await readings.until_answered(20)


class TestServerLost:
    """The backend server itself dies or freezes; its agent lives."""

    async def test_killed_and_restarted(self, cluster):
        """A backend server dies with feeds and comes back with none of them.

        The feeds go on, from it or from other servers, and readings run at
        most once.  It is cold, and falls over when it is given more than one
        request at once; it does not.
        """
        async with listening(cluster) as feeds, submitting(cluster) as readings:
            host = _busiest(feeds)
            await cluster.kill(f'{host}-server')
            await readings.until_answered(10)
            await cluster.start(f'{host}-server')
            await feeds.go_on()
            await readings.until_answered(20)
        assert not cluster.fleet.ended()

    async def test_frozen_and_thawed(self, cluster):
        """A backend server answers nothing for a while, and then goes on.

        Its feeds go on elsewhere while it is silent.  What it finds in its
        sockets when it goes on was given up or still waits; no reading runs
        twice.
        """
        async with listening(cluster) as feeds, submitting(cluster) as readings:
            host = _busiest(feeds)
            cluster.freeze(f'{host}-server')
            await _have_moved(feeds, host)
            await readings.until_answered(10)
            cluster.thaw(f'{host}-server')
            await feeds.go_on()
            await readings.until_answered(20)
        assert count_runs(cluster.layout)


def _unknown(readings: Submissions) -> int:
    kinds = [
        type(outcome).__name__
        for outcome in readings.outcome_by_digest.values()
    ]
    return kinds.count('Unknown')
