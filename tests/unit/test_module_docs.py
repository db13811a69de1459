"""Module docstrings of the listed packages state the purpose of the module and what it owns."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
CHECKED_PACKAGES = ("tinrudder/gateway", "tinrudder/platform", "tinrudder/common/transport")
"""Packages whose modules all comply; add a package when its last module does."""
OWNERSHIP = ("Owns", "Owned", "owns ", "Values only")


def modules(package: str) -> list[Path]:
    return [one for one in sorted((ROOT / package).rglob("*.py")) if "_pb2" not in one.name]


def docstring(module: Path) -> str:
    return ast.get_docstring(ast.parse(module.read_text())) or ""


@pytest.mark.parametrize("room", CHECKED_PACKAGES)
def test_every_module_says_in_a_sentence_what_it_is_for(room: str) -> None:
    first_lines = {one: docstring(one).split("\n")[0] for one in modules(room)}
    assert [str(one) for one, first in first_lines.items() if not first.endswith((".", "?"))] == []


@pytest.mark.parametrize("room", CHECKED_PACKAGES)
def test_every_module_says_what_it_owns(room: str) -> None:
    files = [one for one in modules(room) if one.name != "__init__.py"]
    undocumented = [one for one in files if not any(word in docstring(one) for word in OWNERSHIP)]
    assert [str(one.relative_to(ROOT)) for one in undocumented] == []
