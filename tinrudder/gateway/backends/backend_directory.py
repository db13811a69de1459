"""Tracks the back ends of each service and decides which of them may get new work.

Owns the back ends, and with them every connection to one. The shared state is the source of their
entries; the number of callers of each service determines this gateway's share of connections and of
cold-start calls.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from msgspec import Struct

from tinrudder.common.address import Address
from tinrudder.common.rendezvous import rendezvous_score
from tinrudder.gateway.backends.answer_check import AnswerCheck
from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.backends.cold_start_limits import ColdStartLimits
from tinrudder.gateway.backends.upstream_connection import never_paused
from tinrudder.gateway.backends.upstream_pool import UpstreamPool
from tinrudder.gateway.clients.held_bytes import HeldBytes
from tinrudder.gateway.decisions.admission.memory_bound import max_body_bytes_in_flight
from tinrudder.gateway.decisions.placement.backend_observations import BackendObservations
from tinrudder.gateway.decisions.placement.cold_start_rate import Callers
from tinrudder.gateway.decisions.placement.coordinator_choice import DIVIDED_CONNECTION_SHARE
from tinrudder.gateway.model.configuration import (
    BackendEntry,
    ClientLimits,
    ColdBounds,
    HeaderNames,
)
from tinrudder.gateway.store.backend_entries import EntryStatus, KnownBackend
from tinrudder.gateway.store.shared_state import SharedState

MIN_REPLICAS = 2
"""Smallest number of replicas of a service that a gateway calls. With fewer it could neither hedge
nor retry."""
LAST_RESORT_DRAIN_FRACTION = 0.5
"""Fraction of the drain time in which a leaving back end may still get new work if the service has
no other. A call sent at the end of that time has as long again to complete."""
LAPSED_ENTRY_GRACE_S = 2.2
"""How long a back end whose entry lapsed stays usable, seconds. Slightly longer than running back
ends need to write their entries again once the store is back."""
LAPSED_ENTRY_DRAIN_FRACTION = 0.8
"""Upper bound of :data:`LAPSED_ENTRY_GRACE_S` as a fraction of the drain time, during which a back
end keeps serving after its entry is gone, regardless of who removed it."""


class DirectorySettings(Struct, frozen=True):
    """Settings of a gateway for calls to back ends.

    :param own_name: this gateway's name; ranks replicas differently on each gateway, so that they
        do not all pick the same ones.
    :param drain_s: how long back ends keep serving after they announce that they leave.
    """

    own_name: str
    drain_s: float
    cold: ColdBounds


class ConnectionHooks(Struct, frozen=True):
    """Hooks into the process for connections to back ends.

    :param count_opened: called for each connection opened.
    :param memory: counts bytes held for back ends; ``None`` if nothing reads that count.
    :param was_paused: tells whether this process has been paused since a given time.
    """

    count_opened: Callable[[], None]
    memory: HeldBytes | None = None
    was_paused: Callable[[float], bool] = never_paused


class BackendDirectory:
    """Follows the shared state; closes a back end's connections once its entry is gone."""

    def __init__(
        self,
        state: SharedState,
        headers: HeaderNames,
        clock: Callable[[], float],
        settings: DirectorySettings,
        connections: ConnectionHooks,
        callers: Callable[[str], Callers],
        is_closed: Callable[[str], bool],
    ) -> None:
        """Subscribe to ``state``.

        :param callers: returns the gateways that call the back ends of a service.
        :param is_closed: tells whether a zone is out of reach, so that calls to it would hang.
        """
        self._connection_hooks = connections
        self._is_zone_closed = is_closed
        self._state = state
        self._answer_check = AnswerCheck(headers)
        self._clock = clock
        self._last_resort_s = settings.drain_s * LAST_RESORT_DRAIN_FRACTION
        self._lapsed_grace_s = min(
            LAPSED_ENTRY_GRACE_S, settings.drain_s * LAPSED_ENTRY_DRAIN_FRACTION
        )
        self._callers = callers
        self._own_name = settings.own_name
        self._cold_starts = ColdStartLimits(state, settings.own_name, callers, settings.cold)
        self._backends: dict[str, Backend] = {}
        self._backends_by_service: dict[str, list[Backend]] = {}
        self._connection_limits: dict[str, float] = {}
        state.subscribe(self.refresh)

    def __len__(self) -> int:
        """Return the number of known back ends whose instance has not ended."""
        return len(self._backends)

    def __iter__(self) -> Iterator[Backend]:
        """Iterate over the known back ends whose instance has not ended."""
        return iter(self._backends.values())

    def refresh(self) -> None:
        """Apply the current shared state."""
        evacuated = self._state.evacuations.zones
        removed_keys = set(self._backends)
        for key, known in self._state.backends.items():
            removed_keys.discard(key)
            backend = self._backend_for(key, known)
            if backend is None:
                continue
            self._apply_entry(backend, known)
            backend.leaving_since = known.since if known.leaving else None
            backend.lapsed = not known.in_force and not known.entry.leaving
            backend.unreadable = known.standing is EntryStatus.UNREADABLE
            self._set_evacuated(backend, known.entry.zone in evacuated)
        for key in removed_keys:
            self._remove(key)
        self._set_connection_limits()

    def usable(self, service: str) -> list[Backend]:
        """Return the back ends that may get new work.

        Leaving back ends are a last resort, for part of their drain time. Entries can lapse during
        a store outage while every back end is running: a running back end writes its entry again
        soon after the store is back, and one that does not is gone.

        Back ends in an evacuated or unreachable zone are left out even if no others remain, and so
        are cold back ends that have received this gateway's share of their cold-start calls.
        """
        now = self._clock()
        known = self._backends_by_service.get(service, [])
        backends = [
            one
            for one in known
            if self._is_callable(one) and self._cold_starts.allows_call(one, now)
        ]
        not_leaving = [
            backend
            for backend in backends
            if backend.leaving_since is None and not backend.address_reused
        ]
        if not_leaving:
            return self._own_replicas(service, not_leaving)
        return [backend for backend in backends if self.may_send_to(backend)]

    def reason_for_none(self, service: str) -> str:
        """Explain why no back end of a service may get new work, for logs and callers."""
        backends = self._backends_by_service.get(service, [])
        if any(backend.evacuated for backend in backends):
            return "every back end left is in an evacuated zone"
        if any(self._is_zone_closed(backend.entry.zone) for backend in backends):
            return "every back end left is in a zone out of reach"
        if any(backend.unreadable for backend in backends):
            return "every back end left has an entry that cannot be read"
        now = self._clock()
        if not all(self._cold_starts.allows_call(backend, now) for backend in backends):
            return "every back end left is cold and has had this gateway's part of calls"
        return "every back end is leaving" if backends else "no back end is known"

    def has_callable_backend(self, service: str) -> bool:
        """Whether this gateway may call any back end of a service, ignoring cold-start limits."""
        return any(
            self._is_callable(backend) for backend in self._backends_by_service.get(service, ())
        )

    def _is_callable(self, backend: Backend) -> bool:
        """Whether calls to a back end are allowed and its zone is within reach."""
        forbidden = backend.evacuated or backend.unreadable
        return not forbidden and not self._is_zone_closed(backend.entry.zone)

    def active_backends(self, service: str) -> list[Backend]:
        """Return the back ends of a service that are neither leaving nor evacuated."""
        return [backend for backend in self._not_leaving(service) if not backend.evacuated]

    def replica_zones(self, service: str) -> tuple[str, ...]:
        """Return the zone of each back end of a service that is neither leaving nor evacuated."""
        return tuple(backend.entry.zone for backend in self.active_backends(service))

    def attempts_cover_all_replicas(self, service: str, attempts: int) -> bool:
        """Whether two gateways may call the back ends of a service for the same request.

        Neither gateway knows which back ends the other calls, so the service may have no more back
        ends than the request has attempts. Back ends of an evacuated zone count: the other gateway
        may have called one a moment before.
        """
        return len(self._not_leaving(service)) <= attempts

    def _not_leaving(self, service: str) -> list[Backend]:
        """Return the back ends of a service that are not leaving."""
        backends = self._backends_by_service.get(service, [])
        return [backend for backend in backends if backend.leaving_since is None]

    def _own_replicas(self, service: str, not_leaving: list[Backend]) -> list[Backend]:
        """Reduce the replicas if calling all of them would give each more connections than it
        accepts.
        """
        share = self._connection_limits.get(service, 1.0)
        if share >= 1.0:
            return not_leaving
        replica_count = max(MIN_REPLICAS, math.ceil(share * len(not_leaving)))
        if replica_count >= len(not_leaving):
            return not_leaving
        return sorted(not_leaving, key=self._rank)[-replica_count:]

    def _rank(self, backend: Backend) -> int:
        """Return this gateway's pseudo-random preference for a replica (rendezvous hashing)."""
        return rendezvous_score(self._own_name, backend.backend_id)

    def _connection_share(self, service: str) -> float:
        """Return this gateway's share of the connections that one back end accepts."""
        accepted = self._state.accepted
        spec = accepted.configuration.services.get(service) if accepted is not None else None
        if spec is None:
            return 1.0
        return (
            spec.max_connections * DIVIDED_CONNECTION_SHARE / max(1, self._callers(service).count)
        )

    def connection_limit(self, service: str) -> int:
        """Return how many connections this gateway may have to a service's usable back ends."""
        return sum(backend.pool.max_connections for backend in self.usable(service))

    def may_send_to(self, backend: Backend) -> bool:
        """Whether a call may still be sent to a back end that was selected earlier."""
        now = self._clock()
        if backend.ended or backend.unreadable or backend.address_reused or backend.evacuated:
            return False
        if not self._cold_starts.allows_call(backend, now):
            return False
        if backend.leaving_since is None:
            return True
        allowed_s = self._lapsed_grace_s if backend.lapsed else self._last_resort_s
        return now - backend.leaving_since <= allowed_s

    def note_call(self, backend: Backend) -> None:
        """Count a call that is being sent, if the back end's cold-start rate is limited."""
        self._cold_starts.note_call(backend, self._clock())

    def trim(self) -> None:
        """Update connection limits and close idle connections that back ends are about to close."""
        self._set_connection_limits()
        for backend in self._backends.values():
            backend.pool.trim()

    def _apply_entry(self, backend: Backend, known: KnownBackend) -> None:
        """Apply a back end's entry; any new entry may declare the back end cold again."""
        backend.entry = known.entry
        if known.write_observed_at != backend.entry_write_observed_at and known.in_force:
            backend.entry_write_observed_at = known.write_observed_at
            backend.observations.cold_until = known.write_observed_at + known.entry.cold_left_s

    def _backend_for(self, key: str, known: KnownBackend) -> Backend | None:
        """Return the back end for an entry, created if its instance is new; ``None`` for a new
        instance whose entry is not in force.
        """
        backend = self._backends.get(key)
        if backend is not None and backend.entry.is_same_process(known.entry):
            return backend
        if backend is not None:
            self._remove(key)
        return self._add(key, known.entry) if known.in_force else None

    def _add(self, key: str, entry: BackendEntry) -> Backend:
        """Create a back end."""
        address = Address(entry.host, entry.port)
        hooks = self._connection_hooks
        pool = UpstreamPool(
            address, self._answer_check.check, hooks.count_opened, hooks.memory, hooks.was_paused
        )
        observations = BackendObservations(slots=entry.slots)
        backend = Backend(entry, pool, observations)
        self._backends[key] = backend
        self._backends_by_service.setdefault(entry.service, []).append(backend)
        return backend

    def _set_evacuated(self, backend: Backend, evacuated: bool) -> None:
        """Set or clear the evacuation flag; idle connections would only go stale meanwhile."""
        if evacuated and not backend.evacuated:
            backend.pool.close_idle()
        backend.evacuated = evacuated

    def _remove(self, key: str) -> None:
        """Remove a back end; its calls in progress run to their end, and may have been executed."""
        backend = self._backends.pop(key)
        backend.ended = True
        of_service = self._backends_by_service[backend.entry.service]
        of_service.remove(backend)
        if not of_service:
            del self._backends_by_service[backend.entry.service]
        backend.pool.close()

    def _set_connection_limits(self) -> None:
        """Divide the connections and body bytes that each back end accepts among the gateways that
        call it.
        """
        accepted = self._state.accepted
        limits = accepted.configuration.limits if accepted is not None else ClientLimits()
        self._connection_limits = {
            service: self._connection_share(service) for service in self._backends_by_service
        }
        for service, backends in self._backends_by_service.items():
            limit = max(1, int(self._connection_limits[service]))
            callers = self._callers(service).count
            for backend in backends:
                backend.pool.max_connections = limit
                backend.pool.max_body_bytes = max_body_bytes_in_flight(
                    backend.observations.slots, callers, limits.max_body_bytes
                )
