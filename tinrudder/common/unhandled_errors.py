"""Logs errors that reach the event loop, at a bounded rate.

One cause can raise thousands of them at once: each attempt to accept a connection without a free
descriptor does, and formatting their tracebacks would take the processor.

Owns when each message was logged last, and how often it came since.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

from tinrudder.common.logs import LogValue, log_problem

LOG_INTERVAL_S = 10.0
"""Minimum seconds between two log lines with the same message."""


class UnhandledErrors:
    """The exception handler of an event loop."""

    def __init__(self) -> None:
        """Start without any error."""
        self._logged_at: dict[str, float] = {}
        self._suppressed: Counter[str] = Counter()

    def handle(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an error, or count it if its message was logged just before."""
        message = str(context.get("message"))
        now = loop.time()
        if now - self._logged_at.get(message, float("-inf")) < LOG_INTERVAL_S:
            self._suppressed[message] += 1
            return
        self._logged_at[message] = now
        error = context.get("exception")
        fields: dict[str, LogValue] = {
            "detail": message,
            "suppressed": self._suppressed.pop(message, 0),
        }
        log_problem("unhandled_error", fields, error)
