"""One hypothesis profile for all tests: the same examples in every run, no wall-clock deadline."""

from __future__ import annotations

import pytest
from hypothesis import settings

from tests.known_red import LIST_NAME, KnownRedPlugin, read_list

settings.register_profile("same-every-run", deadline=None, derandomize=True, database=None)
settings.load_profile("same-every-run")


def pytest_configure(config: pytest.Config) -> None:
    listed = read_list(config.rootpath / LIST_NAME)
    if listed:
        config.pluginmanager.register(KnownRedPlugin(listed), "known-red")
