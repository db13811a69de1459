"""Tolerates failures of the tests listed in KNOWN-RED.txt and prints the list.

Each line holds the id of a test, the cause and the issue, separated by ``|``.  Empty lines and
lines that begin with ``#`` are skipped.  A listed test that passes fails the run, so that the list
stays current.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

LIST_NAME = "KNOWN-RED.txt"


class KnownRedError(Exception):
    """A line of the list is malformed; the message names the line."""


@dataclass(frozen=True)
class KnownRed:
    """One test that is known to fail."""

    test: str
    cause: str
    issue: str


def read_list(path: Path) -> dict[str, KnownRed]:
    """Read the list; a missing file is an empty list."""
    if not path.exists():
        return {}
    listed = {}
    for number, line in enumerate(path.read_text().splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise KnownRedError(
                f"{path.name}:{number}: expected TEST | CAUSE | ISSUE, got {line!r}"
            )
        listed[fields[0]] = KnownRed(*fields)
    return listed


class KnownRedPlugin:
    """Marks listed tests as strict expected failures and prints the list at the end."""

    def __init__(self, listed: dict[str, KnownRed]) -> None:
        self._listed = listed

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            known = self._listed.get(item.nodeid)
            if known is not None:
                reason = f"known red: {known.cause} ({known.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=True))

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for known in self._listed.values():
            terminalreporter.write_line(f"KNOWN RED {known.test}: {known.cause} ({known.issue})")
