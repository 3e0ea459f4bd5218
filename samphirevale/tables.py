"""Formats tables as aligned text."""

from collections.abc import Sequence
from typing import Any

# The separator between two columns.
GAP = "  "


def format_cell(cell: Any) -> str:
    """Returns a cell's text, which is printed and compared with filters."""
    if cell is None:
        return ""
    if isinstance(cell, bool):
        return str(cell).lower()
    if isinstance(cell, float):
        return f"{cell:.6g}"
    if isinstance(cell, list | tuple):
        return ",".join(format_cell(item) for item in cell)
    return str(cell)


def format_table(columns: Sequence[str], rows: Sequence[Sequence]) -> str:
    """Returns a table as lines, header first, with numbers right-aligned."""
    texts = [list(columns)]
    texts += [[_escape(format_cell(cell)) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    right = [_is_numeric(column) for column in zip(*rows, strict=True)]
    right = right or [False] * len(columns)
    lines = []
    for row in texts:
        cells = (
            text.rjust(width) if is_right else text.ljust(width)
            for text, width, is_right in zip(row, widths, right, strict=True)
        )
        lines.append(GAP.join(cells).rstrip())
    return "\n".join(lines)


def _is_numeric(column: Sequence[Any]) -> bool:
    return all(
        isinstance(cell, int | float) and not isinstance(cell, bool)
        for cell in column
    )


def _escape(text: str) -> str:
    """Replaces non-printable characters, which could affect a terminal."""
    return "".join(
        char if char.isprintable() else repr(char)[1:-1] for char in text
    )
