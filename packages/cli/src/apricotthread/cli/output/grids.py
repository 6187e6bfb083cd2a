"""Formats rows of cells as aligned columns of text."""

import dataclasses

COLUMN_GAP = '  '


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grid:
    """A heading and rows, all with the same number of cells."""

    heading: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def format_grid(grid: Grid) -> str:
    """Return the heading and the rows as lines with aligned columns."""
    lines = [grid.heading, *grid.rows]
    widths = [
        max(len(line[i]) for line in lines) for i in range(len(lines[0]))
    ]
    return '\n'.join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
