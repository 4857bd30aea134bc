"""Which fault comes when, drawn from a seed."""

import random
from collections.abc import Iterator

import attrs

from soak.faults import (
    DisturbCalls,
    DrainServer,
    Fault,
    FillDisk,
    Kill,
    KillAll,
    LoseDisk,
    LosePower,
    Pause,
    ReportLate,
    RestartServer,
    Stop,
    TakeZoneOut,
    ThawBesideRestart,
)

SETTLE_SECONDS = 12.0
"""Seconds without faults at the end of a run, within which all must be served
again: the users' figure for recovery."""

MEAN_FILL_PAUSE = 4.0
"""Mean seconds between two full disks, where a run has any."""

MEAN_ORDER_PAUSE = 3.0
"""Mean seconds between two faults of a server that reports late or of a
balancer that goes on beside a restarted agent, where a run has any."""

LATE_REPORT = (0.05, 2.0)
"""Earliest and latest first report in seconds after the start of a server."""

FREEZE = (2.0, 5.0)
"""Shortest and longest time in seconds for which such a balancer stands
still."""

ROLE_OF_BALANCER = '-balancer'
ROLE_OF_AGENT = '-agent'

MEAN_PAUSE = 1.5
"""Mean seconds between two faults; most last longer, so that they overlap."""

LASTING = (0.5, 4.0)
"""Shortest and longest fault in seconds."""


DISTURBANCES = ('delay', 'reset', 'silent', 'answers_lost')


@attrs.frozen
class Planned:
    """A fault and when it comes, in seconds from the start."""

    at: float
    fault: Fault


@attrs.frozen
class Targets:
    """What faults may strike.

    Parameters
    ----------
    processes : tuple of str
        All processes.
    controls : tuple of str
        Those with a disk.
    servers : int
        How many servers there are.
    zones : tuple of str
        All zones.
    tolerated_losses : int
        How many disks may be lost at once.
    """

    processes: tuple[str, ...]
    controls: tuple[str, ...]
    servers: int
    zones: tuple[str, ...]
    tolerated_losses: int = 1


def draw_plan(
    seed: int,
    seconds: float,
    targets: Targets,
    *,
    fills_disks: bool = False,
    has_orders: bool = False,
) -> tuple[Planned, ...]:
    """Return the faults of a run in the order of time.

    Parameters
    ----------
    seed : int
        Decides everything.
    seconds : float
        Length of the run; its last ``SETTLE_SECONDS`` stay calm.
    targets : Targets
        What faults may strike.
    fills_disks : bool
        Whether disks fill up as well.  They are drawn apart, so that a seed
        gives the same other faults with and without them.
    has_orders : bool
        Whether servers report late and balancers go on beside restarted
        agents.  These are drawn apart as well.
    """
    planned = list(_draw(random.Random(seed), seconds, targets))
    if fills_disks:
        planned.extend(_draw_fills(random.Random(-seed), seconds, targets))
    if has_orders:
        chance = random.Random(f'orders {seed}')
        planned.extend(_draw_orders(chance, seconds, targets))
    return tuple(sorted(planned, key=lambda one: one.at))


def _draw(
    chance: random.Random, seconds: float, targets: Targets
) -> Iterator[Planned]:
    at = chance.expovariate(1 / MEAN_PAUSE)
    lost_disks_at: list[float] = []
    while at < seconds - SETTLE_SECONDS:
        fault = _draw_fault(chance, targets)
        if isinstance(fault, LoseDisk):
            recent = [one for one in lost_disks_at if at - one < SETTLE_SECONDS]
            if len(recent) < targets.tolerated_losses:
                lost_disks_at.append(at)
            else:
                fault = Kill(fault.process, fault.lasts)
        yield Planned(round(at, 3), fault)
        at += chance.expovariate(1 / MEAN_PAUSE)


def _draw_fills(
    chance: random.Random, seconds: float, targets: Targets
) -> Iterator[Planned]:
    at = chance.expovariate(1 / MEAN_FILL_PAUSE)
    while at < seconds - SETTLE_SECONDS:
        lasts = round(chance.uniform(*LASTING), 2)
        control = chance.choice(targets.controls)
        yield Planned(round(at, 3), FillDisk(control, lasts))
        at += chance.expovariate(1 / MEAN_FILL_PAUSE)


def _draw_orders(
    chance: random.Random, seconds: float, targets: Targets
) -> Iterator[Planned]:
    balancers = _of_role(targets, ROLE_OF_BALANCER)
    agents = _of_role(targets, ROLE_OF_AGENT)
    at = chance.expovariate(1 / MEAN_ORDER_PAUSE)
    while at < seconds - SETTLE_SECONDS:
        late = ReportLate(
            chance.randrange(targets.servers),
            round(chance.uniform(*LATE_REPORT), 2),
        )
        thaw = ThawBesideRestart(
            chance.choice(balancers),
            chance.choice(agents),
            round(chance.uniform(*FREEZE), 2),
        )
        yield Planned(round(at, 3), chance.choice((late, thaw)))
        at += chance.expovariate(1 / MEAN_ORDER_PAUSE)


def _of_role(targets: Targets, role: str) -> list[str]:
    return [name for name in targets.processes if name.endswith(role)]


def _draw_fault(chance: random.Random, targets: Targets) -> Fault:
    lasts = round(chance.uniform(*LASTING), 2)
    process = chance.choice(targets.processes)
    control = chance.choice(targets.controls)
    server = chance.randrange(targets.servers)
    zone = chance.choice(targets.zones)
    how = chance.choice(DISTURBANCES)
    return chance.choice(
        (
            Kill(process, lasts),
            Kill(control, lasts),
            Pause(process, lasts),
            Pause(control, lasts),
            Stop(process),
            LoseDisk(control, lasts),
            KillAll(lasts / 2),
            RestartServer(server),
            LosePower(server, lasts / 2),
            DrainServer(server, lasts),
            TakeZoneOut(zone, lasts),
            DisturbCalls(how, lasts),
        ),
    )
