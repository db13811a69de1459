"""Copies of the product without one mechanism."""

from __future__ import annotations

import ast

import pytest

from tinrudder_lab.ablation import (
    ABLATIONS,
    BY_NAME,
    ROOT,
    Ablation,
    AblationError,
    Substitution,
    main,
    substitute,
)


@pytest.mark.parametrize("ablation", ABLATIONS, ids=lambda one: one.name)
def test_every_substitution_fits_the_source_of_today(ablation: Ablation) -> None:
    for substitution in ablation.substitutions:
        source = (ROOT / substitution.path).read_text()
        changed = substitute(source, substitution)
        assert changed != source
        ast.parse(changed)


def test_names_are_told_apart() -> None:
    assert len(BY_NAME) == len(ABLATIONS)


def test_words_that_are_gone_or_stand_twice_are_an_error() -> None:
    for source in ("a = 1", "b = 2; b = 2"):
        with pytest.raises(AblationError, match=r"x\.py"):
            substitute(source, Substitution("x.py", "b = 2", "b = 3"))


def test_without_a_name_the_mechanisms_are_listed(capsys: pytest.CaptureFixture[str]) -> None:
    assert main([]) == 0
    assert "hedge" in capsys.readouterr().out
