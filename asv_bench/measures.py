"""The measures of the brief, for both deployments, against plain hashing.

Broken flows, imbalance across backend servers, and service while an
availability zone leaves and returns.  Real processes with small stand-ins on
loopback; each deployment once with the system and twice with plain hashing,
which has neither handoff nor admission: over servers that start cold, and over
servers that never do.  ``python -m asv_bench.measures`` takes about five
minutes; ``--plots FOLDER`` writes the plots.
"""

import argparse
import asyncio
import pathlib
import secrets
import tempfile

import attrs

from asv_bench import output
from asv_bench.deployments import CUYO, TAYSIDE, Commands, Deployment
from asv_bench.measured_run import MeasuredRun, Measures
from asv_bench.plots import save_plots
from asv_bench.targets import (
    PlainTarget,
    SystemTarget,
    WarmPlainTarget,
)
from demo.processes import running

KEY_MODE = 0o600
TARGETS = (SystemTarget, PlainTarget, WarmPlainTarget)


async def measure(
    deployment: Deployment, kind: type[SystemTarget | PlainTarget]
) -> Measures:
    """Run one deployment once."""
    with tempfile.TemporaryDirectory(prefix='measures-') as name:
        folder = pathlib.Path(name)
        commands = Commands(deployment, folder)
        commands.key_file.touch(mode=KEY_MODE)
        commands.key_file.write_text(secrets.token_hex(16))
        target = kind(commands)
        async with running(folder, target.commands()) as fleet:
            async with target.opened(fleet):
                return await MeasuredRun(target, fleet).run()


def main() -> None:
    """Measure both deployments and print the tables."""
    parser = argparse.ArgumentParser(prog='python -m asv_bench.measures')
    parser.add_argument('--json', type=pathlib.Path)
    parser.add_argument('--plots', type=pathlib.Path)
    parser.add_argument('--only', choices=('Tayside', 'Cuyo'))
    flags = parser.parse_args()
    report = output.Report('measures')
    found: list[Measures] = []
    for deployment in (TAYSIDE, CUYO):
        if flags.only in {None, deployment.name}:
            for kind in TARGETS:
                found.append(asyncio.run(measure(deployment, kind)))
    report.add('measures', [row_of(each) for each in found])
    report.rows_by_title['service by half second'] = [
        attrs.asdict(each.timeline) for each in found
    ]
    report.finish(flags.json)
    if flags.plots is not None:
        save_plots(found, flags.plots)


def row_of(found: Measures) -> dict[str, object]:
    """Return one row of the table."""
    return {
        'deployment': found.deployment,
        'what': found.target,
        'feeds': found.feeds,
        'broken by a host that leaves and returns': found.broken_by_host,
        'broken by the zone, outside it': found.broken_by_zone,
        'given up in the zone': found.given_up,
        'longest gap s': found.longest_gap,
        'imbalance max/mean': found.imbalance,
        'servers fallen over': found.falls,
        'requests': found.requests,
        'answered %': found.answered_percent,
        'not run': found.not_run,
        'unknown': found.unknown,
        'no answer': found.no_answer,
        'answered % while the zone is out': found.out_percent,
        'zone empty after s': found.empty_after,
        'zone works again after s': found.back_after,
    }


if __name__ == '__main__':
    main()
