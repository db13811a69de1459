"""Everything that pages name exists: modules, tests, log events, metrics, constants, pages."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

from tinrudder.gateway.observability.metrics_text import metrics_text
from tinrudder_lab.emulator.site import EmulatedSite, run_site

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
RECORDS = DOCS / "records"
"""Records are not checked: they name what existed when they were written."""
PAGES = [
    ROOT / "README.md",
    *sorted(page for page in DOCS.rglob("*.md") if not page.is_relative_to(RECORDS)),
]
ARCHITECTURE = DOCS / "ARCHITECTURE.md"
RENAMES = DOCS / "NAMES.md"
"""Not checked for paths and tests: lists old names beside new ones."""
LOGGING_CALLS = frozenset(("log_event", "log_problem", "log", "_log"))
LINES_DROPPED = "log_lines_dropped"
"""Written by the log stream, not by a logging function: reports the lines it dropped."""
BASES = (ROOT, ROOT / "tinrudder", ROOT / "tinrudder_lab")
FOLDERS = frozenset(
    path.name for base in BASES for path in base.iterdir() if path.is_dir() and path.name[0] != "."
)
CODE = re.compile(r"`([^`\n]+)`")
LINK = re.compile(r"\]\(([^()\s]+)\)")
PATH = re.compile(r"[\w-]+(?:/[\w.-]+)*/?")
CODE_LINE = re.compile(r"^( {4}|```)")


def page_id(page: Path) -> str:
    return str(page.relative_to(ROOT))


def prose(page: Path) -> str:
    """Return a page without indented lines and code fences."""
    return "\n".join(line for line in page.read_text().splitlines() if not CODE_LINE.match(line))


def quoted_texts(page: Path) -> set[str]:
    """Return the texts between backticks."""
    return set(CODE.findall(prose(page)))


@cache
def syntax_trees() -> tuple[ast.Module, ...]:
    return tuple(ast.parse(path.read_text()) for path in (ROOT / "tinrudder").rglob("*.py"))


@cache
def log_events() -> frozenset[str]:
    """Return the event names in the first arguments of all logging calls."""
    return frozenset(_logged()) | {LINES_DROPPED}


def _logged() -> Iterator[str]:
    for tree in syntax_trees():
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, "id", getattr(node.func, "attr", ""))
            if name in LOGGING_CALLS:
                for part in ast.walk(node.args[0]):
                    if isinstance(part, ast.Constant) and isinstance(part.value, str):
                        yield part.value


@cache
def metric_names() -> frozenset[str]:
    """Return the metric families of a gateway's scrape."""

    async def scenario(site: EmulatedSite) -> bytes:
        gateway = site.nodes[0].gateway
        assert gateway is not None
        await site.send("scatter")
        return metrics_text(gateway.metrics)

    text = run_site(scenario).decode()
    families = dict(re.findall(r"^# TYPE (\S+) (\w+)$", text, re.MULTILINE))
    assert families
    return frozenset(families)


@cache
def defined_names() -> frozenset[str]:
    """Return the names of all classes and constants at module level."""
    names: set[str] = set()
    for tree in syntax_trees():
        for node in tree.body:
            if isinstance(node, ast.ClassDef):
                names.add(node.name)
            elif isinstance(node, ast.Assign):
                names.update(one.id for one in node.targets if isinstance(one, ast.Name))
            elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
                names.add(node.target.id)
    return frozenset(names)


@cache
def names_of_tests() -> frozenset[str]:
    sources = (path.read_text() for path in (ROOT / "tests").rglob("test_*.py"))
    return frozenset(name for text in sources for name in re.findall(r"def (test_\w+)", text))


@cache
def module_names() -> frozenset[str]:
    folders = ("tinrudder", "tinrudder_lab", "tests", "bench")
    return frozenset(path.name for one in folders for path in (ROOT / one).rglob("*.py"))


