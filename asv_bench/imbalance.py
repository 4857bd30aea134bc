"""How evenly buckets divide, by how many buckets a pool has.

The share of the busiest home over the mean, with equal weights: what a pool's
imbalance comes to when the callers are many.
``python -m asv_bench.imbalance``.
"""

from collections import Counter

from asv_bench import fitting, output
from asv_bench.handoff import members_of
from redwingstream.placement.rendezvous import pair_of

BUCKETS = (64, 128, 256, 512, 1024)
HOSTS = (3, 4, 7, 15, 30)
POOLS = 20


def imbalance(hosts: int, buckets: int, pool: str) -> float:
    """Return the most buckets at a home over the mean."""
    members = members_of(hosts)
    homes = Counter(
        pair_of(members, pool, bucket).home.host for bucket in range(buckets)
    )
    return max(homes.values()) * hosts / buckets


def main() -> None:
    """Print the middle and the range over some pools' names."""
    report = output.Report('imbalance')
    flags = output.read_flags('imbalance')
    rows = []
    for hosts in HOSTS:
        row: dict[str, object] = {'hosts': hosts}
        for buckets in BUCKETS:
            levels = [
                imbalance(hosts, buckets, f'pool-{number}')
                for number in range(POOLS)
            ]
            row[f'{buckets} buckets'] = fitting.spread(levels)
        rows.append(row)
    report.add('busiest home over the mean', rows)
    report.finish(flags.json)


if __name__ == '__main__':
    main()
