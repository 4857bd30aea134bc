"""What a ledger should forget first: critical misses against its size.

Like figure 1 of Gardner, D'Angelo and Sears, "Twenty Years Later: Still
Improving the Correctness of an NFS Server" (Linux Symposium 2009): callers
make non-idempotent requests, some answers are lost, and their callers replay
them 60 seconds later.  A critical miss is a replay that is not found, and so
would run a second time.

Run ``python -m asv_bench.ledger_retention`` for the table, with ``--save`` for
the table and the plot in docs/design.
"""

import argparse
import heapq
import itertools
import json
import pathlib
import random

import attrs

from asv_bench.retention_policies import (
    ExpireByAge,
    LeastRecentlyUsed,
    Memory,
    Policy,
    ProtectLast,
    RefuseWhenFull,
    Request,
)

SEED = 2009
DURATION = 300
RATE = 450
LOST_FRACTION = 0.002
REPLAY_AFTER = 60
# Replays of replays are lost as well; three in a row are next to none.
HORIZON = 3 * REPLAY_AFTER
STREAMS = 600
SIZES = (128, 1024, 4096, 16384, 27000, 65536, 131072)
DOCS = pathlib.Path(__file__).parent.parent / 'docs' / 'design'


@attrs.frozen
class Workload:
    """Who asks.

    Parameters
    ----------
    name : str
        For the table.
    streams : int
        Streams of requests, each of which waits for its answer; a caller
        address has this many.
    """

    name: str
    streams: int


WORKLOADS = (Workload('single', 1), Workload('concurrent', 8))


@attrs.define
class Tally:
    """What a run counted.

    Parameters
    ----------
    requests, replays, critical_misses, refused : int
        New requests, replays, replays not found, and new requests refused.
    most_entries : int
        The largest that the memory was.
    """

    requests: int = 0
    replays: int = 0
    critical_misses: int = 0
    refused: int = 0
    most_entries: int = 0


class Simulation:
    """Callers against a memory, on a simulated clock.

    Parameters
    ----------
    workload : Workload
        Who asks.
    policy : Policy
        What the memory forgets.
    seed : int, optional
        For think times and lost answers.
    """

    def __init__(
        self, workload: Workload, policy: Policy, seed: int = SEED
    ) -> None:
        self.tally = Tally()
        self._workload = workload
        self._memory = Memory(policy)
        self._drawn = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, int, Request | None]] = []
        for stream in range(STREAMS):
            self._schedule(self._think(), stream, None)

    def run(self) -> Tally:
        """Run all of it and return what was counted."""
        while self._events[0][0] < DURATION:
            now, _, stream, replayed = heapq.heappop(self._events)
            if replayed is None:
                self._ask(now, stream)
            else:
                self._replay(now, stream, replayed)
        self.tally.most_entries = self._memory.most_entries
        return self.tally

    def _ask(self, now: float, stream: int) -> None:
        caller = stream // self._workload.streams
        request = (caller, next(self._numbers))
        self.tally.requests += 1
        if self._memory.remember(request, now):
            self._answer(now, stream, request)
        else:
            self.tally.refused += 1
            self._schedule(now + self._think(), stream, None)

    def _replay(self, now: float, stream: int, request: Request) -> None:
        self.tally.replays += 1
        if not self._memory.holds(request):
            self.tally.critical_misses += 1
            self._memory.remember(request, now)
        self._answer(now, stream, request)

    def _answer(self, now: float, stream: int, request: Request) -> None:
        if self._drawn.random() < LOST_FRACTION:
            self._schedule(now + REPLAY_AFTER, stream, request)
        else:
            self._schedule(now + self._think(), stream, None)

    def _think(self) -> float:
        return self._drawn.expovariate(RATE / STREAMS)

    def _schedule(
        self, when: float, stream: int, request: Request | None
    ) -> None:
        event = (when, next(self._numbers), stream, request)
        heapq.heappush(self._events, event)


def policies() -> list[Policy]:
    """Return what is compared."""
    by_size = ((LeastRecentlyUsed(size), ProtectLast(size)) for size in SIZES)
    by_age = (ExpireByAge(30), ExpireByAge(120), ExpireByAge(HORIZON))
    refusing = (RefuseWhenFull(size, HORIZON) for size in SIZES)
    return [*itertools.chain.from_iterable(by_size), *by_age, *refusing]


def measure() -> list[dict]:
    """Run every workload with every policy."""
    rows = []
    for workload in WORKLOADS:
        for policy in policies():
            tally = Simulation(workload, policy).run()
            rows.append(
                {
                    'workload': workload.name,
                    'policy': type(policy).__name__,
                    **attrs.asdict(policy),
                    **attrs.asdict(tally),
                }
            )
    return rows


def print_table(rows: list[dict]) -> None:
    """Print the rows for people and for docs/design/ledger.md."""
    columns = ('requests', 'replays', 'critical_misses', 'refused')
    print('| workload | policy | bound |', *columns, 'entries |', sep=' | ')
    for row in rows:
        bound = row.get('capacity') or f'{row["seconds"]} s'
        counted = (row[column] for column in (*columns, 'most_entries'))
        print('|', row['workload'], row['policy'], bound, *counted, sep=' | ')


def save_plot(rows: list[dict], path: pathlib.Path) -> None:
    """Draw critical misses against size, as the paper does."""
    from matplotlib import pyplot

    pyplot.rcParams['svg.hashsalt'] = str(SEED)
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for workload in WORKLOADS:
        for policy in ('LeastRecentlyUsed', 'ProtectLast', 'RefuseWhenFull'):
            drawn = [
                row
                for row in rows
                if (row['workload'], row['policy']) == (workload.name, policy)
            ]
            axes.plot(
                [row['capacity'] for row in drawn],
                [row['critical_misses'] for row in drawn],
                label=f'{policy}, {workload.name}',
                marker='o',
            )
    axes.set_xscale('log', base=2)
    axes.set_xlabel('entries')
    axes.set_ylabel('critical misses')
    axes.legend()
    figure.savefig(path, metadata={'Date': None}, bbox_inches='tight')


class CriticalMisses:
    """Regression bound for asv: the kept policy misses nothing."""

    params = [workload.name for workload in WORKLOADS]

    def track_critical_misses(self, name: str) -> int:
        """Count second runs under the kept policy, which must be none."""
        workload = next(each for each in WORKLOADS if each.name == name)
        policy = RefuseWhenFull(SIZES[-1], HORIZON)
        return Simulation(workload, policy).run().critical_misses


def main() -> None:
    """Print the table, and save it on request."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--save', action='store_true')
    rows = measure()
    print_table(rows)
    if parser.parse_args().save:
        saved = json.dumps(rows, indent=1)
        (DOCS / 'ledger-retention.json').write_text(f'{saved}\n')
        save_plot(rows, DOCS / 'ledger-retention.svg')


if __name__ == '__main__':
    main()
