"""Resident memory of each role at rest, as real processes.

The floor is an interpreter with ``asyncio``, and one with the libraries that
every role needs.  ``python -m asv_bench.resident``.
"""

import contextlib
import pathlib
import resource
import subprocess
import sys
import tempfile
import time

from asv_bench import output
from asv_bench.idle import CONTROL, control_process
from asv_bench.packet_processes import resident_kb

AT_REST_SECONDS = 4
SMAPS = 'smaps_rollup'
SHOW = (
    'import pathlib;'
    'print(next(line for line in pathlib.Path("/proc/self/status")'
    '.read_text().splitlines() if "VmRSS" in line).split()[1])'
)
FLOORS = {
    'interpreter with asyncio': 'import asyncio;',
    'and pynng, msgspec, attrs, absl, statsd': (
        'import asyncio, pynng, msgspec, attrs, absl.logging, statsd;'
    ),
    'and aiocoap (Message)': (
        'import asyncio, pynng, msgspec, attrs, absl.logging, statsd;'
        'import aiocoap.message;'
    ),
    'and cleo': (
        'import asyncio, pynng, msgspec, attrs, absl.logging, statsd;'
        'import aiocoap.message, cleo.application;'
    ),
}


def floor_kb(imports: str) -> int:
    """Return the resident memory of an interpreter after some imports."""
    command = (sys.executable, '-c', imports + SHOW)
    return int(subprocess.check_output(command))


def private_kb(pid: int) -> int:
    """Return the memory that a process shares with no other, KB."""
    text = pathlib.Path(f'/proc/{pid}/{SMAPS}').read_text()
    return sum(
        int(line.split()[1])
        for line in text.splitlines()
        if line.startswith('Private_')
    )


def tool_kb() -> int:
    """Return the most that the operators' tool takes, by its help."""
    command = (sys.executable, '-m', 'redwingstream.operators.tool', 'list')
    subprocess.run(command, capture_output=True, check=False)
    return resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss


def member_commands(key_file: pathlib.Path) -> dict[str, list[str]]:
    """Return a balancer and an agent of their own."""
    common = [f'--key-file={key_file}', '--zone=z0', f'--control={CONTROL}']
    return {
        'balancer': [
            'balancer',
            '--host=b1',
            '--endpoint=127.72.2.1:7000',
            '--fabric-endpoint=127.72.2.1:7001',
            *common,
        ],
        'agent': [
            'agent',
            '--host=host-1',
            '--endpoint=127.72.3.1:7000',
            '--server=127.72.4.1:5683',
            '--pool=pool-0',
            *common,
        ],
    }


def main() -> None:
    """Start one process of each role and look."""
    report = output.Report('resident')
    flags = output.read_flags('resident')
    tool = tool_kb()
    rows = [
        {'what': name, 'resident KB': floor_kb(imports), 'private KB': ''}
        for name, imports in FLOORS.items()
    ]
    with contextlib.ExitStack() as stack:
        name = stack.enter_context(tempfile.TemporaryDirectory(prefix='rss-'))
        folder = pathlib.Path(name)
        pids = {'control': stack.enter_context(control_process(folder))}
        commands = member_commands(folder / 'key')
        for role, arguments in commands.items():
            command = [sys.executable, '-m', 'redwingstream.daemon', *arguments]
            process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
            stack.callback(process.wait)
            stack.callback(process.terminate)
            pids[role] = process.pid
        time.sleep(AT_REST_SECONDS)
        rows.extend(
            {
                'what': role,
                'resident KB': resident_kb(pid),
                'private KB': private_kb(pid),
            }
            for role, pid in pids.items()
        )
    rows.append(
        {'what': "operators' tool", 'resident KB': tool, 'private KB': ''}
    )
    report.add('at rest', rows)
    report.finish(flags.json)


if __name__ == '__main__':
    main()
