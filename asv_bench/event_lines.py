"""Microseconds of processor time for a line of the event log.

``python -m asv_bench.event_lines``.  A line within the budget of its kind is
encoded and written; one above it is only counted.
"""

import os
import time

from asv_bench import fitting, output
from redwingstream.eventlog.lines import MAX_LINES_PER_SECOND, EventLog
from redwingstream.packets.events import FlowOpened

LINES = 20000
MICRO = 1e6
EVENT = FlowOpened(
    '100.64.0.7:40001>198.18.0.1:443',
    '10.0.0.1:7721',
    hops=0,
    waiting=1,
    flows=10,
    is_cold=False,
)


def measure(lines_a_second: int) -> float:
    """Return the cost of a line when so many come within a second."""
    seconds = (number / lines_a_second for number in range(LINES))
    with open(os.devnull, 'wb', buffering=0) as sink:
        log = EventLog(
            'node',
            'agent',
            lambda: next(seconds),
            lambda line: sink.write(line) == len(line),
        )
        started = time.process_time()
        for _ in range(LINES):
            log.write(EVENT)
    return (time.process_time() - started) / LINES * MICRO


def main() -> None:
    """Measure lines within the budget, and lines of which few are."""
    flags = output.read_flags('event_lines')
    report = output.Report('event_lines')
    rows = []
    for rate in (MAX_LINES_PER_SECOND, LINES):
        costs = [measure(rate) for _ in range(fitting.REPEATS)]
        rows.append({'lines a second': rate, 'us': fitting.spread(costs)})
    report.add('a line of the event log', rows)
    report.finish(flags.json)


if __name__ == '__main__':
    main()
