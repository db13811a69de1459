"""Which index versions back ends have lately said they do not serve.

Owns the hints; relies on a clock to let them age.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tinrudder.node.decisions.backend_record import BackendRecord

HINT_LIFETIME_S = 2.0
"""Seconds for which a refusal is remembered.  Chosen, not measured: a back end may be about to
load the version it lacks."""
MAX_HINTS = 8192
"""Hints kept at most, then all are forgotten: it bounds memory, and what is forgotten is met again
at the cost of a refused call."""


class VersionHints:
    """Remembers refusals for a while, so that not every query has to meet them again.

    A hint ages because a back end may be about to load the version it lacks.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Age hints by ``clock``."""
        self._clock = clock
        self._gone_until: dict[tuple[str, str, int], float] = {}

    def note_gone(self, backend: BackendRecord, index: str, version: int) -> None:
        """Remember that a back end does not serve a version."""
        if len(self._gone_until) >= MAX_HINTS:
            self._gone_until.clear()
        self._gone_until[(backend.name, index, version)] = self._clock() + HINT_LIFETIME_S

    def may_serve(self, backend: BackendRecord, index: str, version: int) -> bool:
        """Tell whether nothing speaks against sending a call for a version there."""
        if not self._gone_until:
            return True
        until = self._gone_until.get((backend.name, index, version))
        return until is None or until <= self._clock()

    def reachable_share(
        self, replicas: Sequence[tuple[BackendRecord, ...]], index: str, version: int
    ) -> float:
        """Return the share of shards, given as their replicas, that have a usable replica."""
        usable = sum(1 for records in replicas if self._any_usable(records, index, version))
        return usable / len(replicas) if replicas else 0.0

    def _any_usable(self, records: tuple[BackendRecord, ...], index: str, version: int) -> bool:
        return any(not b.leaving and self.may_serve(b, index, version) for b in records)
