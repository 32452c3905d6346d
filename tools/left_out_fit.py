"""A line fitted to all points but the last, which it then predicts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy


class Line(NamedTuple):
    """Least squares through the points before the last."""

    base: float
    slope: float
    predicted: float  # at the last point, which was left out
    measured: float  # there


def fit(counts: Sequence[float], values: Sequence[float]) -> Line:
    """The line, and what it says of the point that was left out."""
    slope, base = (float(one) for one in numpy.polyfit(counts[:-1], values[:-1], 1))
    return Line(base, slope, base + slope * counts[-1], values[-1])
