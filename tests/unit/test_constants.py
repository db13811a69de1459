"""Named numeric constants of the listed packages document their unit and purpose.

Whether a value was measured or chosen belongs in a commit message or docs/CAPACITY.md.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
CHECKED_PACKAGES = (
    "tinrudder/common",
    "tinrudder/gateway",
    "tinrudder/node/decisions",
    "tinrudder/node/query",
    "tinrudder/platform",
)
"""Packages whose constants are all documented; add a package when its last constant is."""

PACKAGES_WITHOUT_ORIGINS = (
    "tinrudder/cli",
    "tinrudder/cluster",
    "tinrudder/common",
    "tinrudder/gateway",
    "tinrudder/node",
    "tinrudder/platform",
)
"""Packages whose constants must not say how their values were found."""
ORIGINS = ("chosen", "measured", "a choice:")


def sources(package: str) -> list[Path]:
    return sorted(one for one in (ROOT / package).rglob("*.py") if "_pb2" not in one.name)


def is_number(node: ast.expr) -> bool:
    """Return whether an expression consists of numeric literals only."""
    allowed = (ast.BinOp, ast.UnaryOp, ast.operator, ast.unaryop, ast.Constant)
    if not all(isinstance(part, allowed) for part in ast.walk(node)):
        return False
    constants = [part.value for part in ast.walk(node) if isinstance(part, ast.Constant)]
    return all(type(value) in (int, float) for value in constants)


def named_numbers(module: ast.Module) -> Iterator[tuple[int, str, ast.stmt]]:
    """Yield index, name and statement of each named numeric constant of a module."""
    for index, node in enumerate(module.body):
        if isinstance(node, ast.Assign) and node.value is not None:
            target: ast.expr = node.targets[0]
        elif isinstance(node, ast.AnnAssign) and node.value is not None:
            target = node.target
        else:
            continue
        if isinstance(target, ast.Name) and target.id.isupper() and is_number(node.value):
            yield index, target.id, node


def is_explained(text: str, module: ast.Module, index: int) -> bool:
    """Return whether a docstring follows, or a comment is on the same line or the line above."""
    node = module.body[index]
    after = module.body[index + 1] if index + 1 < len(module.body) else None
    if isinstance(after, ast.Expr) and isinstance(after.value, ast.Constant):
        return isinstance(after.value.value, str) and bool(after.value.value.strip())
    lines = text.splitlines()
    beside = lines[(node.end_lineno or node.lineno) - 1]
    above = lines[node.lineno - 2].lstrip()
    return "#" in beside or above.startswith("#")


def unexplained(path: Path) -> list[str]:
    text = path.read_text()
    module = ast.parse(text)
    return [
        f"{path.relative_to(ROOT)}:{node.lineno} {name}"
        for index, name, node in named_numbers(module)
        if not is_explained(text, module, index)
    ]


@pytest.mark.parametrize("package", CHECKED_PACKAGES)
def test_every_constant_says_its_unit_and_source(package: str) -> None:
    assert sources(package)
    assert [name for path in sources(package) for name in unexplained(path)] == []


def test_a_bare_number_is_found_and_an_explained_one_is_not(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.unit.test_constants.ROOT", tmp_path)
    path = tmp_path / "module.py"
    path.write_text(
        "BARE = 2 * 1024\nBARE_TOO: float = -0.5\nTOLD = 1.0\n'''Seconds.'''\n"
        "# Bytes.\nABOVE = 3\nBESIDE = 4  # Calls.\nNAME = 'text'\nFLAG = True\n"
    )
    assert unexplained(path) == ["module.py:1 BARE", "module.py:2 BARE_TOO"]


def stated_origins(path: Path) -> list[str]:
    """Return the constants whose docstring says how the value was found, once per word."""
    module = ast.parse(path.read_text())
    stated = []
    for index, name, _ in named_numbers(module):
        after = module.body[index + 1] if index + 1 < len(module.body) else None
        if isinstance(after, ast.Expr) and isinstance(after.value, ast.Constant):
            text = str(after.value.value).lower()
            stated.extend(f"{path.name} {name}" for word in ORIGINS if word in text)
    return stated


@pytest.mark.parametrize("package", PACKAGES_WITHOUT_ORIGINS)
def test_no_constant_tells_how_its_value_was_found(package: str) -> None:
    assert [name for path in sources(package) for name in stated_origins(path)] == []


def test_an_origin_is_found(tmp_path: Path) -> None:
    path = tmp_path / "module.py"
    path.write_text('WAIT_S = 2.0\n"""Seconds.  Chosen, not measured."""\n')
    assert stated_origins(path) == ["module.py WAIT_S"] * 2
