"""Fits a line to all points but the last, and predicts the last."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy


class LeftOutFit(NamedTuple):
    """Least-squares line through all points but the last."""

    base: float
    slope: float
    predicted: float  # value of the line at the last point
    measured: float  # value of the last point


def fit(counts: Sequence[float], values: Sequence[float]) -> LeftOutFit:
    """Fits the line and compares its prediction for the last point."""
    slope, base = (float(coefficient) for coefficient in numpy.polyfit(counts[:-1], values[:-1], 1))
    return LeftOutFit(base, slope, base + slope * counts[-1], values[-1])
