"""Structured logs: one JSON object per line, written through absl.logging.

Owns the format of a line; callers own the names of events and fields.
"""

from __future__ import annotations

import io
import json
import logging
import sys
from collections.abc import Mapping
from typing import TextIO

from absl import flags
from absl import logging as absl_logging

LogValue = str | int | float | bool | None


class JsonLineFormatter(logging.Formatter):
    """Formats a log record as one JSON line with time, level, node, event and fields."""

    def __init__(self, node: str) -> None:
        """Create a formatter that adds ``node`` to every line."""
        super().__init__()
        self._node = node

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON line of a record."""
        line: dict[str, object] = {
            "time": round(record.created, 6),
            "level": record.levelname,
            "node": self._node,
            "event": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


def configure_logs(
    node: str, level: str = "INFO", stream: TextIO | io.TextIOBase | None = None
) -> None:
    """Write all logs of the process as JSON lines to ``stream``, by default standard error."""
    handler = absl_logging.get_absl_handler()
    handler.python_handler.stream = stream if stream is not None else sys.stderr
    flags.FLAGS.mark_as_parsed()
    handler.setFormatter(JsonLineFormatter(node))
    absl_logging.use_absl_handler()
    absl_logging.get_absl_logger().setLevel(level)
    logging.getLogger().setLevel(level)
    logging.getLogger("transitions").setLevel(logging.WARNING)


def log_event(event: str, fields: Mapping[str, LogValue] | None = None) -> None:
    """Log an event with its fields, at level INFO."""
    absl_logging.get_absl_logger().info(event, extra={"fields": dict(fields or {})})


def log_problem(
    event: str, fields: Mapping[str, LogValue] | None = None, error: BaseException | None = None
) -> None:
    """Log an event that an operator should look at, with its fields, at level WARNING.

    :param error: an unexpected error, whose traceback is added to the line.
    """
    absl_logging.get_absl_logger().warning(
        event, exc_info=error, extra={"fields": dict(fields or {})}
    )
