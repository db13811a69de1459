"""One start of one back end: its entry, its connections, and what this gateway has seen of it.

Owned by :class:`~tinrudder.gateway.backends.backend_directory.BackendDirectory`, which keeps the
flags in step with the shared state; calls read them and add observations.
"""

from __future__ import annotations

from msgspec import Struct, field

from tinrudder.gateway.backends.upstream_pool import UpstreamPool
from tinrudder.gateway.decisions.placement.backend_observations import BackendObservations
from tinrudder.gateway.decisions.placement.cold_start_rate import ColdStartRate
from tinrudder.gateway.model.configuration import BackendEntry


class Backend(Struct, eq=False):
    """One start of one back end, as this process sees it.

    A back end that starts again under its id is another one: nothing that was seen of the start
    before says anything of it.

    :param cold_start_rate: this gateway's calls to it while it is cold.
    :param entry_said_at: when this process learned that it wrote ``entry``.
    :param leaving_since: when this process learned that it takes no new work; ``None`` before.
    :param lapsed: its entry is gone although it never said that it leaves.
    :param unreadable: its entry cannot be read any more, so that it is no last resort either.
    :param ended: another start took its place; calls that have not left go elsewhere.
    :param readdressed: something else answered at its address.
    :param evacuated: the operator wants the back ends of its zone to get nothing.
    """

    entry: BackendEntry
    pool: UpstreamPool
    observations: BackendObservations = field(default_factory=BackendObservations)
    cold_start_rate: ColdStartRate = field(default_factory=ColdStartRate)
    entry_said_at: float | None = None
    leaving_since: float | None = None
    lapsed: bool = False
    unreadable: bool = False
    ended: bool = False
    readdressed: bool = False
    evacuated: bool = False

    @property
    def backend_id(self) -> str:
        """Return the id."""
        return self.entry.backend_id

    def is_cold(self, now: float) -> bool:
        """Tell whether it is slow, and bears fewer requests, since it has just started."""
        return now < self.observations.cold_until
