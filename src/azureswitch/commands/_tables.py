"""Plain-text tables."""

from collections.abc import Iterable, Sequence

from msgspec import Struct

from azureswitch.texts import printable


class TextTable(Struct, frozen=True, kw_only=True):
    """Rows under a heading; columns are as wide as their widest cell."""

    heading: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]

    def __str__(self) -> str:
        widths = [max(map(len, column)) for column in zip(self.heading, *self.rows, strict=True)]
        rule = tuple("-" * width for width in widths)
        return "\n".join(_line(row, widths) for row in (self.heading, rule, *self.rows))


def table(heading: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    """Return a table as text; cells are made from ``str``, control characters shown as such."""
    cells = tuple(tuple(printable(str(cell)) for cell in row) for row in rows)
    return str(TextTable(heading=tuple(heading), rows=cells))


def _line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()
