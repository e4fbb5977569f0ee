"""Straight line through figures measured at several sizes."""

import statistics
from collections.abc import Sequence
from typing import NamedTuple


class Line(NamedTuple):
    """Least-squares line and its largest deviation from a figure."""

    slope: float
    offset: float
    residual: float

    def at(self, size: float) -> float:
        """Return the figure that the line gives for a size."""
        return self.offset + self.slope * size


def line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line to the values at the sizes."""
    slope, offset = statistics.linear_regression(sizes, values)
    residual = max(
        abs(value - offset - slope * size)
        for size, value in zip(sizes, values, strict=True)
    )
    return Line(slope, offset, residual)
