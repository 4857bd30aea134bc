"""Microseconds of the ledger's operations, by how many entries it holds.

``python -m asv_bench.ledger_operations``.  A full ledger condenses, see
``docs/design/ledger.md``.
"""

import time

import attrs

from asv_bench import fitting, memory, output
from redwingstream.requests.ledger import Ledger
from redwingstream.requests.records import RequestKey, RequestState

SIZES = (4096, 16384, 65536)
BUCKETS = 64
OPERATIONS = 4000
HORIZON = 300.0
MICRO = 1e6


@attrs.frozen
class LedgerCost:
    """Microseconds for each operation."""

    entries: int
    begin: float
    finish: float
    replay: float
    export_bucket: float


def measure(size: int) -> LedgerCost:
    """Return the costs of a ledger that holds some entries and has room."""
    ledger = Ledger(size + OPERATIONS, HORIZON)
    for number in range(size):
        _begin(ledger, number)
        _finish(ledger, number)
    fresh = range(size, size + OPERATIONS)
    known = range(OPERATIONS)
    return LedgerCost(
        entries=size,
        begin=_timed(ledger, fresh, _begin),
        finish=_timed(ledger, fresh, _finish),
        replay=_timed(ledger, known, _begin),
        export_bucket=_timed(ledger, range(BUCKETS), _export),
    )


def main() -> None:
    """Measure at three sizes."""
    report = output.Report('ledger_operations')
    flags = output.read_flags('ledger_operations')
    rows = []
    for size in SIZES:
        runs = [measure(size) for _ in range(fitting.REPEATS)]
        row: dict[str, object] = {'entries': size}
        for operation in ('begin', 'finish', 'replay', 'export_bucket'):
            levels = [getattr(run, operation) for run in runs]
            row[f'{operation} us'] = fitting.spread(levels)
        rows.append(row)
    report.add('ledger operations', rows)
    report.finish(flags.json)


def _timed(ledger: Ledger, numbers: range, operation: object) -> float:
    started = time.perf_counter()
    for number in numbers:
        operation(ledger, number)
    return (time.perf_counter() - started) / len(numbers) * MICRO


def _begin(ledger: Ledger, number: int) -> None:
    ledger.begin(number % BUCKETS, _key(number), _checksum(number), 0)


def _finish(ledger: Ledger, number: int) -> None:
    state = RequestState.ANSWERED
    ledger.finish(_key(number), _checksum(number), state, memory.ANSWER, 0)


def _export(ledger: Ledger, bucket: int) -> None:
    ledger.export(bucket, 0)


def _key(number: int) -> RequestKey:
    return RequestKey(
        memory.caller(number), memory.SERVICE, number, number.to_bytes(4)
    )


def _checksum(number: int) -> bytes:
    return number.to_bytes(8)


if __name__ == '__main__':
    main()
