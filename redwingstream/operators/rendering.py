"""Tables, differences and changes in columns for people, or in JSON."""

from collections.abc import Iterable

import attrs
import msgspec

from redwingstream.operators.client import Laggard
from redwingstream.operators.columns import columns
from redwingstream.operators.plans import Difference
from redwingstream.tables.rows import Pool, Route, ZoneMark


@attrs.frozen
class ChangeReport:
    """What became of a change that was accepted.

    Parameters
    ----------
    revision : int
        At which revision.
    warnings : tuple of str
        What a forced change does.
    waited : bool
        Whether the tool has waited until it was in force.
    lagging : tuple of Laggard
        On which processes it is not in force.
    differences : tuple of Difference
        What changed, when a file was applied.
    """

    revision: int
    warnings: tuple[str, ...] = ()
    waited: bool = False
    lagging: tuple[Laggard, ...] = ()
    differences: tuple[Difference, ...] = ()


def json_text(shown: object) -> str:
    """Return any data class or list of them as JSON text."""
    return msgspec.json.format(msgspec.json.encode(shown)).decode()


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
    """Return what a plan changes, a line for each row."""
    return [_difference_line(difference) for difference in differences]


def change_lines(report: ChangeReport) -> list[str]:
    """Return what became of a change."""
    lines = [f'accepted at revision {report.revision}']
    lines.extend(f'warning: {warning}' for warning in report.warnings)
    if report.waited and not report.lagging:
        lines.append('in force on every process')
    lines.extend(_laggard_line(laggard) for laggard in report.lagging)
    return lines


def _difference_line(difference: Difference) -> str:
    texts = filter(None, (difference.before, difference.after))
    words = ' -> '.join(texts)
    return f'{difference.sign} {difference.table} {difference.key}: {words}'


def _laggard_line(laggard: Laggard) -> str:
    if laggard.revision is None:
        return f'not in force on {laggard.endpoint}: it does not answer'
    return (
        f'not in force on {laggard.endpoint}: it has revision '
        f'{laggard.revision}'
    )
