"""The modules of the gateway package have no circular imports."""

from __future__ import annotations

import ast
import graphlib
from pathlib import Path

import tinrudder.gateway

PACKAGE = tinrudder.gateway.__name__
FOLDER = Path(tinrudder.gateway.__path__[0])


def modules() -> dict[str, Path]:
    """Return the paths of the gateway's modules by module name."""
    root = FOLDER.parent.parent
    return {
        ".".join(path.relative_to(root).with_suffix("").parts).removesuffix(".__init__"): path
        for path in FOLDER.rglob("*.py")
    }


def imported_by(path: Path, known: dict[str, Path]) -> set[str]:
    """Return the gateway modules that a file imports, at any level and under ``TYPE_CHECKING``."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                submodule = f"{node.module}.{alias.name}"
                found.add(submodule if submodule in known else node.module)
    return found & known.keys()


def test_there_are_no_circular_imports() -> None:
    known = modules()
    graph = {name: imported_by(path, known) for name, path in known.items()}
    assert len(graph) > 80 and sum(map(len, graph.values())) > 200
    list(graphlib.TopologicalSorter(graph).static_order())
