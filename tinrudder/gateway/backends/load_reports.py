"""Decodes back ends' load reports; counts and logs those that are unreadable.

Owns the count of unreadable reports. The platform's decoder defines the format.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.common.logs import log_problem
from tinrudder.gateway.model.http_messages import LoadReport
from tinrudder.gateway.store.stored_values import UnreadableValueError

LOG_INTERVAL_S = 10.0
"""Minimum time between two log lines, seconds: a report in an unknown format comes with every
answer."""


class LoadReports:
    """Decodes reports in the platform's format.

    :ivar unreadable: number of reports that could not be decoded.
    """

    def __init__(self, decode: Callable[[bytes], LoadReport], clock: Callable[[], float]) -> None:
        """Decode with ``decode``, which raises :class:`UnreadableValueError` on failure."""
        self.unreadable = 0
        self._decode = decode
        self._clock = clock
        self._logged_at = float("-inf")

    def read(self, value: bytes, backend_id: str) -> LoadReport | None:
        """Return the report; ``None`` if it is unreadable, which does not affect the answer that
        carried it.
        """
        try:
            return self._decode(value)
        except UnreadableValueError as error:
            self.unreadable += 1
            self._log(str(error), backend_id)
            return None

    def _log(self, detail: str, backend_id: str) -> None:
        """Log an unreadable report, at most once in :data:`LOG_INTERVAL_S`."""
        now = self._clock()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            log_problem(
                "unreadable_load_report",
                {"detail": detail, "backend": backend_id, "count": self.unreadable},
            )
