"""One run of the soak."""

import asyncio
import contextlib
import shutil
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from types import MappingProxyType

import attrs

from soak.inject import Injector
from soak.load import (
    HABITS_BY_ORDERS,
    ROUTES,
    Habit,
    Seen,
    callers,
    keep_changing,
    read_back,
)
from soak.plan import SETTLE_SECONDS, Targets, draw_plan
from soak.promises import (
    Broken,
    broken_promises,
    ended_runs,
    idle_resets,
)
from soak.proxy import Proxy
from soak.starved import longest_delay
from standins.packets.operators import document
from standins.packets.settings import CONTROL_PORT
from standins.packets.site import PacketSite, Plan, running_site

START_SECONDS = 40
"""Seconds within which the first configuration is acknowledged; a group forms
in two, and a machine under load starts 12 processes in ten."""

PROXIES = 200
"""Last number of the first proxy's address."""

LINK_MBPS = 1.0
"""Rate of the links of one zone, which carries one upload at a time; 30 kB
take a quarter of a second."""

SITE = Plan(
    servers_by_service={'feed': 3, 'reports': 3, 'uploads': 2},
    link_mbps_by_zone={'west': LINK_MBPS},
)
LARGER_SITE = Plan(
    zones=('north', 'south', 'west', 'east'),
    balancers=2,
    disks=2,
    controls=2,
    tolerated_losses=2,
    servers_by_service={'feed': 4, 'reports': 4, 'uploads': 2},
    link_mbps_by_zone={'west': LINK_MBPS},
)
"""Five replicas count, among eight with disks."""

SITE_BY_LOSSES = MappingProxyType({1: SITE, 2: LARGER_SITE})
"""Site by the number of disks that may be lost at once."""

LAST_READ_SECONDS = 15
"""Seconds for the last read: the users' figure for recovery, and some calls."""


@attrs.frozen
class Outcome:
    """What came of a run.

    Parameters
    ----------
    faults : int
        How many struck.
    served : int
        Requests that were answered, uploads among them.
    uploads : int
        Uploads that were answered.
    idle_resets : int
        Idle flows that were reset after their server had ended.
    ignored_resets : int
        Resets on open flows that callers did not accept.
    failures_by_reason : dict
        Requests that were not.
    broken : tuple of Broken
        Promises that did not hold.
    longest_lag : float
        Seconds by which the soak itself was late at most.
    longest_delay : float
        Seconds for which one of the programs did not run at most, in the calm
        at the end.
    folder : Path
        Settings, disks and logs.
    """

    faults: int
    served: int
    uploads: int
    idle_resets: int
    ignored_resets: int
    failures_by_reason: dict[str, int]
    broken: tuple[Broken, ...]
    longest_lag: float
    longest_delay: float
    folder: Path


async def soak(
    seed: int,
    seconds: float,
    folder: Path,
    *,
    fills_disks: bool = False,
    has_orders: bool = False,
    losses: int = 1,
) -> Outcome:
    """Run a site under the faults of a seed.

    Parameters
    ----------
    seed : int
        Decides the faults and when they come.
    seconds : float
        Length of the run.
    folder : Path
        For settings, disks and logs.
    fills_disks : bool
        Whether disks fill up as well.
    has_orders : bool
        Whether servers report late and balancers go on beside restarted
        agents.
    losses : int
        How many disks may be lost at once: 1 or 2.
    """
    plan_of_site = SITE_BY_LOSSES[losses]
    async with (
        running_site(folder, plan_of_site) as site,
        _proxied(site) as proxies,
    ):
        seen = await _begun(site)
        plan = draw_plan(
            seed,
            seconds,
            _targets(site),
            fills_disks=fills_disks,
            has_orders=has_orders,
        )
        injector = Injector(site, proxies)
        async with (
            seen.running.counting(),
            _loaded(site, seen, HABITS_BY_ORDERS[has_orders]),
        ):
            async with injector.striking(plan):
                await asyncio.sleep(seconds - SETTLE_SECONDS)
            calm_since = time.monotonic()
            await seen.running.wait(SETTLE_SECONDS)
        broken = (
            *broken_promises(site, seen, injector.spans),
            *await _not_recovered(site, seen),
            *_ended_badly(injector),
        )
        return Outcome(
            len(plan),
            len(seen.served_at),
            seen.uploads,
            idle_resets(seen.broken, ended_runs(site.servers)),
            sum(caller.counters.resets_ignored for caller in site.callers),
            seen.failures_by_reason,
            broken,
            round(seen.running.longest_lag, 3),
            longest_delay(site, calm_since),
            folder,
        )


async def _begun(site: PacketSite) -> Seen:
    """Have a first configuration acknowledged."""
    first = await site.operator.replace(document(1, ROUTES), START_SECONDS)
    if first.status != 200:
        raise TimeoutError('the first configuration was not acknowledged')
    return Seen(acknowledged=1)


@contextlib.asynccontextmanager
async def _loaded(
    site: PacketSite, seen: Seen, habits: tuple[Habit, ...]
) -> AsyncIterator[None]:
    task = asyncio.create_task(keep_changing(site, seen))
    try:
        with callers(site, seen, habits):
            yield
    finally:
        task.cancel()


@contextlib.asynccontextmanager
async def _proxied(site: PacketSite) -> AsyncIterator[list[Proxy]]:
    """Let the operator reach control instances through proxies only."""
    async with contextlib.AsyncExitStack() as stack:
        proxies = []
        hosts = []
        for number, control in enumerate(site.controls):
            host = f'127.{site.network}.{number + 1}.{PROXIES}'
            proxy = Proxy(host, control.host, CONTROL_PORT)
            await stack.enter_async_context(proxy.serving())
            proxies.append(proxy)
            hosts.append(host)
        site.operator.hosts = hosts
        yield proxies


def _targets(site: PacketSite) -> Targets:
    return Targets(
        tuple(sorted(site.fleet.process_by_name)),
        tuple(f'{control.name}-control' for control in site.controls),
        len(site.servers),
        site.plan.zones,
        site.plan.tolerated_losses,
    )


async def _not_recovered(site: PacketSite, seen: Seen) -> list[Broken]:
    broken = []
    now = seen.running.seconds
    if not any(at > now - SETTLE_SECONDS / 4 for at in seen.served_at):
        broken.append(Broken('recovery', 'nothing is served after the faults'))
    if not await read_back(site, seen, LAST_READ_SECONDS):
        broken.append(Broken('configuration', 'cannot be read at the end'))
    return broken


def _ended_badly(injector: Injector) -> list[Broken]:
    return [
        Broken('shutdown', f'{name} ended with {code}')
        for name, code in injector.exit_codes
        if code
    ]


def run(
    seed: int,
    seconds: float,
    *,
    fills_disks: bool = False,
    has_orders: bool = False,
    losses: int = 1,
) -> Outcome:
    """Run the soak in a folder of its own, which is kept when it failed."""
    folder = Path(tempfile.mkdtemp(prefix='redwingstream-soak-'))
    outcome = asyncio.run(
        soak(
            seed,
            seconds,
            folder,
            fills_disks=fills_disks,
            has_orders=has_orders,
            losses=losses,
        )
    )
    if not outcome.broken:
        shutil.rmtree(folder, ignore_errors=True)
    return outcome
