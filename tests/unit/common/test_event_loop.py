"""The clock of every process includes the time for which its machine was suspended."""

from __future__ import annotations

import ast
import asyncio
import time
from pathlib import Path
from typing import Any

import pytest

from tinrudder.common import event_loop
from tinrudder.common.event_loop import ElapsedTimeLoop, NoSuspensionClockError

PRODUCT = Path(event_loop.__file__).parents[1]
SUSPENDED_S = 30.0


class Suspension:
    """Simulates a suspension: the boot-time clock advances, the monotonic clock does not."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.suspended_s = 0.0
        read = time.clock_gettime

        def gettime(clock: int) -> float:
            return read(clock) + (self.suspended_s if clock == time.CLOCK_BOOTTIME else 0.0)

        monkeypatch.setattr(time, "clock_gettime", gettime)


def test_the_clock_goes_on_and_due_timers_fire_on_waking(monkeypatch: pytest.MonkeyPatch) -> None:
    suspension = Suspension(monkeypatch)

    async def main() -> list[str]:
        loop = asyncio.get_running_loop()
        events: list[str] = []
        before = loop.time()
        loop.call_later(SUSPENDED_S - 1.0, events.append, "due while suspended")
        loop.call_later(SUSPENDED_S + 60.0, events.append, "due later")
        suspension.suspended_s = SUSPENDED_S
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert loop.time() - before >= SUSPENDED_S
        return events

    assert event_loop.run(main()) == ["due while suspended"]


def test_a_wait_that_was_over_while_suspended_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    suspension = Suspension(monkeypatch)

    async def main() -> None:
        async with asyncio.timeout(SUSPENDED_S - 1.0):
            suspension.suspended_s = SUSPENDED_S
            await asyncio.Event().wait()

    with pytest.raises(TimeoutError):
        event_loop.run(main())


def test_a_platform_without_that_clock_raises_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        raise AssertionError("must not run")

    monkeypatch.delattr(time, "CLOCK_BOOTTIME")
    with pytest.raises(NoSuspensionClockError, match="CLOCK_BOOTTIME"):
        event_loop.run(main())


def test_both_daemons_run_on_that_loop() -> None:
    for name in ("gateway", "serve"):
        source = (PRODUCT / "cli" / f"{name}.py").read_text()
        assert "event_loop.run(" in source
        assert "asyncio.run(" not in source
    assert issubclass(ElapsedTimeLoop, asyncio.SelectorEventLoop)


def uses_of_monotonic_clock(path: Path) -> list[str]:
    tree = ast.parse(path.read_text())
    return [
        f"{path.relative_to(PRODUCT)}:{node.lineno}"
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and node.attr in ("monotonic", "monotonic_ns", "perf_counter")
        and isinstance(node.value, ast.Name)
        and node.value.id == "time"
    ]


def test_serving_code_reads_the_clock_only_through_the_loop() -> None:
    """Exempt: a command that waits for an answer at a terminal, and the rate limit of log lines."""
    allowed = {"cli/node_commands/apply.py", "gateway/observability/log_stream.py"}
    found: list[Any] = []
    for path in PRODUCT.rglob("*.py"):
        if str(path.relative_to(PRODUCT)) not in allowed:
            found += uses_of_monotonic_clock(path)
    assert found == []
