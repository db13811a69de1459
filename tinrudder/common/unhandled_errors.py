"""Logs errors that reach the event loop, at a bounded rate.

One cause can raise thousands of them at once: each attempt to accept a connection without a free
descriptor does, and formatting their tracebacks would take the processor.

Owns the lines written in the present interval, and how many errors were left out since.
"""

from __future__ import annotations

import asyncio
from typing import Any

from tinrudder.common.logs import LogValue, log_problem

LOG_INTERVAL_S = 10.0
"""Interval for which the number of log lines is limited, seconds."""
MAX_LINES = 10
"""Maximum number of lines in one interval: several causes, each with a few errors."""


class UnhandledErrors:
    """The exception handler of an event loop."""

    def __init__(self) -> None:
        """Start without any error."""
        self._interval_began_at = float("-inf")
        self._lines = 0
        self._suppressed = 0

    def handle(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an error, or count it if many were logged just before."""
        now = loop.time()
        if now - self._interval_began_at >= LOG_INTERVAL_S:
            self._interval_began_at = now
            self._lines = 0
        if self._lines >= MAX_LINES:
            self._suppressed += 1
            return
        self._lines += 1
        fields: dict[str, LogValue] = {
            "detail": str(context.get("message")),
            "suppressed": self._suppressed,
        }
        self._suppressed = 0
        log_problem("unhandled_error", fields, context.get("exception"))
