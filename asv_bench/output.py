"""Tables for people and JSON for other programs."""

import argparse
import json
import pathlib
import subprocess
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

Row = Mapping[str, Any]


@attrs.define
class Report:
    """What one benchmark found.

    Parameters
    ----------
    name : str
        Of the benchmark.
    rows_by_title : dict
        Its tables.
    """

    name: str
    rows_by_title: dict[str, list[Row]] = attrs.field(factory=dict)

    def add(self, title: str, rows: Sequence[Row]) -> None:
        """Add a table and print it."""
        self.rows_by_title[title] = list(rows)
        print(f'\n{title}\n')
        print(markdown(rows), flush=True)

    def finish(self, path: pathlib.Path | None) -> None:
        """Write all tables as JSON, with the commit that they belong to."""
        if path is None:
            return
        content = {
            'benchmark': self.name,
            'commit': commit(),
            'tables': self.rows_by_title,
        }
        encoded = json.dumps(content, indent=1, default=str)
        path.write_text(f'{encoded}\n')


def markdown(rows: Sequence[Row]) -> str:
    """Return rows as a Markdown table."""
    columns = list(rows[0])
    lines = ['| {} |'.format(' | '.join(columns))]
    lines.append('| {} |'.format(' | '.join('---' for _ in columns)))
    for row in rows:
        cells = (_text(row[column]) for column in columns)
        lines.append('| {} |'.format(' | '.join(cells)))
    return '\n'.join(lines)


def commit() -> str:
    """Return the commit of the working tree, with a mark when it is changed."""
    found = subprocess.run(
        ('git', 'describe', '--always', '--dirty', '--abbrev=10'),
        capture_output=True,
        check=False,
        text=True,
    )
    return found.stdout.strip() or 'unknown'


def read_flags(module: str) -> argparse.Namespace:
    """Read the flags that every benchmark takes."""
    parser = argparse.ArgumentParser(prog=f'python -m asv_bench.{module}')
    parser.add_argument('--json', type=pathlib.Path, metavar='FILE')
    return parser.parse_args()


def _text(cell: object) -> str:
    if isinstance(cell, float):
        return f'{cell:.4g}'
    return str(cell)
