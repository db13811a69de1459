"""The sample settings and resources in etc/ are valid."""

from __future__ import annotations

from pathlib import Path

import pytest

from tinrudder.cli.node_commands.resource_file import load_resource_file
from tinrudder.node.resources.validation import problems_of
from tinrudder.node.settings import load_settings

ETC = Path(__file__).parents[3] / "etc"


@pytest.mark.parametrize("path", sorted(ETC.glob("*.toml")), ids=lambda path: path.name)
def test_sample_settings_are_valid(path: Path) -> None:
    assert load_settings(path, {}).seed_peers


@pytest.mark.parametrize("path", sorted(ETC.glob("resources/*")), ids=lambda path: path.name)
def test_sample_resources_are_valid(path: Path) -> None:
    assert problems_of(load_resource_file(path).document()) == []
