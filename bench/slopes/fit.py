"""Linear regression of measured points."""

import math
from statistics import linear_regression

import msgspec


class Point(msgspec.Struct, frozen=True):
    """A measured value at one size."""

    size: float
    value: float


class Line(msgspec.Struct, frozen=True):
    """
    A least-squares line with the standard error of its slope.

    :param slope_error: NaN with fewer than three points
    """

    slope: float
    intercept: float
    slope_error: float

    def predict(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(points: list[Point]) -> Line:
    """Return the least-squares line through points."""
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    slope, intercept = linear_regression(sizes, values)
    residual = sum(
        (point.value - intercept - slope * point.size) ** 2 for point in points
    )
    mean = sum(sizes) / len(sizes)
    spread = sum((size - mean) ** 2 for size in sizes)
    degrees_of_freedom = len(points) - 2
    if degrees_of_freedom <= 0:
        return Line(slope, intercept, math.nan)
    return Line(
        slope, intercept, math.sqrt(residual / degrees_of_freedom / spread)
    )
