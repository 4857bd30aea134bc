"""What a change of the configuration costs, by the size of the fleet.

For each kind of change: bytes that every process fetches, milliseconds of the
state machine at each control instance, and milliseconds of a balancer that
goes over to the new tables.  ``python -m asv_bench.control_changes``.
"""

import statistics
import time
from collections.abc import Callable

import attrs

from asv_bench import fitting, output
from asv_bench.fleets import (
    ZONES,
    Fleet,
    FleetShape,
    admission,
    pool_row,
    route_row,
)
from redwingstream.balancer.forwarder import Forwarder
from redwingstream.endpoints import Endpoint
from redwingstream.tables.edits import (
    Edits,
    SetPool,
    SetRoute,
    SetZone,
)
from redwingstream.tables.machine.messages import RemoveMember
from redwingstream.tables.messages import (
    TablesUpdate,
)
from redwingstream.tables.rows import ZoneMark
from redwingstream.tables.snapshot import Tables
from redwingstream.wire.calls import MAX_CALL_SIZE
from redwingstream.wire.frames import FrameCodec

SIZES = (100, 200, 400, 800, 1600)
KEY = b'k' * 32
MILLI = 1000


@attrs.frozen
class ChangeCost:
    """What one change costs.

    Parameters
    ----------
    update_bytes : int
        Frame that each process fetches.
    apply_ms : float
        State machine of one control instance, milliseconds.
    adopt_ms : float
        A balancer that decodes, merges and adopts it, milliseconds.
    rows : int
        Rows in the update.
    """

    update_bytes: int
    apply_ms: float
    adopt_ms: float
    rows: int


class Follower:
    """Tables of a balancer, fed with updates as they would travel."""

    def __init__(self) -> None:
        self.tables = Tables()
        self._forwarder = Forwarder(Endpoint('10.0.0.1', 7000), KEY)
        self._sender = FrameCodec(KEY, MAX_CALL_SIZE)
        self._receiver = FrameCodec(KEY, MAX_CALL_SIZE)

    def take(self, update: TablesUpdate) -> tuple[int, float]:
        """Return the bytes of the frame and the seconds that it took."""
        frame = self._sender.seal(update)
        started = time.perf_counter()
        decoded = self._receiver.open(frame).payload
        self.tables = self.tables.updated(decoded)
        self._forwarder.apply_tables(self.tables)
        return len(frame), time.perf_counter() - started


def cost_of(
    fleet: Fleet, follower: Follower, change: Callable[[], object]
) -> ChangeCost:
    """Carry out a change and return what it cost."""
    before = follower.tables.revision
    started = time.perf_counter()
    change()
    applied = time.perf_counter() - started
    update = fleet.machine.update_since(before)
    size, adopted = follower.take(update)
    rows = sum(
        len(part)
        for part in (
            update.routes,
            update.pools,
            update.zones,
            update.members,
            update.views,
            update.removed,
        )
    )
    return ChangeCost(size, applied * MILLI, adopted * MILLI, rows)


def changes_of(fleet: Fleet) -> dict[str, Callable[[], object]]:
    """Return the changes that are measured, in an order that works."""
    agent = fleet.machine.state.member_by_host['host-0']
    zone = ZONES[0]

    def mark(*, out: bool) -> Callable[[], object]:
        edits = Edits(set_zones=(SetZone(ZoneMark(zone, out)),))
        return lambda: fleet.change(edits)

    route = attrs.evolve(route_row(0), pool='pool-1')
    pool = attrs.evolve(pool_row(1), admits=('host-*', 'spare-*'))
    return {
        'route set': lambda: fleet.change(Edits(set_routes=(SetRoute(route),))),
        'pool set': lambda: fleet.change(Edits(set_pools=(SetPool(pool),))),
        'agent restarted': lambda: fleet.apply(admission(0, agent.pool, 2)),
        'balancer restarted': lambda: fleet.apply(admission(0, '', 2)),
        'agent removed': lambda: fleet.apply(
            RemoveMember('host-1', _incarnation(fleet, 'host-1'))
        ),
        'views settled': fleet.settle,
        'zone out': mark(out=True),
        'zone in': mark(out=False),
        'zone views settled': fleet.settle,
    }


def measure(agents: int) -> dict[str, ChangeCost]:
    """Return the cost of each change at one size."""
    fleet = Fleet(FleetShape.of_agents(agents))
    follower = Follower()
    size, seconds = follower.take(fleet.machine.update_since(0))
    cost_by_change = {'full copy': ChangeCost(size, 0, seconds * MILLI, 0)}
    for name, change in changes_of(fleet).items():
        cost_by_change[name] = cost_of(fleet, follower, change)
    return cost_by_change


def middle_of(costs: list[ChangeCost]) -> ChangeCost:
    """Return the middle of repeated runs; counts are the same in each."""
    return ChangeCost(
        costs[0].update_bytes,
        statistics.median(cost.apply_ms for cost in costs),
        statistics.median(cost.adopt_ms for cost in costs),
        costs[0].rows,
    )


def main() -> None:
    """Measure at every size; print costs and slopes for one more host."""
    report = output.Report('control_changes')
    costs: dict[str, list[ChangeCost]] = {}
    shapes = [FleetShape.of_agents(agents) for agents in SIZES]
    members = [shape.members for shape in shapes]
    products = [shape.members * shape.pools for shape in shapes]
    for agents in SIZES:
        runs = [measure(agents) for _ in range(fitting.REPEATS)]
        for name in runs[0]:
            middle = middle_of([run[name] for run in runs])
            costs.setdefault(name, []).append(middle)
    for field in ('update_bytes', 'apply_ms', 'adopt_ms', 'rows'):
        report.add(
            f'{field} by members {members}',
            [_row(name, members, costs[name], field) for name in costs],
        )
    report.add(
        f'apply_ms by members times pools {products}',
        [_row(name, products, costs[name], 'apply_ms') for name in costs],
    )
    report.finish(output.read_flags('control_changes').json)


def _row(
    name: str, members: list[int], costs: list[ChangeCost], field: str
) -> dict[str, object]:
    levels = [getattr(cost, field) for cost in costs]
    line = fitting.fit(members, levels)
    return {
        'change': name,
        **dict(zip(map(str, members), levels, strict=True)),
        'for one more': line.per_item,
        'fixed': line.fixed,
        'r squared': line.r_squared,
    }


def _incarnation(fleet: Fleet, host: str) -> int:
    return fleet.machine.state.member_by_host[host].incarnation


if __name__ == '__main__':
    main()
