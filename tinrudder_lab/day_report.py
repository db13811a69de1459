"""Reads the report that the users' bench writes of one played day."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct


class DayReportError(Exception):
    """A file is no report of a day; the text names the file and the field."""


class Component(Struct, frozen=True, array_like=True):
    """One part of a day's worth: its weight and the share of the credit that it earned."""

    name: str
    weight: float
    earned: float

    @property
    def lost(self) -> float:
        """Return what it takes from the day's worth."""
        return self.weight * (1.0 - self.earned)


class Price(Struct, frozen=True, array_like=True):
    """What a resource took from the day's worth, and how much of it was used."""

    name: str
    amount: float
    lost: float


class RequestCounts(Struct, frozen=True, rename={"total": "n", "in_time": "in_aim"}):
    """Requests of one kind, zone or span, by how they ended.

    :param worth: share of their credit that they earned.
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
        """Return the least share of the credit that answers in time lost by missing parts."""
        if not self.total:
            return 0.0
        return max(0.0, self.in_time / self.total - self.worth)


_NAMES = {"worth": "G", "components": "parts", "kinds": "classes", "spans": "windows"}


class DayReport(Struct, frozen=True, rename=_NAMES):
    """One played day.

    :param breaks: how often each rule was broken.
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

    :raises DayReportError: the file cannot be read, or a field is missing or of another form.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=DayReport)
    except (OSError, msgspec.MsgspecError) as error:
        raise DayReportError(f"{path}: {error}") from error
