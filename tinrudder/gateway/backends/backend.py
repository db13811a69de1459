"""One instance of a back end: its entry, its connections and this gateway's observations of it.

Owned by :class:`~tinrudder.gateway.backends.backend_directory.BackendDirectory`, which updates the
flags from the shared state. Calls read the flags and add observations.
"""

from __future__ import annotations

from msgspec import Struct, field

from tinrudder.gateway.backends.upstream_pool import UpstreamPool
from tinrudder.gateway.decisions.placement.backend_observations import BackendObservations
from tinrudder.gateway.decisions.placement.cold_start_rate import ColdStartRate
from tinrudder.gateway.model.configuration import BackendEntry


class Backend(Struct, eq=False):
    """One instance of a back end, as this process sees it.

    A back end that restarts under the same id is a new instance: observations of the previous
    instance do not apply to it.

    :param cold_start_rate: counts this gateway's calls to the back end while it is cold.
    :param entry_write_observed_at: when this process learned that the back end wrote ``entry``.
    :param leaving_since: when this process learned that the back end accepts no new work; ``None``
        if it has not.
    :param lapsed: its entry is gone although the back end never announced that it leaves.
    :param unreadable: its entry can no longer be read, so it is not used even as a last resort.
    :param ended: it was replaced by another instance or removed; calls not sent yet go elsewhere.
    :param address_reused: another server answered at its address.
    :param evacuated: the operator evacuates its zone, so it gets no calls.
    """

    entry: BackendEntry
    pool: UpstreamPool
    observations: BackendObservations = field(default_factory=BackendObservations)
    cold_start_rate: ColdStartRate = field(default_factory=ColdStartRate)
    entry_write_observed_at: float | None = None
    leaving_since: float | None = None
    lapsed: bool = False
    unreadable: bool = False
    ended: bool = False
    address_reused: bool = False
    evacuated: bool = False

    @property
    def backend_id(self) -> str:
        """The back end's id."""
        return self.entry.backend_id

    def is_cold(self, now: float) -> bool:
        """Whether the back end has just started, and so is slower and handles fewer requests."""
        return now < self.observations.cold_until
