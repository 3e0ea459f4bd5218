"""Linear regression of measured points by least squares."""

import math
from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

# The minimum number of points that leaves a degree of freedom for the error.
POINTS_LEAST = 3


class Point(NamedTuple):
    """One measurement: `y` at `x`."""

    x: float
    y: float


class Fit(NamedTuple):
    """A line `y = intercept + slope * x`.

    Attributes:
        slope: the change of `y` per unit of `x`.
        slope_error: the standard error of the slope.
        intercept: the value of `y` at `x` = 0.
        intercept_error: the standard error of the intercept.
        points: the number of fitted points.
    """

    slope: float
    slope_error: float
    intercept: float
    intercept_error: float
    points: int


def fit_line(points: Sequence[Point]) -> Fit:
    """Returns the line with the least sum of squared residuals.

    Raises:
        ValueError: there are too few points, or all have the same `x`.
    """
    if len(points) < POINTS_LEAST:
        raise ValueError(f"a fit needs at least {POINTS_LEAST} points")
    xs, ys = np.array(points, dtype=float).T
    spread = float(np.sum((xs - xs.mean()) ** 2))
    if not spread:
        raise ValueError("a fit needs points with different x values")
    slope = float(np.sum((xs - xs.mean()) * (ys - ys.mean())) / spread)
    intercept = float(ys.mean() - slope * xs.mean())
    residuals = ys - intercept - slope * xs
    variance = float(np.sum(residuals**2)) / (len(points) - 2)
    slope_error = math.sqrt(variance / spread)
    mean_error = variance / len(points)
    intercept_error = math.sqrt(
        mean_error + variance * float(xs.mean()) ** 2 / spread
    )
    return Fit(slope, slope_error, intercept, intercept_error, len(points))
