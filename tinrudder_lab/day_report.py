"""Reads the JSON report that the users' benchmark writes for one day."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct


class DayReportError(Exception):
    """A file is not a valid day report; the message names the file and the field."""


class Component(Struct, frozen=True, array_like=True):
    """One component of a day's score: its weight and the share of its credit that was earned."""

    name: str
    weight: float
    earned: float

    @property
    def lost(self) -> float:
        """Return how much the component lowers the day's score."""
        return self.weight * (1.0 - self.earned)


class Price(Struct, frozen=True, array_like=True):
    """The cost of a resource: the amount used and how much it lowers the day's score."""

    name: str
    amount: float
    lost: float


class RequestCounts(Struct, frozen=True, rename={"total": "n", "in_time": "in_aim"}):
    """Requests of one kind, zone or time span, counted by result.

    :param worth: share of the requests' credit that was earned.
    """

    name: str
    total: int
    in_time: int
    late: int
    refused: int
    failed: int
    worth: float

    @property
    def lost_in_time(self) -> float:
        """Return the least share of the credit that in-time answers lost by missing parts."""
        if not self.total:
            return 0.0
        return max(0.0, self.in_time / self.total - self.worth)


_NAMES = {"worth": "G", "components": "parts", "kinds": "classes", "spans": "windows"}


class DayReport(Struct, frozen=True, rename=_NAMES):
    """The report of one day.

    :param worth: score of the day.
    :param breaks: for each broken rule, how often it was broken.
    """

    worth: float
    components: tuple[Component, ...]
    prices: tuple[Price, ...]
    kinds: tuple[RequestCounts, ...]
    spans: tuple[RequestCounts, ...]
    breaks: dict[str, object]

    @property
    def broken_rules(self) -> tuple[str, ...]:
        """Return the names of the rules that were broken."""
        return tuple(sorted(self.breaks))


def read_day_report(path: Path) -> DayReport:
    """Read a report.

    :raises DayReportError: the file cannot be read, or a field is missing or has another type.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=DayReport)
    except (OSError, msgspec.MsgspecError) as error:
        raise DayReportError(f"{path}: {error}") from error
