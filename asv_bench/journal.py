"""Time of a synced append: the journal against SQLite's rollback journal.

Run with ``python -m asv_bench.journal FOLDER``; the folder has to be on the
disk that is to be measured.
"""

import contextlib
import sqlite3
import statistics
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import attrs

from redwingstream.consensus.events import HardState
from redwingstream.consensus.messages import Entry
from redwingstream.storage.disk import open_folder
from redwingstream.storage.store import ReplicaStore

APPENDS = 500
BODY_SIZE = 200
BODY = bytes(BODY_SIZE)
KIND = 43
MICROSECONDS = 1_000_000
SLOW_CUT = 98
GROUP = 16


@attrs.frozen
class Measured:
    """Times of single appends in microseconds: median, 99th percentile."""

    median: float
    slow: float


def measure(append: Callable[[int], object]) -> Measured:
    """Time a number of appends."""
    times = []
    for index in range(1, APPENDS + 1):
        start = time.perf_counter()
        append(index)
        times.append((time.perf_counter() - start) * MICROSECONDS)
    percentiles = statistics.quantiles(times, n=100)
    return Measured(statistics.median(times), percentiles[SLOW_CUT])


def measure_journal(path: Path, group: int) -> Measured:
    """Time synced appends of some entries each to the journal."""
    with open_folder(path) as folder:
        store = ReplicaStore(folder)
        store.load(lambda: 1)

        def append(index: int) -> None:
            first = index * group
            entries = [
                Entry(first + place, 1, KIND, BODY) for place in range(group)
            ]
            store.save(HardState(1, ''), entries)

        return measure(append)


@contextlib.contextmanager
def open_database(path: Path) -> Iterator[sqlite3.Connection]:
    """Open a database that syncs fully, with a rollback journal."""
    with contextlib.closing(
        sqlite3.connect(path, isolation_level=None)
    ) as connection:
        connection.execute('PRAGMA journal_mode = TRUNCATE')
        connection.execute('PRAGMA synchronous = FULL')
        connection.execute('CREATE TABLE entry (id INTEGER, body BLOB)')
        yield connection


def measure_database(path: Path) -> Measured:
    """Time inserts that are a transaction each."""
    with open_database(path) as connection:

        def append(index: int) -> None:
            connection.execute('INSERT INTO entry VALUES (?, ?)', (index, BODY))

        return measure(append)


def main(folder: Path) -> None:
    """Measure all and print a table."""
    rows = {
        'journal, 1 entry a sync': measure_journal(folder / 'one', 1),
        'journal, 16 entries a sync': measure_journal(folder / 'many', GROUP),
        'SQLite, rollback journal': measure_database(folder / 'db.sqlite'),
    }
    for name, row in rows.items():
        print(  # noqa: WPS421 - the table is this program's output
            f'{name:28} median {row.median:7.0f} us, '
            f'99th percentile {row.slow:7.0f} us',
        )


if __name__ == '__main__':
    main(Path(sys.argv[1]))
