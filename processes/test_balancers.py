"""Balancers are replaced and cut off, zones leave and return, under traffic."""

import asyncio
from collections.abc import AsyncIterator

import pytest_asyncio

from demo.checks import zone_of
from demo.layout import BALANCERS, CONTROLS, SERVERS, SWARD, Server
from processes.cluster import Cluster, open_cluster, until
from processes.traffic import listening, submitting

HOSTS = ('sward-1', 'sward-2', 'sward-5')
THREE = (*SERVERS[:2], Server('sward-5', SWARD, 'carse', 5))
IN_CARSE = ('sward-1', 'sward-5')
LONGER_THAN_A_FEW_SECONDS = 4.0


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def cluster(tmp_path_factory) -> AsyncIterator[Cluster]:
    """Three control instances, three balancers, three servers, two zones."""
    folder = tmp_path_factory.mktemp('balancers')
    async with open_cluster(folder, THREE, balancers=3) as opened:
        yield opened


async def _work_in(cluster: Cluster, hosts: tuple[str, ...]) -> int:
    """Ask the backend servers themselves how much work has come to them."""
    servers = [server for server in THREE if server.host in hosts]
    taken = await asyncio.gather(*map(cluster.callers.work_taken, servers))
    assert all(count >= 0 for count in taken), taken
    return sum(taken)


class TestReplaced:
    """Balancers die one after the other."""

    async def test_no_feed_breaks(self, cluster):
        """Every balancer is killed and replaced while feeds stream.

        The platform takes a dead one off the fabric's list a moment after its
        death and adds the new one when it is up.  Until then packets to it are
        lost.  No feed breaks, and no reading runs twice.
        """
        async with listening(cluster) as feeds, submitting(cluster) as readings:
            for name in BALANCERS:
                await cluster.kill(name)
                await feeds.go_on(1)
                left = [other for other in BALANCERS if other != name]
                await cluster.spray_over(*left)
                await readings.until_answered(10)
                await cluster.start(name)
                await cluster.until_in_force(name)
                await cluster.spray_over(*BALANCERS)
                await feeds.go_on()


class TestZone:
    """Operators take a zone out and bring it back."""

    async def test_out_and_in_while_traffic_runs(self, cluster):
        """A zone is taken out for the night and brought back.

        The command returns once the change is in force everywhere.  Feeds from
        other zones go on, those that ended in the zone may be opened again and
        come from elsewhere, no more work reaches the zone's servers; after it
        is back new flows reach it.
        """
        async with listening(cluster, 10) as feeds:
            zone = 'strathmore'
            stay = [feed for feed in feeds.feeds if zone_of(feed.host) != zone]
            feeds.feeds = stay
            assert stay
            async with submitting(cluster) as readings:
                marked = await cluster.tool.run('zone', 'out', zone, '--wait')
                assert marked.went_well, marked
                await asyncio.sleep(LONGER_THAN_A_FEW_SECONDS)
                before = await _work_in(cluster, ('sward-2',))
                async with listening(cluster, 6) as again:
                    assert set(again.hosts) <= set(IN_CARSE)
                    await readings.until_answered(20)
                    await feeds.go_on()
                    assert await _work_in(cluster, ('sward-2',)) == before
                    marked = await cluster.tool.run(
                        'zone', 'in', zone, '--wait'
                    )
                    assert marked.went_well, marked
                    await _reaches(cluster, 'sward-2')
                    await again.go_on()
            await cluster.until_settled(*HOSTS)

    async def test_a_balancer_that_control_cannot_reach(self, cluster):
        """A zone is taken out while one balancer does not hear of it.

        The balancer is frozen while the change is accepted, and every control
        instance is frozen before the balancer goes on, so that none can tell
        it.  It learns of the change from the agents that answer it, and stops
        sending to the zone.
        """
        cluster.freeze('b1')
        revision = (await cluster.client.read_tables()).config_revision
        marked = await cluster.tool.run('zone', 'out', 'strathmore')
        assert marked.went_well, marked
        await cluster.until_in_force('b2', 'b3', *HOSTS)
        cluster.freeze(*CONTROLS)
        cluster.thaw('b1')
        await cluster.spray_over('b1')

        async def has_learnt() -> bool:
            await cluster.callers.ask_host()
            return (await cluster.dump('b1')).get('revision', 0) > revision

        await until(has_learnt, 'b1 has the change from its peers')
        before = await _work_in(cluster, ('sward-2',))
        async with listening(cluster, 6) as feeds:
            assert set(feeds.hosts) <= set(IN_CARSE)
        assert await _work_in(cluster, ('sward-2',)) == before
        cluster.thaw(*CONTROLS)
        await cluster.spray_over(*BALANCERS)
        await cluster.until_in_force(*BALANCERS)
        marked = await cluster.tool.run('zone', 'in', 'strathmore', '--wait')
        assert marked.went_well, marked


async def _reaches(cluster: Cluster, host: str) -> None:
    async def is_reached() -> bool:
        return await cluster.callers.ask_host() == host

    await until(is_reached, f'new flows reach {host}')
