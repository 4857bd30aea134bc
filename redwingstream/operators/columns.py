"""Text in columns."""

from collections.abc import Iterable, Sequence


def columns(
    headings: Sequence[str], rows: Iterable[Sequence[str]]
) -> list[str]:
    """Return headings and rows, each column as wide as its widest cell."""
    table = [headings, *rows]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return [_padded(row, widths) for row in table]


def _padded(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return '  '.join(cells).rstrip()
