"""Formats text in aligned columns."""

from collections.abc import Iterable, Sequence


def columns(
    headings: Sequence[str], rows: Iterable[Sequence[str]]
) -> list[str]:
    """Return lines of text, each column as wide as its widest cell.

    Parameters
    ----------
    headings : sequence of str
        Heading of each column.
    rows : iterable of sequence of str
        Cells of each row, one per column.
    """
    table = [headings, *rows]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return [_padded(row, widths) for row in table]


def _padded(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return '  '.join(cells).rstrip()
