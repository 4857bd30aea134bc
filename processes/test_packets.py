"""The programs of the users' platform as real processes on loopback."""

import asyncio
import contextlib
import shutil
import time

import pytest
import pytest_asyncio

from standins.packets.callers import CallerFlow, FlowEndedError
from standins.packets.calls import call
from standins.packets.header import End
from standins.packets.operators import RouteText, document
from standins.packets.site import PacketSite, Plan, running_site

FEED = End('198.18.0.1', 443)
REPORTS = End('198.18.0.2', 443)
ROUTES = (
    RouteText(FEED.host, FEED.port, 'feed'),
    RouteText(REPORTS.host, REPORTS.port, 'reports', 'download'),
)
START_SECONDS = 30
PLAN = Plan(servers_by_service={'feed': 3, 'reports': 2})


async def open_flow(
    site: PacketSite, service: End = FEED, seconds: float = START_SECONDS
) -> CallerFlow:
    """Open a flow; callers try again while the site is starting."""
    end = time.monotonic() + seconds
    caller = site.callers[0]
    while True:
        flow = caller.flow(service)
        try:
            await flow.open()
        except FlowEndedError:
            assert time.monotonic() < end, 'no flow was accepted'
            await asyncio.sleep(0.1)
        else:
            return flow


@pytest_asyncio.fixture(loop_scope='module', scope='module')
async def site(tmp_path_factory):
    """A site with a configuration in force, its servers reported."""
    folder = tmp_path_factory.mktemp('packets')
    async with running_site(folder, PLAN) as running:
        answer = await running.operator.replace(document(1, ROUTES), 30)
        assert answer.status == 200
        for service in (FEED, REPORTS):
            flow = await open_flow(running, service)
            flow.close()
        yield running


def _server_of(site: PacketSite, answer: str):
    name = answer.rpartition(' ')[2]
    return next(server for server in site.servers if server.name == name)


class TestWholePath:
    """A flow is carried both ways, to its own service only."""

    @pytest.mark.parametrize(
        ('service', 'pool'), [(FEED, 'feed'), (REPORTS, 'reports')]
    )
    async def test_answers_come_from_the_service(self, site, service, pool):
        flow = await open_flow(site, service)
        for number in range(5):
            answer = await flow.ask(f'whole-{pool}-{number}')
            server = _server_of(site, answer)
            assert server.machine.service == pool
        flow.close()

    async def test_every_packet_arrives_as_it_was_written(self, site):
        assert not any(server.forged for server in site.servers)
        assert not any(caller.counters.forged for caller in site.callers)

    async def test_one_flow_stays_at_one_server(self, site):
        flow = await open_flow(site)
        answers = [await flow.ask(f'stay-{number}') for number in range(10)]
        assert len({_server_of(site, answer).name for answer in answers}) == 1
        flow.close()


class TestMetrics:
    """Each process shows what it counts."""

    @pytest.mark.parametrize(
        ('port', 'family'),
        [
            (9101, 'redwingstream_replica{what="term"}'),
            (9102, 'redwingstream_packets_total{what="opened"}'),
        ],
    )
    async def test_front_machines(self, site, port, family):
        address = f'{site.controls[0].host}:{port}'
        answer = await call('GET', address, '/metrics', seconds=5)
        assert family in answer.body.decode()

    async def test_agents(self, site):
        address = f'{site.servers[0].machine.host}:9103'
        answer = await call('GET', address, '/metrics', seconds=5)
        text = answer.body.decode()
        assert 'redwingstream_server{what="readiness"} 1.0' in text
        assert 'redwingstream_opening_to_answer_seconds_count' in text


class TestConfiguration:
    """The highest version wins; what is not valid changes nothing."""

    async def test_reads_what_was_acknowledged(self, site):
        body = document(10, ROUTES)
        assert (await site.operator.replace(body)).status == 200
        assert (await site.operator.read()).body == body

    async def test_an_older_version_changes_nothing(self, site):
        newest = document(20, ROUTES)
        assert (await site.operator.replace(newest)).status == 200
        old = document(19, ROUTES[:1])
        assert (await site.operator.replace(old)).status == 200
        assert (await site.operator.read()).body == newest

    async def test_what_is_not_valid_is_refused(self, site):
        before = (await site.operator.read()).body
        answer = await site.operator.replace(document(99, ROUTES)[:-9])
        assert answer.status == 400
        assert (await site.operator.read()).body == before

    async def test_a_new_route_is_in_force_soon(self, site):
        added = RouteText('198.18.0.7', 99, 'feed')
        body = document(30, (*ROUTES, added))
        assert (await site.operator.replace(body)).status == 200
        flow = await open_flow(site, End(added.host, added.port), 3)
        answer = await flow.ask('new-route')
        assert _server_of(site, answer).machine.service == 'feed'
        flow.close()


