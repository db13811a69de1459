"""Rules import only values and pure computation, so that tests need no clock and no network."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

import tinrudder.gateway.decisions

RULES = Path(tinrudder.gateway.decisions.__file__).parent
ALLOWED_PACKAGES = (
    "msgspec",
    "sortedcontainers",
    "tinrudder.common",
    "tinrudder.gateway.decisions",
)
SIDE_EFFECTS = frozenset(
    {"asyncio", "concurrent", "http", "io", "logging", "multiprocessing", "os", "pathlib"}
    | {"selectors", "signal", "socket", "ssl", "subprocess", "sys", "threading", "time", "urllib"}
)
"""Standard library modules that read a clock, wait, or access anything outside the process."""


def imported(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


def is_allowed(name: str) -> bool:
    if any(name == one or name.startswith(f"{one}.") for one in ALLOWED_PACKAGES):
        return True
    top = name.partition(".")[0]
    return top in sys.stdlib_module_names and top not in SIDE_EFFECTS


def test_rules_import_only_values_and_computation() -> None:
    paths = list(RULES.rglob("*.py"))
    assert len(paths) > 20
    foreign = {
        f"{path.relative_to(RULES)}: {name}"
        for path in paths
        for name in imported(path)
        if not is_allowed(name)
    }
    assert foreign == set()
