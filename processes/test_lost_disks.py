"""Loss of as many disks as the settings tolerate, and of power everywhere."""

import asyncio
import contextlib
import shutil
import time
import tomllib
from pathlib import Path

import pytest_asyncio

from standins.packets.callers import FlowEndedError
from standins.packets.header import End
from standins.packets.operators import RouteText, document
from standins.packets.settings import Machine
from standins.packets.site import PacketSite, Plan, running_site

DEPLOY = Path(__file__).parents[1] / 'deploy' / 'system.toml'
KEPT = RouteText('198.18.0.1', 443, 'feed')
REMOVED = RouteText('198.18.0.2', 443, 'feed')
BEFORE = document(1, (KEPT, REMOVED))
AFTER = document(2, (KEPT,))
TOLERATED_LOSSES = 2
START_SECONDS = 30
CONFIRM_SECONDS = 12
RECORD_SECONDS = 2


def _deployed_controls() -> int:
    """Return how many control instances the deploy file runs in a zone."""
    return tomllib.loads(DEPLOY.read_text())['roles']['control']['count']


@pytest_asyncio.fixture(loop_scope='module', scope='module')
async def site(tmp_path_factory):
    """A site that has lost two disks and power after a change.

    It has four zones with two disks each.  Every process is killed right after
    the change that removes a route is acknowledged.
    """
    plan = Plan(
        zones=('north', 'south', 'west', 'east'),
        balancers=2,
        disks=2,
        controls=_deployed_controls(),
        tolerated_losses=TOLERATED_LOSSES,
        servers_by_service={'feed': 2},
    )
    folder = tmp_path_factory.mktemp('disks')
    async with running_site(folder, plan) as running:
        assert (await running.operator.replace(BEFORE, 30)).status == 200
        await _until_opened(running, REMOVED)
        await asyncio.sleep(RECORD_SECONDS)
        assert (await running.operator.replace(AFTER)).status == 200
        lost = _voters(running)[:TOLERATED_LOSSES]
        await _lose_disks_and_power(running, lost)
        yield running


def _control_name(control: Machine) -> str:
    return f'{control.name}-control'


def _voters(site: PacketSite) -> list[Machine]:
    """Return the machines whose replicas have voted, the leader first."""
    return [
        control
        for role in ('"leader"', '"follower"')
        for control in site.controls
        if role in site.log(_control_name(control))
    ]


async def _lose_disks_and_power(site: PacketSite, lost: list[Machine]) -> None:
    """Kill all processes, empty the lost disks, and start all again."""
    names = list(site.fleet.process_by_name)
    await site.kill(*names)
    for machine in lost:
        shutil.rmtree(site.disk(machine))
    for name in names:
        await site.restart(name)


async def _is_opened(site: PacketSite, route: RouteText) -> bool:
    flow = site.callers[0].flow(End(route.host, route.port))
    with contextlib.suppress(FlowEndedError):
        await flow.open()
        return True
    return False


async def _until_opened(site: PacketSite, route: RouteText) -> None:
    end = time.monotonic() + START_SECONDS
    while not await _is_opened(site, route):
        assert time.monotonic() < end, 'no flow was accepted'
        await asyncio.sleep(0.1)


class TestLostDisksAndPower:
    """As many disks are lost as the settings tolerate, and power everywhere."""

    async def test_acknowledged_change_is_read(self, site) -> None:
        """Guards against a group that elects no leader after lost disks."""
        answer = await site.operator.read(CONFIRM_SECONDS)
        assert (answer.status, answer.body) == (200, AFTER)

    async def test_removed_route_is_refused(self, site) -> None:
        """Guards against flows by an older version after lost disks."""
        await _until_opened(site, KEPT)
        await asyncio.sleep(CONFIRM_SECONDS)
        assert not await _is_opened(site, REMOVED)
