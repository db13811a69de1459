"""A flood of errors in the event loop costs a bounded number of log lines."""

from __future__ import annotations

import asyncio

import pytest

from tinrudder.common.unhandled_errors import LOG_INTERVAL_S, MAX_LINES, UnhandledErrors
from tinrudder_lab.emulator.loop import EmulatorLoop


def test_a_flood_of_errors_is_logged_at_a_bounded_rate_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    loop = EmulatorLoop()
    loop.set_exception_handler(UnhandledErrors().handle)

    async def run() -> None:
        for number in range(1000):
            loop.call_exception_handler({"message": f"error {number}", "exception": OSError()})
        await asyncio.sleep(LOG_INTERVAL_S)
        loop.call_exception_handler({"message": "later"})

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
    lines = [record for record in caplog.records if record.getMessage() == "unhandled_error"]
    assert len(lines) == MAX_LINES + 1
    assert vars(lines[-1])["fields"]["suppressed"] == 1000 - MAX_LINES
