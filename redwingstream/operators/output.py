"""Formats tables, differences and changes as text for people, or as JSON."""

from collections.abc import Iterable

import attrs
import msgspec

from redwingstream.operators.client import LaggingProcess
from redwingstream.operators.columns import columns
from redwingstream.operators.plans import Difference
from redwingstream.tables.rows import Pool, Route, ZoneMark


@attrs.frozen
class ChangeReport:
    """Outcome of an accepted change.

    Parameters
    ----------
    revision : int
        Configuration revision at which the change was accepted.
    warnings : tuple of str
        Warnings about what a forced change does to traffic.
    waited : bool
        Whether the tool waited for the change to be in force everywhere.
    lagging : tuple of LaggingProcess
        Processes on which the change is not in force.
    differences : tuple of Difference
        Changed rows, if a file was applied.
    """

    revision: int
    warnings: tuple[str, ...] = ()
    waited: bool = False
    lagging: tuple[LaggingProcess, ...] = ()
    differences: tuple[Difference, ...] = ()


def json_text(value: object) -> str:
    """Return an ``attrs`` object, or a sequence of them, as JSON text."""
    return msgspec.json.format(msgspec.json.encode(value)).decode()


def route_lines(routes: Iterable[Route]) -> list[str]:
    """Return the route table in columns."""
    rows = [(row.service, row.callers, row.pool) for row in routes]
    return columns(('SERVICE', 'CALLERS', 'POOL'), sorted(rows))


def pool_lines(pools: Iterable[Pool]) -> list[str]:
    """Return the pool table in columns."""
    rows = [(row.name, ','.join(row.admits), str(row.buckets)) for row in pools]
    return columns(('POOL', 'ADMITS', 'BUCKETS'), sorted(rows))


def zone_lines(zones: Iterable[ZoneMark]) -> list[str]:
    """Return the zone marks in columns."""
    rows = [(row.zone, 'out' if row.out else 'in') for row in zones]
    return columns(('ZONE', 'STATE'), sorted(rows))


def difference_lines(differences: Iterable[Difference]) -> list[str]:
    """Return the changes of a plan, one line for each row."""
    return [_difference_line(difference) for difference in differences]


def change_lines(report: ChangeReport) -> list[str]:
    """Return the outcome of a change as lines of text."""
    lines = [f'accepted at revision {report.revision}']
    lines.extend(f'warning: {warning}' for warning in report.warnings)
    if report.waited and not report.lagging:
        lines.append('in force on every process')
    lines.extend(_lagging_line(process) for process in report.lagging)
    return lines


def _difference_line(difference: Difference) -> str:
    texts = filter(None, (difference.before, difference.after))
    change = ' -> '.join(texts)
    return f'{difference.sign} {difference.table} {difference.key}: {change}'


def _lagging_line(process: LaggingProcess) -> str:
    if process.revision is None:
        return f'not in force on {process.endpoint}: it does not answer'
    return (
        f'not in force on {process.endpoint}: it has revision '
        f'{process.revision}'
    )
