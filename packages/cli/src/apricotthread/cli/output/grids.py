"""Columns of text, aligned."""

import dataclasses

GAP = '  '


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grid:
    """A heading and rows of cells."""

    heading: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def format_grid(grid: Grid) -> str:
    """Return a grid as aligned lines."""
    lines = [grid.heading, *grid.rows]
    widths = [
        max(len(line[i]) for line in lines) for i in range(len(lines[0]))
    ]
    return '\n'.join(
        GAP.join(
            cell.ljust(w) for cell, w in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
