"""Writes docs/fault-matrix.md from the results of the cells."""

import pathlib
from collections import Counter

from redwingstream.agent.tests.faults import FAULT_BY_NAME
from redwingstream.agent.tests.matrix import CellResult, run_cell
from redwingstream.agent.tests.steps import STEPS

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'fault-matrix.md'

_INTRODUCTION = """# Fault matrix

Written by `ci/fault_matrix`; a test compares this page with a new run. Each
cell is one run of four agents, three balancers, one caller and the decisions of
the real agents and balancers over a fake network with fixed seeds (see
`redwingstream/agent/tests/matrix.py`). When the first frame of the step is
sent, the fault happens there; faults that last take 5 s. The caller makes seven
non-idempotent requests and watches one feed.

A cell says how the requests ended: `a` answered, `n` not run, `u` unknown, and
after `gap` the longest time in seconds between two fresh notifications, one of
which is due each second. *refused*: the feed was refused before it was
established. *lost*: home, heir and carrier of the feed were lost together.

In every cell: no request ran twice; what was told *not run* has not run and
does not run later; what was *answered* has run; every request got a final
answer; no answer went to another request; no server was above what it bears;
the feed went on unless marked.

"""


def render() -> str:
    """Run every cell and return the page."""
    faults = list(FAULT_BY_NAME)
    steps = [step.name for step in STEPS]
    lines = [
        '| fault | {0} |'.format(' | '.join(steps)),
        '|{0}'.format(' --- |' * (len(steps) + 1)),
    ]
    for fault in faults:
        cells = [_render_cell(run_cell(step, fault)) for step in steps]
        lines.append('| {0} | {1} |'.format(fault, ' | '.join(cells)))
    table = '\n'.join(lines)
    return f'{_INTRODUCTION}{table}\n\n{_summary(steps, faults)}\n'


def _render_cell(cell: CellResult) -> str:
    counts = cell.counts()
    parts = [
        f'{counts[outcome]}{outcome[0]}'
        for outcome in ('answered', 'not run', 'unknown')
        if counts[outcome]
    ]
    if cell.feed:
        return ' '.join((*parts, cell.feed))
    return ' '.join((*parts, f'gap {cell.gap:.1f}'))


def _summary(steps: list[str], faults: list[str]) -> str:
    total: Counter[str] = Counter()
    for fault in faults:
        for step in steps:
            total.update(run_cell(step, fault).counts())
    told = ', '.join(f'{total[each]} {each}' for each in sorted(total))
    return f'Of {total.total()} requests: {told}.'


def write() -> None:
    """Write the page."""
    PAGE.write_text(render(), encoding='utf-8')
