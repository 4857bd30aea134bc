"""Tables of results as they stand in the design notes."""


def markdown_table(rows: list[dict]) -> str:
    """Return rows of equal keys as a Markdown table."""
    columns = list(rows[0])
    lines = [columns, ['---' for _ in columns]]
    lines.extend(list(row.values()) for row in rows)
    return '\n'.join(_line(cells) for cells in lines)


def _line(cells: list) -> str:
    inner = ' | '.join(str(cell) for cell in cells)
    return f'| {inner} |'
