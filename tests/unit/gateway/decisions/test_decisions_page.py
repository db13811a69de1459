"""docs/DECISIONS.md lists every rule once, in order, with the text of the rules' docstrings."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from tinrudder_lab.decisions_page import (
    LABELS,
    PAGE,
    REFUSALS,
    RULES,
    read_rule,
    render,
    rule_paths,
)

GATEWAY = Path(RULES).parent
ONLY_TYPES = {"admission/queued_scatter"}
"""Modules that contain types only and no rule."""
METRIC_PREFIX = "tinrudder_gateway_"


def modules() -> set[str]:
    paths = RULES.glob("*/*.py")
    return {f"{one.parent.name}/{one.stem}" for one in paths if one.stem != "__init__"}


def shown_by(path: str) -> list[str]:
    """Return the log lines, fields and metrics that a rule's ``Shown by`` paragraph names."""
    paragraph = next(one for one in read_rule(path).paragraphs if one.startswith("Shown by: "))
    return re.findall(r"``(\w+)``", paragraph)


def test_the_page_names_every_rule_once() -> None:
    paths = rule_paths()
    assert len(paths) == len(set(paths))
    assert set(paths) == modules() - ONLY_TYPES


def test_the_page_is_what_the_docstrings_say() -> None:
    assert PAGE.read_text() == render(), "run: python -m tinrudder_lab.decisions_page"


def test_the_page_asks_each_question_in_order() -> None:
    text = PAGE.read_text()
    headings = re.findall(r"^### (.*)$", text, re.MULTILINE)
    assert headings == [read_rule(path).question for path in rule_paths()]
    places = [text.index(f"\n\n`gateway/decisions/{path}.py`\n") for path in rule_paths()]
    assert places == sorted(places)


@pytest.mark.parametrize("path", rule_paths())
def test_a_rule_has_a_question_and_all_labelled_paragraphs(path: str) -> None:
    rule = read_rule(path)
    assert rule.question.endswith("?") and "\n" not in rule.question
    labels = [one.partition(": ")[0] for one in rule.paragraphs]
    assert tuple(label for label in labels if label in LABELS) == LABELS


@pytest.mark.parametrize("path", rule_paths())
def test_the_log_lines_and_metrics_that_show_a_rule_exist(path: str) -> None:
    sources = [one.read_text() for one in GATEWAY.rglob("*.py") if RULES not in one.parents]
    written = set(re.findall(r'"(\w+)"', "\n".join(sources)))
    metrics = set(re.findall(r"\{PREFIX\}_(\w+)", "\n".join(sources)))
    for name in shown_by(path):
        if name.startswith(METRIC_PREFIX):
            assert name.removeprefix(METRIC_PREFIX) in written | metrics
        else:
            assert name in written


def test_the_details_of_refusals_are_those_that_the_gateway_writes() -> None:
    written = "\n".join(one.read_text() for one in GATEWAY.rglob("*.py"))
    assert [one.detail for one in REFUSALS if one.detail not in written] == []
    assert {one.rule for one in REFUSALS if one.rule} <= set(rule_paths())


def test_the_modules_that_the_page_names_exist() -> None:
    for named in re.findall(r"`(gateway/[\w/]+\.py)`", PAGE.read_text()):
        assert (GATEWAY.parent / named).exists(), named
