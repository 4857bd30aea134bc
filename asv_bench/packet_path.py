"""Packets a second through one balancer process, over loopback.

Several sender processes flood it with callers' packets, or with agents'
answers; what it cannot take the kernel drops.  The batch reader is compared
with one datagram a wake-up in the same run.  Times are those of this machine
and its load at the time: only ratios within one run mean something.

``python -m asv_bench.packet_path``; ``--profile`` shows where the time goes.
"""

import argparse
import multiprocessing
import pathlib
from multiprocessing.process import BaseProcess

import attrs

from asv_bench import fitting, output
from asv_bench.packet_processes import (
    BalancerCount,
    BalancerRun,
    Load,
    run_balancer,
    send_load,
)
from redwingstream.wire import datagrams

SENDERS = 2
SECONDS = 2.0
SLACK = 3.0
PAYLOAD = b'\x44\x01\x12\x34abcd\x60\x54feed\xffplate reading 17'
REPLY = bytes.fromhex('6445123461626364 60ff').ljust(74, b'r')
CALLERS = (500, 5000, 20000, 100000)
"""Callers of one sender; the caches of a balancer hold 65536."""


@attrs.frozen
class Case:
    """One thing that is measured."""

    name: str
    load: Load
    batch: int = datagrams.BATCH


def measure(case: Case, *, profile: bool = False) -> BalancerCount:
    """Run a balancer and its senders once."""
    context = multiprocessing.get_context('spawn')
    ours, theirs = context.Pipe()
    run = BalancerRun(SECONDS, case.batch, profile)
    balancer = context.Process(target=run_balancer, args=(run, theirs))
    balancer.start()
    # The child holds the only other end, so that its death ends the wait.
    theirs.close()
    ours.recv()
    senders = [
        context.Process(target=send_load, args=(case.load, number))
        for number in range(SENDERS)
    ]
    for sender in senders:
        sender.start()
    count = ours.recv()
    for process in (balancer, *senders):
        _end(process)
    return count


def cases() -> list[Case]:
    """Return what is measured."""
    long = SECONDS + SLACK
    flood = Load(CALLERS[0], PAYLOAD, long)
    answers = Load(CALLERS[0], REPLY, long, answers=True)
    many = [
        Case(
            f'forward, batches of {datagrams.BATCH}, '
            f'{SENDERS * callers} callers',
            Load(callers, PAYLOAD, long),
        )
        for callers in CALLERS[1:]
    ]
    return [
        Case('forward, one datagram a wake-up', flood, 1),
        Case(f'forward, batches of {datagrams.BATCH}', flood),
        Case('answer, one datagram a wake-up', answers, 1),
        Case(f'answer, batches of {datagrams.BATCH}', answers),
        *many,
        Case(
            f'answer, batches of {datagrams.BATCH}, '
            f'{SENDERS * CALLERS[-1]} callers',
            attrs.evolve(answers, callers=CALLERS[-1]),
        ),
    ]


def main() -> None:
    """Measure every case three times."""
    parser = argparse.ArgumentParser(prog='python -m asv_bench.packet_path')
    parser.add_argument('--json', type=pathlib.Path)
    parser.add_argument('--profile', action='store_true')
    parser.add_argument('--repeats', type=int, default=fitting.REPEATS)
    flags = parser.parse_args()
    report = output.Report('packet_path')
    if flags.profile:
        for case in (cases()[1], cases()[3]):
            print(case.name, measure(case, profile=True).profile)
        return
    rows = []
    for case in cases():
        runs = [measure(case) for _ in range(flags.repeats)]
        rows.append(
            {
                'case': case.name,
                'packets a second': fitting.spread([run.rate for run in runs]),
                'us of processor time a packet': fitting.spread(
                    [run.cpu_us for run in runs]
                ),
                'resident KB': max(run.rss_kb for run in runs),
            }
        )
    report.add('one balancer process', rows)
    report.finish(flags.json)


def _end(process: BaseProcess) -> None:
    process.join(SLACK)
    if process.is_alive():
        process.terminate()
        process.join()


if __name__ == '__main__':
    main()
