"""Limits the calls that this gateway sends to each cold back end.

Owns no state: each back end counts the calls sent to it. The configuration in force gives the rate
that a service's cold back ends accept, and
:mod:`tinrudder.gateway.decisions.placement.cold_start_rate` gives this gateway's share of that
rate.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.decisions.placement.cold_start_rate import Callers, own_call_limit
from tinrudder.gateway.model.configuration import ColdBounds
from tinrudder.gateway.store.shared_state import SharedState


class ColdStartLimits:
    """Limits calls to cold back ends to this gateway's share; times are monotonic seconds."""

    def __init__(
        self,
        state: SharedState,
        own_name: str,
        callers: Callable[[str], Callers],
        bounds: ColdBounds,
    ) -> None:
        """Divide a service's rate, as bounded by ``bounds``, among the service's ``callers``."""
        self._state = state
        self._own_name = own_name
        self._callers = callers
        self._bounds = bounds

    def note_call(self, backend: Backend, now: float) -> None:
        """Count a call that is being sent, if the back end is cold and its rate is limited."""
        if backend.is_cold(now) and self._rate(backend) is not None:
            backend.cold_start_rate.note_sent(now)

    def allows_call(self, backend: Backend, now: float) -> bool:
        """Whether a call would stay within this gateway's share of the cold-start rate."""
        if not backend.is_cold(now):
            return True
        rate = self._rate(backend)
        if rate is None:
            return True
        callers = self._callers(backend.entry.service)
        own_limit = own_call_limit(rate, self._own_name, callers, backend.backend_id)
        return backend.cold_start_rate.may_send(now, own_limit)

    def _rate(self, backend: Backend) -> float | None:
        """Return the calls per second that all gateways together may send to a cold back end;
        ``None``: no limit.
        """
        accepted = self._state.accepted
        services = accepted.configuration.services if accepted is not None else {}
        spec = services.get(backend.entry.service)
        if spec is None or not spec.cold_calls_per_s:
            return None
        return self._bounds.rate(spec.cold_calls_per_s)
