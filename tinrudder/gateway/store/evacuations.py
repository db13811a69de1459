"""Zones whose back ends the operator wants to get nothing, as this process knows them.

Like everything that gateways teach each other, the highest revision of a key wins, whoever told
it.  Removals are kept for the life of the process: there is at most one for each zone that was
ever named, and without it an older word of a peer would bring the evacuation back.

Owns the newest value of each key; relies on the shared state to hand it values.
"""

from __future__ import annotations

from msgspec import Struct

from tinrudder.common.logs import LogValue, log_event
from tinrudder.gateway.store.stored_values import StoredValue

STORE = "store"
"""Where what a gateway read itself comes from; else the address of the peer that told it."""


class Evacuation(Struct, frozen=True):
    """The newest word on one zone.

    :param source: from whom: :data:`STORE`, or a peer's address.
    """

    zone: str
    value: StoredValue
    source: str

    @property
    def in_force(self) -> bool:
        """Tell whether the zone is evacuated, rather than taken back."""
        return self.value.value is not None


class Evacuations:
    """The newest word on each zone that was ever evacuated."""

    def __init__(self) -> None:
        """Start knowing of none."""
        self._by_key: dict[str, Evacuation] = {}

    @property
    def revision(self) -> int:
        """Return the highest revision of any evacuation or its end; 0 for none."""
        return max((one.value.revision for one in self._by_key.values()), default=0)

    @property
    def keys(self) -> tuple[str, ...]:
        """Return the stored keys of the evacuations in force."""
        return tuple(key for key, one in self._by_key.items() if one.in_force)

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones whose back ends get nothing."""
        return frozenset(one.zone for one in self._by_key.values() if one.in_force)

    def apply(self, zone: str, value: StoredValue, source: str) -> bool:
        """Take an evacuation or its end; tell whether that was new."""
        known = self._by_key.get(value.key)
        if known is not None and value.revision <= known.value.revision:
            return False
        evacuation = Evacuation(zone, value, source)
        self._by_key[value.key] = evacuation
        log_evacuation(evacuation)
        return True

    def snapshot(self, after: int = 0) -> tuple[StoredValue, ...]:
        """Return what is newer than a revision, ends of evacuations included, for a peer."""
        return tuple(one.value for one in self._by_key.values() if one.value.revision > after)


def log_evacuation(evacuation: Evacuation) -> None:
    """Write the line of a zone that was evacuated or taken back, and how that became known."""
    fields: dict[str, LogValue] = {
        "zone": evacuation.zone,
        "revision": evacuation.value.revision,
        "source": evacuation.source,
        "detail": f"{evacuation.zone}, learned from {evacuation.source}",
    }
    log_event("zone_evacuated" if evacuation.in_force else "zone_taken_back", fields)
