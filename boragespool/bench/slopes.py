"""Least-squares fit of a line to measured points."""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class Point:
    """Values measured at one size, one per run."""

    size: float
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """Median of the values."""
        return statistics.median(self.values)


@dataclass(frozen=True, slots=True)
class Line:
    """Least-squares line through the median values of some points.

    Attributes
    ----------
    slope : float
        Growth per unit of size.
    intercept : float
        Value at size 0.
    spread : float
        Largest distance of a value from the line, relative to the value.
    """

    slope: float
    intercept: float
    max_relative_error: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(points: Sequence[Point]) -> Line:
    """Fit a line to measurements at two or more sizes.

    Parameters
    ----------
    points : sequence of Point
        Measurements at different sizes.

    Returns
    -------
    Line
        Line through the median of each point.

    Raises
    ------
    statistics.StatisticsError
        If there are fewer than two different sizes.
    """
    fitted = statistics.linear_regression(
        [point.size for point in points],
        [point.median for point in points],
    )
    line = Line(fitted.slope, fitted.intercept, 0)
    max_relative_error = max(
        abs(measured - line.at(point.size)) / measured
        for point in points
        for measured in point.values
        if measured
    )
    return Line(fitted.slope, fitted.intercept, max_relative_error)
