"""Plain text tables."""

from collections.abc import Sequence


def format_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with each column as wide as its widest cell."""
    cells = [list(headings)] + [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headings))]
    lines = []
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)
