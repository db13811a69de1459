"""Keeps the zones that the operator has evacuated: their back ends receive no requests.

As for all values that gateways share, the highest revision of a key wins, whatever its source;
after a restore of the store, :mod:`.epoch_rules` decides between values of two epochs. Removals are
kept for the life of the process: there is at most one for each zone ever named, and without it an
older value from a peer would restore the evacuation.

A zone opens only when the entries of its back ends are known up to the change that opened it: they
may have turned cold before, and another watch tells of that.

Owns the newest values of each key. Relies on the shared state to pass values in.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.common.logs import LogValue, log_event
from tinrudder.gateway.store.epoch_merge import EpochMerge
from tinrudder.gateway.store.epoch_rules import ObservedValue, evacuation_precedence_s
from tinrudder.gateway.store.store_revision import StoreRevision
from tinrudder.gateway.store.stored_values import STORE, StoredValue
from tinrudder.gateway.store.topic_history import TopicHistory


class Evacuations:
    """The newest value for each zone that was ever evacuated."""

    def __init__(
        self, history: TopicHistory, backends: TopicHistory, clock: Callable[[], float]
    ) -> None:
        """Start without any evacuation.

        :param backends: tells up to which change the entries of back ends are known.
        """
        self._backends = backends
        self.merge = EpochMerge(history, evacuation_precedence_s, clock)
        self._clock = clock
        self._zone_of_key: dict[str, str] = {}

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones whose back ends receive no requests."""
        known = self._backends.shown
        closed = (
            observed.value.key
            for observed in self.merge
            if not observed.is_removal or observed.revision > known
        )
        return frozenset(self._zone_of_key[key] for key in closed)

    @property
    def awaited_revision(self) -> StoreRevision | None:
        """Return up to which change entries must be known to open zones; ``None``: all are open."""
        known = self._backends.shown
        awaited = (one.revision for one in self.merge if one.is_removal and one.revision > known)
        return max(awaited, default=None)

    def apply(self, zone: str, value: StoredValue, source: str) -> bool:
        """Apply an evacuation or its end; tell whether the winning value changed."""
        self._zone_of_key[value.key] = zone
        before = self.merge.winner(value.key)
        if not self.merge.record(ObservedValue(value, self._clock())):
            return False
        after = self.merge.winner(value.key)
        assert after is not None
        if before is None or before.is_removal != after.is_removal:
            _log(zone, after, source)
        return True

    def settle(self) -> list[ObservedValue]:
        """End expired precedence; return the values that win as a result."""
        before = self.zones
        settled = self.merge.settle()
        for observed in settled:
            zone = self._zone_of_key[observed.value.key]
            if (zone in before) == observed.is_removal:
                _log(zone, observed, STORE)
        return settled


def _log(zone: str, observed: ObservedValue, source: str) -> None:
    """Log that a zone's evacuation began or ended, and the source of that information."""
    fields: dict[str, LogValue] = {
        "zone": zone,
        "epoch": observed.revision.epoch,
        "revision": observed.revision.number,
        "source": source,
        "detail": f"{zone}, learned from {source}",
    }
    log_event("zone_taken_back" if observed.is_removal else "zone_evacuated", fields)
