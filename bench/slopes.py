"""Least-squares line through measured points: fixed cost and cost per unit."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec


class Slope(msgspec.Struct, frozen=True):
    """Least-squares line ``value = fixed + per_unit * units``.

    :param worst_error: largest error of the line at a measured point, relative to the point.
    """

    fixed: float
    per_unit: float
    worst_error: float

    def at(self, units: float) -> float:
        """Return the line's value at ``units``."""
        return self.fixed + self.per_unit * units


def fit(units: Sequence[float], values: Sequence[float]) -> Slope:
    """Fit a line to measured points.

    >>> fit([1, 2, 3], [3, 5, 7])
    Slope(fixed=1.0, per_unit=2.0, worst_error=0.0)
    """
    count = len(units)
    mean_unit = sum(units) / count
    mean_value = sum(values) / count
    spread = sum((unit - mean_unit) ** 2 for unit in units)
    pairs = list(zip(units, values, strict=True))
    per_unit = sum((unit - mean_unit) * (value - mean_value) for unit, value in pairs) / spread
    fixed = mean_value - per_unit * mean_unit
    errors = [abs(fixed + per_unit * unit - value) / max(value, 1e-12) for unit, value in pairs]
    return Slope(round(fixed, 9), round(per_unit, 9), round(max(errors), 4))
