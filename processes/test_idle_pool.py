"""Feeds only: no request tells the agents what their servers can bear."""

from collections.abc import AsyncIterator

import pytest_asyncio

from demo.layout import SERVERS, SWARD, Server
from processes.cluster import Cluster, open_cluster, until
from processes.traffic import listening

THREE = (*SERVERS[:2], Server('sward-5', SWARD, 'carse', 5))


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def cluster(tmp_path_factory) -> AsyncIterator[Cluster]:
    """Three control instances, two balancers, three servers of one pool."""
    folder = tmp_path_factory.mktemp('idle')
    async with open_cluster(folder, THREE, balancers=2) as opened:
        yield opened


class TestServerFrozen:
    """A backend server answers nothing any more."""

    async def test_its_feeds_move(self, cluster):
        """At night grazing feeds stream and nobody submits anything.

        One backend server freezes.  Its agent finds that out and asks the
        homes to place the feeds elsewhere; the other servers are well.  Every
        feed goes on there.
        """
        async with listening(cluster, 12) as feeds:
            host = feeds.hosts.most_common(1)[0][0]
            cluster.freeze(f'{host}-server')

            async def have_moved() -> bool:
                feeds.check()
                return host not in feeds.hosts

            await until(have_moved, f'no feed comes from {host}')
            await feeds.go_on()
