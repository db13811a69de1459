"""How many calls this gateway may send to each cold back end now.

Owns no state: the calls sent are counted on the back end. Relies on the configuration in force for
the rate that a service's cold back ends bear, and on
:mod:`tinrudder.gateway.decisions.placement.cold_start_rate` for this gateway's part of it.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.decisions.placement.cold_start_rate import Callers, own_part
from tinrudder.gateway.model.configuration import ColdBounds
from tinrudder.gateway.store.shared_state import SharedState


class ColdStartLimits:
    """Holds calls to cold back ends to this gateway's part; times are monotonic, in seconds."""

    def __init__(
        self,
        state: SharedState,
        own_name: str,
        callers: Callable[[str], Callers],
        bounds: ColdBounds,
    ) -> None:
        """Divide among ``callers`` of a service what ``bounds`` make of its rate."""
        self._state = state
        self._own_name = own_name
        self._callers = callers
        self._bounds = bounds

    def note_call(self, backend: Backend, now: float) -> None:
        """Count a call that leaves, where the back end bears only so many."""
        if backend.is_cold(now) and self._rate(backend) is not None:
            backend.cold_start_rate.note_sent(now)

    def bears_call(self, backend: Backend, now: float) -> bool:
        """Tell whether a call would keep to this gateway's part of what a cold one bears."""
        if not backend.is_cold(now):
            return True
        rate = self._rate(backend)
        if rate is None:
            return True
        callers = self._callers(backend.entry.service)
        part = own_part(rate, self._own_name, callers, backend.backend_id)
        return backend.cold_start_rate.may_send(now, part)

    def _rate(self, backend: Backend) -> float | None:
        """Return what a cold one may get from all gateways in a second; ``None``: any number."""
        accepted = self._state.accepted
        services = accepted.configuration.services if accepted is not None else {}
        spec = services.get(backend.entry.service)
        if spec is None or not spec.cold_calls_per_s:
            return None
        return self._bounds.rate(spec.cold_calls_per_s)
