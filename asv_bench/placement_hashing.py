"""Cost, movement and balance of placing buckets by rendezvous hashing.

Run ``python asv_bench/placement_hashing.py`` from the root of the project.
"""

import math
import time
from collections import Counter

import attrs

from redwingstream.placement.rendezvous import bucket_of, pair_of
from redwingstream.tables.rows import ViewMember

POOL = 'sward-live'
SERVICE = '10.9.0.1:5683'
ZONES = ('carse', 'strathmore', 'angus-glens', 'fife-north')
KEY = b'k' * 32
CALLS = 200_000
PAIRS = 20_000
MANY_BUCKETS = 16_384
HOSTS = 7


def members(count: int) -> tuple[ViewMember, ...]:
    """Return hosts spread over the zones."""
    return tuple(
        ViewMember(
            f'host-{run}',
            run + 1,
            f'10.1.0.{run}:7000',
            ZONES[run % len(ZONES)],
        )
        for run in range(count)
    )


def homes(chosen: tuple[ViewMember, ...], buckets: int) -> list[str]:
    """Return the home of each bucket."""
    return [
        pair_of(chosen, POOL, bucket).home.host for bucket in range(buckets)
    ]


def moved(before: list[str], after: list[str]) -> float:
    """Return which fraction of the buckets has another home."""
    changed = sum(map(str.__ne__, before, after))
    return changed / len(before)


def print_cost() -> None:
    """Print microseconds a call, best of three runs."""
    rows = [f'10.0.{port >> 8}.{port & 255}:4000' for port in range(CALLS)]
    best = math.inf
    for _ in range(3):
        start = time.perf_counter()
        for caller in rows:
            bucket_of(caller, SERVICE, 64, KEY)
        best = min(best, time.perf_counter() - start)
    print(f'bucket_of: {best / CALLS * 1e6:.2f} us')
    for count in (HOSTS, 50):
        chosen = members(count)
        start = time.perf_counter()
        for bucket in range(PAIRS):
            pair_of(chosen, POOL, bucket)
        spent = (time.perf_counter() - start) / PAIRS * 1e6
        print(f'pair_of, {count} members: {spent:.1f} us')


def print_movement() -> None:
    """Print what moves when a member comes, goes or changes its weight."""
    seven = members(HOSTS)
    before = homes(seven, MANY_BUCKETS)
    heavier = (attrs.evolve(seven[0], weight=200), *seven[1:])
    cases = (
        ('one of 7 leaves', seven[1:], 1 / 7),
        ('an eighth joins', members(HOSTS + 1), 1 / 8),
        ('a weight doubles', heavier, 2 / 8 - 1 / 7),
    )
    for name, chosen, ideal in cases:
        part = moved(before, homes(chosen, MANY_BUCKETS))
        print(f'{name}: {part:.4f} of the buckets move, ideal {ideal:.4f}')


def print_balance() -> None:
    """Print the largest load over the fair share, for the pools of today."""
    for buckets in (64, 256, 1024, MANY_BUCKETS):
        worst = []
        for weights in ((100,) * HOSTS, (300, 100, 100, 100, 50, 50, 100)):
            chosen = tuple(
                attrs.evolve(each, weight=weight)
                for each, weight in zip(members(HOSTS), weights, strict=True)
            )
            held = Counter(homes(chosen, buckets))
            total = sum(weights)
            worst.append(
                max(
                    held[each.host] / buckets * total / each.weight
                    for each in chosen
                )
            )
        print(
            f'{buckets} buckets: max over fair share '
            f'{worst[0]:.2f} equal weights, {worst[1]:.2f} uneven weights'
        )


if __name__ == '__main__':
    print_cost()
    print_movement()
    print_balance()
