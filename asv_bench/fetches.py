"""What it costs a control instance that processes fetch their tables from it.

One real control process; calls come from this process.  Processor time is the
control process's own.  ``python -m asv_bench.fetches``.
"""

import asyncio
import pathlib
import tempfile
import time

import attrs

from asv_bench import fitting, output
from asv_bench.fleets import pool_row, route_row
from asv_bench.idle import CONTROL, MEMBERS_SECONDS, control_process, cpu_of
from redwingstream.operators.client import ControlClient
from redwingstream.tables.edits import (
    Edits,
    SetPool,
    SetRoute,
)
from redwingstream.tables.messages import (
    FetchTables,
    TablesUpdate,
)
from redwingstream.wire.calls import MAX_CALL_SIZE, CallClient
from redwingstream.wire.frames import FrameCodec

ROUTES = (100, 1000, 2000)
CALLS = 1500
ROWS_A_CHANGE = 100
AT_ONCE = 16
MICRO = 1e6


async def measure(routes: int, control: int, key: bytes) -> dict[str, object]:
    """Return the cost of a delta and of a full copy at one size."""
    codec = FrameCodec(key, MAX_CALL_SIZE)
    calls = CallClient(codec)
    with calls.opened():
        client = ControlClient(calls, (CONTROL,), MEMBERS_SECONDS)
        revision = await _fill(client, routes)
        row: dict[str, object] = {'routes and pools': routes}
        for name, since in (('delta', revision), ('full copy', 0)):
            times = CALLS if since else CALLS // 10
            row.update(await _timed(calls, control, since, times, name))
        return row


async def _fill(client: ControlClient, routes: int) -> int:
    """Fill the tables; return the revision before the last route."""
    read = await client.read_tables()
    revision = read.config_revision
    for start in range(0, routes, ROWS_A_CHANGE):
        numbers = range(start, min(start + ROWS_A_CHANGE, routes))
        edits = Edits(
            set_pools=tuple(SetPool(pool_row(each)) for each in numbers),
            set_routes=tuple(SetRoute(route_row(each)) for each in numbers),
        )
        answer = await client.change(edits, revision, force=True)
        revision = answer.revision
    last = Edits(set_routes=(SetRoute(route_row(routes)),))
    await client.change(last, revision, force=True)
    return revision


async def _timed(
    calls: CallClient, control: int, since: int, times: int, name: str
) -> dict[str, object]:
    async def fetch() -> None:
        for _ in range(times // AT_ONCE):
            await calls.call(CONTROL, FetchTables(since), TablesUpdate)

    cpu, wall = cpu_of(control), time.perf_counter()
    await asyncio.gather(*(fetch() for _ in range(AT_ONCE)))
    made = times // AT_ONCE * AT_ONCE
    return {
        f'{name}: us of control a fetch': (cpu_of(control) - cpu)
        / made
        * MICRO,
        f'{name}: fetches a second': made / (time.perf_counter() - wall),
    }


def run(routes: int) -> dict[str, object]:
    """Measure one size with a control process of its own."""
    with tempfile.TemporaryDirectory(prefix='fetches-') as name:
        folder = pathlib.Path(name)
        with control_process(folder) as control:
            key = (folder / 'key').read_bytes()
            return asyncio.run(measure(routes, control, key))


def main() -> None:
    """Measure three sizes."""
    report = output.Report('fetches')
    flags = output.read_flags('fetches')
    rows = [run(routes) for routes in ROUTES]
    report.add('fetches from one control instance', rows)
    column = 'full copy: us of control a fetch'
    line = fitting.fit(ROUTES, [row[column] for row in rows])
    title = 'full copy, us for one more route and pool'
    report.add(title, [attrs.asdict(line)])
    report.finish(flags.json)


if __name__ == '__main__':
    main()
