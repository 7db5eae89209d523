"""Least-squares lines, by which results of small fleets are extrapolated to the design size."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class LinearFit:
    """The line y = slope * x + intercept."""

    slope: float
    intercept: float

    def at(self, x: float) -> float:
        """Return the line's value at `x`."""
        return self.slope * x + self.intercept


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> LinearFit:
    """Return the least-squares line through these points; a constant where all `xs` are equal."""
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    squared_deviation = sum((x - mean_x) ** 2 for x in xs)
    if not squared_deviation:
        return LinearFit(0.0, mean_y)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / squared_deviation
    return LinearFit(slope, mean_y - slope * mean_x)
