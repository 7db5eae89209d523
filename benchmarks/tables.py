"""Plain-text tables of results on stdout, and progress on stderr."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from benchmarks.measurement import reference_work_ms

Row = TypeVar("Row")
FIRST_WITHOUT_DECIMALS = 1000  # floats from here on are printed as whole numbers


@dataclass(frozen=True)
class Column(Generic[Row]):
    """A column of a table: its heading, and what it shows of a row."""

    heading: str
    value: Callable[[Row], object]


def format_cell(value: object) -> str:
    """Return a number with separators and at most four digits of a fraction, anything else as it is."""
    if isinstance(value, float):
        return f"{value:,.0f}" if abs(value) >= FIRST_WITHOUT_DECIMALS else f"{value:.4g}"
    return f"{value:,}" if isinstance(value, int) else str(value)


def print_table(title: str, columns: Sequence[Column[Row]], rows: Sequence[Row]) -> None:
    """Print a title and one line a row, with right-aligned columns."""
    headings = [column.heading for column in columns]
    cells = [headings, *([format_cell(column.value(row)) for column in columns] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    print(title)
    for line in cells:
        print("  ".join(text.rjust(width) for text, width in zip(line, widths, strict=True)).rstrip())
    print(flush=True)


def print_timed_table(title: str, columns: Sequence[Column[Row]], rows: Sequence[Row]) -> None:
    """Print a table of processor times; its title shows how fast the machine is now."""
    print_table(f"{title} [a fixed piece of work: {reference_work_ms():.1f} ms]", columns, rows)


def report_progress(text: str) -> None:
    """Write a line to stderr."""
    print(text, file=sys.stderr, flush=True)