class TestAgentKilled:
    """An agent that is killed and restarted keeps its server's flows."""

    async def test_an_open_flow_goes_on(self, site):
        """A planner's feed stalls for a moment and goes on.

        The agent beside the feed's server is killed and restarted; it has
        forgotten all flows.  The next packet is delivered to see whether the
        server holds it, and it does.
        """
        flow = await open_flow(site)
        server = _server_of(site, await flow.ask('before'))
        await site.kill(site.agent_name(server))
        await site.restart(site.agent_name(server))
        answer = await flow.ask('after', seconds=10)
        assert _server_of(site, answer) is server
        assert not any(caller.counters.all_resets for caller in site.callers)
        flow.close()


class TestServerDrains:
    """A server that drains gets nothing new and cuts nothing."""

    async def test_new_flows_go_elsewhere(self, site):
        draining = next(
            server
            for server in site.servers
            if server.machine.service == 'feed'
        )
        draining.state = 'draining'
        assert await draining.report()
        before = len(draining.opened)
        for number in range(12):
            flow = await open_flow(site)
            await flow.ask(f'drain-{number}')
            flow.close()
        assert len(draining.opened) == before
        draining.state = 'ready'
        assert await draining.report()


class TestZoneOut:
    """A zone that is taken out gets nothing new until it is back."""

    async def test_out_and_in(self, site):
        assert (await site.operator.zone_out('north')).status == 200
        await asyncio.sleep(1)
        out = [
            server for server in site.servers if server.machine.zone == 'north'
        ]
        before = [len(server.opened) for server in out]
        for number in range(10):
            flow = await open_flow(site)
            await flow.ask(f'zone-{number}')
            flow.close()
        assert [len(server.opened) for server in out] == before
        assert (await site.operator.zone_in('north')).status == 200


class TestLeaderKilled:
    """An acknowledged configuration survives its leader."""

    async def test_no_change_is_lost(self, site):
        """Operators see their change after the leader is killed.

        The leader has acknowledged a change and is killed at once; the next
        one must know it.
        """
        body = document(40, ROUTES)
        assert (await site.operator.replace(body)).status == 200
        names = [f'{control.name}-control' for control in site.controls]
        leaders = [name for name in names if '"leader"' in site.log(name)]
        await site.kill(leaders[-1])
        assert (await site.operator.read()).body == body
        await site.restart(leaders[-1])


class TestLostDisk:
    """A control instance that lost its disk counts again."""

    async def test_two_losses_in_a_row(self, site):
        """Operators lose nothing when two disks are lost one after the other.

        Each instance comes back with an empty disk, catches up and is
        readmitted before the next one is lost.
        """
        body = document(50, ROUTES)
        assert (await site.operator.replace(body)).status == 200
        for control in site.controls[:2]:
            name = f'{control.name}-control'
            await site.kill(name)
            shutil.rmtree(site.disk(control))
            logged = len(site.log(name))
            await site.restart(name)
            await _until_voter(site, name, logged)
        assert (await site.operator.read()).body == body


async def _until_voter(site: PacketSite, name: str, logged: int) -> None:
    """Wait until a replica that lost its disk counts again.

    Its former run had logged so many characters.
    """
    end = time.monotonic() + START_SECONDS
    while '"follower"' not in site.log(name)[logged:]:
        assert time.monotonic() < end, site.log(name)[logged:]
        await asyncio.sleep(0.1)


class TestBalancerStops:
    """A balancer that is asked to stop cuts nothing."""

    async def test_open_flows_go_on(self, site):
        """A planner's feed goes on while balancers are stopped in turn.

        The balancer says that it is not ready, forwards until the fabric has
        taken it out, and ends; the flow's packets then reach another one,
        which has never seen it.
        """
        flow = await open_flow(site)
        server = _server_of(site, await flow.ask('begin'))
        name = f'{site.fronts[0].name}-balancer'
        stopping = asyncio.create_task(site.terminate(name))
        answers = []
        while not stopping.done():
            answers.append(await flow.ask(f'stopping-{len(answers)}'))
            await asyncio.sleep(0.1)
        assert await stopping == 0
        assert {_server_of(site, answer) for answer in answers} == {server}
        await site.restart(name)


class TestAllKilled:
    """All processes are killed at once."""

    async def test_everything_is_as_before(self, site):
        """Callers and operators find everything after a short pause.

        Every process of the system is killed at the same moment and started
        again; the servers and their open flows are still there.
        """
        body = document(60, ROUTES)
        assert (await site.operator.replace(body)).status == 200
        flow = await open_flow(site)
        server = _server_of(site, await flow.ask('before-all'))
        names = list(site.fleet.process_by_name)
        await site.kill(*names)
        for name in names:
            await site.restart(name)
        with contextlib.suppress(FlowEndedError):
            await flow.ask('first')
        answer = await flow.ask('after-all', seconds=10)
        assert _server_of(site, answer) is server
        assert (await site.operator.read()).body == body
        assert not any(caller.counters.all_resets for caller in site.callers)
        flow.close()


class TestRunsOnce:
    """No request ran twice in all of the above."""

    async def test_every_request_has_one_run(self, site):
        names = [run.request for run in site.runs]
        assert len(names) == len(set(names))
