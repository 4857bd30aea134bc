"""Completed requests until a new server has its full share.

Run ``python -m asv_bench.admission_share`` for the table: callers keep the
limit in full use, the server is cold for its first requests, and times of
service are constant or exponentially distributed.
"""

import heapq
import itertools
import random
import statistics
import sys

from asv_bench.admission_servers import COLD_FACTOR, SERVICE, WARM_UP
from asv_bench.tables import markdown_table
from redwingstream.admission.concurrency_limit import (
    ConcurrencyLimit,
    RunResult,
)

TRIALS = 20
SLOTS = (2, 3)
MOST_REQUESTS = 5000


def requests_to_full_share(
    slots: int, is_random: bool, expected: float | None, seed: int
) -> int:
    """Count the completed requests until the limit is all slots.

    Parameters
    ----------
    slots : int
        Slots of the server.
    is_random : bool
        Whether times of service are exponentially distributed.
    expected : float, optional
        Latency of a warm server of the pool in seconds, if it is known.
    seed : int
        For times of service.
    """
    drawn = random.Random(seed)
    limit = ConcurrencyLimit(slots, expected)
    ends: list[tuple[float, float]] = []
    now = float(0)
    for completed in range(MOST_REQUESTS):
        if limit.limit == slots:
            return completed
        mean = SERVICE if completed >= WARM_UP else SERVICE * COLD_FACTOR
        while limit.try_start(now):
            took = drawn.expovariate(1 / mean) if is_random else mean
            heapq.heappush(ends, (now + took, took))
        now, latency = heapq.heappop(ends)
        limit.record_finished(latency, RunResult.COMPLETED, now)
    return MOST_REQUESTS


def measure() -> list[dict]:
    """Return the rows of the table."""
    cases = itertools.product(SLOTS, (False, True), (None, SERVICE))
    return [_row(*case) for case in cases]


def _row(slots: int, is_random: bool, expected: float | None) -> dict:
    counts = [
        requests_to_full_share(slots, is_random, expected, seed)
        for seed in range(TRIALS)
    ]
    return {
        'slots': slots,
        'service': 'exponential' if is_random else 'constant',
        'expected latency': expected or 'not known',
        'least': min(counts),
        'median': round(statistics.median(counts)),
        'most': max(counts),
    }


if __name__ == '__main__':
    sys.stdout.write(f'{markdown_table(measure())}\n')
