"""One hypothesis profile for all tests: the same examples every run, no wall-clock limit."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("same-every-run", deadline=None, derandomize=True, database=None)
settings.load_profile("same-every-run")