def is_path(text: str) -> bool:
    """Return whether a quoted text names a file or folder of the repository."""
    if PATH.fullmatch(text) is None:
        return False
    return text.endswith(".py") or ("/" in text and text.split("/")[0] in FOLDERS)


def exists(text: str) -> bool:
    """Return whether a path exists; the package and ``.py`` may be omitted.

    A page about one folder may name its modules without the folder.
    """
    if "/" not in text:
        return text in module_names()
    places = [base / text for base in BASES]
    return any(one.exists() or one.with_suffix(".py").exists() for one in places)


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_every_link_of_a_page_leads_somewhere(page: Path) -> None:
    links = [one for one in LINK.findall(prose(page)) if not one.startswith(("http", "#"))]
    assert [one for one in links if not (page.parent / one.partition("#")[0]).exists()] == []


def test_every_page_stands_in_the_index() -> None:
    index = DOCS / "README.md"
    linked = {(DOCS / one).resolve() for one in LINK.findall(prose(index)) if "://" not in one}
    assert {
        one for one in DOCS.rglob("*.md") if one != index and one.resolve() not in linked
    } == set()


@pytest.mark.parametrize("page", [one for one in PAGES if one != RENAMES], ids=page_id)
def test_every_path_that_a_page_names_exists(page: Path) -> None:
    assert sorted(one for one in quoted_texts(page) if is_path(one) and not exists(one)) == []


@pytest.mark.parametrize("page", [one for one in PAGES if one != RENAMES], ids=page_id)
def test_every_test_that_a_page_names_exists(page: Path) -> None:
    named = {one for one in quoted_texts(page) if re.fullmatch(r"test_\w+", one)}
    assert named - names_of_tests() == set()


def test_every_log_event_of_the_architecture_exists() -> None:
    words = {one for one in quoted_texts(ARCHITECTURE) if re.fullmatch(r"[a-z]+(_[a-z]+)*", one)}
    adapter = "".join(path.read_text() for path in (ROOT / "tinrudder/platform").glob("*.py"))
    settings = {one for one in words if re.search(rf"^    {one}: ", adapter, re.MULTILINE)}
    metrics = {one for one in words if one.startswith("tinrudder_gateway_")}
    named = words - settings - metrics
    named = {one for one in named if not one.startswith("test_")}
    assert len(named) > 20
    assert named - log_events() == set()


@pytest.mark.parametrize("page", [ARCHITECTURE, DOCS / "OPERATIONS.md"], ids=page_id)
def test_every_metric_of_the_gateway_that_a_page_names_exists(page: Path) -> None:
    named = set(re.findall(r"\btinrudder_gateway_\w+", page.read_text()))
    assert named
    # A page may name a counter with or without the ``_total`` suffix of its samples.
    shown = metric_names()
    assert {one for one in named if one not in shown and f"{one}_total" not in shown} == set()


def test_every_counter_that_operators_are_told_of_by_its_short_name_exists() -> None:
    text = (DOCS / "OPERATIONS.md").read_text()
    names = set(re.findall(r"`_?([a-z]\w*)_total\b", text))
    short = {one for one in names if not one.startswith("tinrudder_")}
    assert len(short) > 10
    shown = {one.removesuffix("_total") for one in metric_names()}
    assert {one for one in short if f"tinrudder_gateway_{one}" not in shown} == set()


def test_every_class_and_constant_of_the_architecture_exists() -> None:
    named = {
        one
        for one in quoted_texts(ARCHITECTURE)
        if re.fullmatch(r"[A-Z][A-Z0-9]*(_[A-Z0-9]+)+|([A-Z][a-z0-9]+){2,}", one)
    }
    assert named - defined_names() == set()


def test_the_log_events_of_the_gateway_are_told_to_operators() -> None:
    gateway = {value for value in log_events() if re.fullmatch(r"[a-z]+(_[a-z]+)+", value)}
    assert gateway - quoted_texts(DOCS / "OPERATIONS.md") == set()
