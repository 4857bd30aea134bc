"""What a ledger should forget first: critical misses against its size.

Like figure 1 of Gardner, D'Angelo and Sears, "Twenty Years Later: Still
Improving the Correctness of an NFS Server" (Linux Symposium 2009): callers
make non-idempotent requests, some answers are lost, and their callers replay
them 60 seconds later.  A critical miss is a replay that is not found, and so
runs a second time.

Run ``python -m asv_bench.ledger_retention`` for the table, with ``--save`` for
the rows and the plot in docs/design as well.
"""

import argparse
import heapq
import itertools
import json
import pathlib
import random
import sys

import attrs

from asv_bench.retention_policies import (
    AsBuilt,
    ExpireByAge,
    Found,
    LeastRecentlyUsed,
    Policy,
    ProtectLast,
    RefuseWhenFull,
    Request,
    memory_for,
)
from asv_bench.tables import markdown_table

SEED = 2009
DURATION = 300
RATE = 450
LOST_FRACTION = 0.002
REPLAY_AFTER = 60
# Answers to replays are lost as well; three in a row are next to none.
HORIZON = 3 * REPLAY_AFTER
STREAMS = 600
SIZES = (128, 1024, 4096, 16384, 27000, 65536, 131072)
# A replay comes later than the first age; the second is that of Linux.
AGES = (30, 120, HORIZON)
POLICIES_DRAWN = ('LeastRecentlyUsed', 'ProtectLast', 'AsBuilt')
DOCS = pathlib.Path(__file__).parent.parent / 'docs' / 'design'


@attrs.frozen
class Workload:
    """Who asks.

    Parameters
    ----------
    name : str
        For the table.
    streams : int
        How many streams of requests share a caller address; each stream waits
        for its answer before it asks again.
    """

    name: str
    streams: int


WORKLOADS = (Workload('single', 1), Workload('concurrent', 8))


@attrs.define
class Tally:
    """What a run counted.

    Parameters
    ----------
    requests, replays : int
        New requests, and replays of requests that were run.
    critical_misses, unknown : int
        Replays not found, and replays told *unknown*.
    refused : int
        New requests refused, or mistaken for others.
    most_entries : int
        The largest that the memory was.
    """

    requests: int = 0
    replays: int = 0
    critical_misses: int = 0
    unknown: int = 0
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
        self._memory = memory_for(policy)
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
        request = Request(caller, next(self._numbers))
        self.tally.requests += 1
        if self._memory.meet(request, now) is Found.NOTHING:
            self._answer(now, stream, request)
        else:
            self.tally.refused += 1
            self._schedule(now + self._think(), stream, None)

    def _replay(self, now: float, stream: int, request: Request) -> None:
        self.tally.replays += 1
        found = self._memory.meet(request, now)
        if found is Found.UNKNOWN:
            self.tally.unknown += 1
            self._schedule(now + self._think(), stream, None)
            return
        if found is Found.NOTHING:
            self.tally.critical_misses += 1
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
    compared: list[Policy] = [ExpireByAge(seconds) for seconds in AGES]
    for size in SIZES:
        compared.append(LeastRecentlyUsed(size))
        compared.append(ProtectLast(size))
        compared.append(RefuseWhenFull(size, HORIZON))
        compared.append(AsBuilt(size, HORIZON))
    return sorted(compared, key=lambda policy: type(policy).__name__)


def measure() -> list[dict]:
    """Run every workload with every policy."""
    return [
        {
            'workload': workload.name,
            'policy': type(policy).__name__,
            'bound': attrs.astuple(policy)[0],
            **attrs.asdict(Simulation(workload, policy).run()),
        }
        for workload in WORKLOADS
        for policy in policies()
    ]


def save_plot(rows: list[dict], path: pathlib.Path) -> None:
    """Draw critical misses against size, as the paper does."""
    from matplotlib import pyplot  # noqa: WPS433 only the plot needs it

    pyplot.rcParams['svg.hashsalt'] = str(SEED)
    figure, axes = pyplot.subplots()
    drawn = itertools.product(WORKLOADS, POLICIES_DRAWN)
    for workload, policy in drawn:
        points = [
            (row['bound'], row['critical_misses'])
            for row in rows
            if (row['workload'], row['policy']) == (workload.name, policy)
        ]
        axes.plot(*zip(*points), 'o-', label=f'{policy}, {workload.name}')
    axes.set_xscale('log', base=2)
    axes.set_xlabel('entries')
    axes.set_ylabel('critical misses')
    axes.legend()
    figure.savefig(path, metadata={'Date': None}, bbox_inches='tight')


class CriticalMisses:
    """Regression bound for asv: the policy that is built misses nothing."""

    params = ('single', 'concurrent')

    def track_critical_misses(self, name: str) -> int:
        """Count second runs with a small ledger; there must be none."""
        workload = next(each for each in WORKLOADS if each.name == name)
        policy = AsBuilt(SIZES[1], HORIZON)
        return Simulation(workload, policy).run().critical_misses


def main() -> None:
    """Print the table, and save rows and plot on request."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--save', action='store_true')
    is_saved = parser.parse_args().save
    rows = measure()
    sys.stdout.write(f'{markdown_table(rows)}\n')
    if is_saved:
        (DOCS / 'ledger-retention.json').write_text(json.dumps(rows, indent=1))
        save_plot(rows, DOCS / 'ledger-retention.svg')


if __name__ == '__main__':
    main()
