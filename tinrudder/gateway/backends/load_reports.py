"""Reads back ends' load reports; unreadable ones are counted and logged, never lost in silence.

Owns the count of unreadable reports; relies on the adapter's decoder for their form.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.common.logs import log_problem
from tinrudder.gateway.model.http_messages import LoadReport
from tinrudder.gateway.store.stored_values import UnreadableValueError

LOG_PAUSE_S = 10.0
"""Between two log lines: a form that nobody can read comes with every answer."""


class LoadReports:
    """Decodes reports by the platform's form.

    :ivar unreadable: how many could not be read.
    """

    def __init__(self, decode: Callable[[bytes], LoadReport], clock: Callable[[], float]) -> None:
        """Decode with ``decode``, which raises :class:`UnreadableValueError`."""
        self.unreadable = 0
        self._decode = decode
        self._clock = clock
        self._logged_at = float("-inf")

    def read(self, value: bytes, backend_id: str) -> LoadReport | None:
        """Return the report; ``None`` if it cannot be read, which harms nothing else."""
        try:
            return self._decode(value)
        except UnreadableValueError as error:
            self.unreadable += 1
            self._log(str(error), backend_id)
            return None

    def _log(self, detail: str, backend_id: str) -> None:
        """Log what could not be read, not more often than is of use."""
        now = self._clock()
        if now - self._logged_at >= LOG_PAUSE_S:
            self._logged_at = now
            log_problem(
                "unreadable_load_report",
                {"detail": detail, "backend": backend_id, "count": self.unreadable},
            )
