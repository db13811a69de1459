"""A short soak with a fixed seed: real gateways under injected faults break no promise.

Long runs with many seeds are started by hand (docs/LAB.md).
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from tinrudder_lab.soak.run import soak

SEED = 201
SECONDS = 15.0


def test_no_promise_breaks_in_a_short_soak(tmp_path: Path) -> None:
    result = asyncio.run(soak(SEED, SECONDS, tmp_path))
    assert result.broken == []
    assert result.ended_back_ends > 0
    assert result.slow_readers > 0
    assert any("store back from" in one for one in result.faults)
    assert any("links silent" in one for one in result.faults)
    assert any("endless" in one for one in result.faults)
    assert any("started together" in one for one in result.faults)
    assert any("in use" in one for one in result.faults)
