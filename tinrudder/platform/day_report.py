"""Reads the report that the users' bench writes of one played day."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec


class DayReportError(Exception):
    """A file is no report of a day; the text names the file and the field."""


@dataclass(frozen=True, slots=True)
class Component:
    """One part of a day's worth: its weight and the share of the credit that it earned."""

    name: str
    weight: float
    earned: float

    @property
    def lost(self) -> float:
        """Return what it takes from the day's worth."""
        return self.weight * (1.0 - self.earned)


@dataclass(frozen=True, slots=True)
class Price:
    """What a resource took from the day's worth, and how much of it was used."""

    name: str
    amount: float
    lost: float


@dataclass(frozen=True, slots=True)
class RequestCounts:
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


@dataclass(frozen=True, slots=True)
class DayReport:
    """One played day."""

    worth: float
    components: tuple[Component, ...]
    prices: tuple[Price, ...]
    kinds: tuple[RequestCounts, ...]
    spans: tuple[RequestCounts, ...]
    broken_rules: tuple[str, ...]


def read_day_report(path: Path) -> DayReport:
    """Read a report.

    :raises DayReportError: the file cannot be read, or a field is missing or of another form.
    """
    try:
        document = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise DayReportError(f"{path}: {error}") from error
    try:
        return _report(document)
    except (KeyError, TypeError, ValueError) as error:
        raise DayReportError(f"{path}: field {error}") from error


def _report(document: Any) -> DayReport:
    return DayReport(
        worth=float(document["G"]),
        components=tuple(Component(str(n), float(w), float(e)) for n, w, e in document["parts"]),
        prices=tuple(Price(str(n), float(a), float(lost)) for n, a, lost in document["prices"]),
        kinds=tuple(_counts(one) for one in document["classes"]),
        spans=tuple(_counts(one) for one in document["windows"]),
        broken_rules=tuple(sorted(document["breaks"])),
    )


def _counts(one: Any) -> RequestCounts:
    return RequestCounts(
        name=str(one["name"]),
        total=int(one["n"]),
        in_time=int(one["in_aim"]),
        late=int(one["late"]),
        refused=int(one["refused"]),
        failed=int(one["failed"]),
        worth=float(one["worth"]),
    )
