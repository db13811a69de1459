"""The back ends of each service: which of them may get new work.

Owns the back ends, and with them every connection to one; they follow the shared state. Relies on
the callers of a service for this gateway's part of connections and of cold starts.
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
from tinrudder.gateway.backends.upstream_connection import never_stood_still
from tinrudder.gateway.backends.upstream_pool import UpstreamPool
from tinrudder.gateway.clients.held_bytes import HeldBytes
from tinrudder.gateway.decisions.admission.memory_bound import body_bytes_on_the_way
from tinrudder.gateway.decisions.placement.backend_observations import BackendObservations
from tinrudder.gateway.decisions.placement.cold_start_rate import Callers
from tinrudder.gateway.decisions.placement.coordinator_choice import CONNECTION_SAFETY
from tinrudder.gateway.model.configuration import (
    BackendEntry,
    ClientLimits,
    ColdBounds,
    HeaderNames,
)
from tinrudder.gateway.store.backend_entries import EntryStanding, KnownBackend
from tinrudder.gateway.store.shared_state import SharedState

FEWEST_REPLICAS = 2
"""Replicas of a service that a gateway calls at least. With fewer it could neither hedge nor
retry."""
LAST_RESORT_SHARE = 0.5
"""Part of the time that a leaving back end still serves in which it may get new work where no other
is left. Chosen, not measured: a call that leaves then has as long again to end."""
LAPSE_S = 2.2
"""How long after the store is back every living back end has recorded itself again, and a bit."""
LAPSE_SHARE = 0.8
"""Part of the time that a back end serves after its entry is gone, whoever removed that."""


class DirectorySettings(Struct, frozen=True):
    """What a gateway's settings say of its calls to back ends.

    :param own_name: differs between gateways, so that they do not all pick the same replicas.
    :param drain_s: how long back ends serve after they said that they leave.
    """

    own_name: str
    drain_s: float
    cold: ColdBounds


class ConnectionHooks(Struct, frozen=True):
    """What connections to back ends need of the process.

    :param count_opened: is called for each that is opened.
    :param memory: counts what is held for back ends; without it, nobody asks for that.
    :param stood_still: tells whether this process did not run for a while since a moment.
    """

    count_opened: Callable[[], None]
    memory: HeldBytes | None = None
    stood_still: Callable[[float], bool] = never_stood_still


class BackendDirectory:
    """Follows the shared state; a back end's connections close when it is gone."""

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
        """Follow ``state``.

        :param callers: tells which gateways call the back ends of a service.
        :param is_closed: tells whether calls to a zone would only hang.
        """
        self._connections = connections
        self._is_closed = is_closed
        self._state = state
        self._answers = AnswerCheck(headers)
        self._clock = clock
        self._last_resort_s = settings.drain_s * LAST_RESORT_SHARE
        self._lapse_s = min(LAPSE_S, settings.drain_s * LAPSE_SHARE)
        self._callers = callers
        self._own_name = settings.own_name
        self._cold_starts = ColdStartLimits(state, settings.own_name, callers, settings.cold)
        self._backends: dict[str, Backend] = {}
        self._services: dict[str, list[Backend]] = {}
        self._shares: dict[str, float] = {}
        state.subscribe(self.refresh)

    def __len__(self) -> int:
        """Return how many back ends are known and not gone."""
        return len(self._backends)

    def __iter__(self) -> Iterator[Backend]:
        """Return the back ends that are known and not gone."""
        return iter(self._backends.values())

    def refresh(self) -> None:
        """Take over what the shared state says now."""
        evacuated = self._state.evacuations.zones
        gone = set(self._backends)
        for key, known in self._state.backends.items():
            gone.discard(key)
            backend = self._of_this_start(key, known)
            if backend is None:
                continue
            self._take_entry(backend, known)
            backend.leaving_since = known.since if known.leaving else None
            backend.lapsed = not known.in_force and not known.entry.leaving
            backend.unreadable = known.standing is EntryStanding.UNREADABLE
            self._set_evacuated(backend, known.entry.zone in evacuated)
        for key in gone:
            self._drop(key)
        self._set_connection_limits()

    def usable(self, service: str) -> list[Backend]:
        """Return the back ends that may get new work.

        Those that are leaving are a last resort, for a part of the time that they still serve.
        Entries can lapse while the store is down although every back end lives; one that does is
        back soon after the store's return, and one that is missing then is gone.

        Those of an evacuated zone are left out even where no others are, and so are those of a
        zone that is out of reach, and cold ones that have had this gateway's part of what they
        bear.
        """
        now = self._clock()
        known = self._services.get(service, [])
        backends = [
            one for one in known if self._is_wanted(one) and self._cold_starts.bears_call(one, now)
        ]
        staying = [
            backend
            for backend in backends
            if backend.leaving_since is None and not backend.readdressed
        ]
        if staying:
            return self._own_replicas(service, staying)
        return [backend for backend in backends if self.may_receive(backend)]

    def reason_for_none(self, service: str) -> str:
        """Say why no back end of a service may get new work, for logs and callers."""
        backends = self._services.get(service, [])
        if any(backend.evacuated for backend in backends):
            return "every back end left is in an evacuated zone"
        if any(self._is_closed(backend.entry.zone) for backend in backends):
            return "every back end left is in a zone out of reach"
        if any(backend.unreadable for backend in backends):
            return "every back end left has an entry that cannot be read"
        now = self._clock()
        if not all(self._cold_starts.bears_call(backend, now) for backend in backends):
            return "every back end left is cold and has had this gateway's part of calls"
        return "every back end is leaving" if backends else "no back end is known"

    def reachable(self, service: str) -> bool:
        """Tell whether any back end of a service may be called from here, cold or not."""
        return any(self._is_wanted(one) for one in self._services.get(service, ()))

    def _is_wanted(self, backend: Backend) -> bool:
        """Tell whether calls to a back end are neither forbidden nor vain."""
        forbidden = backend.evacuated or backend.unreadable
        return not forbidden and not self._is_closed(backend.entry.zone)

    def staying(self, service: str) -> list[Backend]:
        """Return the back ends of a service that take new work for longer."""
        return [one for one in self._staying(service) if not one.evacuated]

    def replica_zones(self, service: str) -> tuple[str, ...]:
        """Return the zone of each back end of a service that takes new work for longer."""
        return tuple(one.entry.zone for one in self.staying(service))

    def fits_attempts(self, service: str, attempts: int) -> bool:
        """Tell whether two gateways may ask the back ends of a service for the same request.

        Neither knows whom the other asks, so no more back ends may stand than one request may run
        on.  Those of an evacuated zone count: the other may have asked one a moment before.
        """
        return len(self._staying(service)) <= attempts

    def _staying(self, service: str) -> list[Backend]:
        """Return the back ends of a service that are not leaving."""
        backends = self._services.get(service, [])
        return [backend for backend in backends if backend.leaving_since is None]

    def _own_replicas(self, service: str, staying: list[Backend]) -> list[Backend]:
        """Leave out replicas where each of them would get more connections than it takes."""
        share = self._shares.get(service, 1.0)
        if share >= 1.0:
            return staying
        wanted = max(FEWEST_REPLICAS, math.ceil(share * len(staying)))
        if wanted >= len(staying):
            return staying
        return sorted(staying, key=self._rank)[-wanted:]

    def _rank(self, backend: Backend) -> int:
        """Return how much this gateway prefers a replica to others, by chance."""
        return rendezvous_score(self._own_name, backend.backend_id)

    def _connection_share(self, service: str) -> float:
        """Return how many connections to one back end are this gateway's part."""
        accepted = self._state.accepted
        spec = accepted.configuration.services.get(service) if accepted is not None else None
        if spec is None:
            return 1.0
        return spec.max_connections * CONNECTION_SAFETY / max(1, self._callers(service).count)

    def may_receive(self, backend: Backend) -> bool:
        """Tell whether a call may still leave for a back end that was chosen earlier."""
        now = self._clock()
        if backend.ended or backend.unreadable or backend.readdressed or backend.evacuated:
            return False
        if not self._cold_starts.bears_call(backend, now):
            return False
        if backend.leaving_since is None:
            return True
        allowed_s = self._lapse_s if backend.lapsed else self._last_resort_s
        return now - backend.leaving_since <= allowed_s

    def note_call(self, backend: Backend) -> None:
        """Count a call that leaves, where the back end bears only so many."""
        self._cold_starts.note_call(backend, self._clock())

    def trim(self) -> None:
        """Close connections that back ends are about to close, and adapt their numbers."""
        self._set_connection_limits()
        for backend in self._backends.values():
            backend.pool.trim()

    def _take_entry(self, backend: Backend, known: KnownBackend) -> None:
        """Take what a back end says of itself; it may say anew that it is cold at any time."""
        backend.entry = known.entry
        if known.said_at != backend.entry_said_at and known.in_force:
            backend.entry_said_at = known.said_at
            backend.observations.cold_until = known.said_at + known.entry.cold_left_s

    def _of_this_start(self, key: str, known: KnownBackend) -> Backend | None:
        """Return the back end of an entry, anew for another start; ``None`` if none may be used."""
        backend = self._backends.get(key)
        if backend is not None and backend.entry.is_same_start(known.entry):
            return backend
        if backend is not None:
            self._drop(key)
        return self._add(key, known.entry) if known.in_force else None

    def _add(self, key: str, entry: BackendEntry) -> Backend:
        """Begin with a back end that was not known."""
        address = Address(entry.host, entry.port)
        hooks = self._connections
        pool = UpstreamPool(
            address, self._answers.check, hooks.count_opened, hooks.memory, hooks.stood_still
        )
        observations = BackendObservations(slots=entry.slots)
        backend = Backend(entry, pool, observations)
        self._backends[key] = backend
        self._services.setdefault(entry.service, []).append(backend)
        return backend

    def _set_evacuated(self, backend: Backend, evacuated: bool) -> None:
        """Let a back end get nothing, or calls again; idle connections would only age there."""
        if evacuated and not backend.evacuated:
            backend.pool.close_idle()
        backend.evacuated = evacuated

    def _drop(self, key: str) -> None:
        """Forget a back end; calls in progress end by themselves, and may have run."""
        backend = self._backends.pop(key)
        backend.ended = True
        of_service = self._services[backend.entry.service]
        of_service.remove(backend)
        if not of_service:
            del self._services[backend.entry.service]
        backend.pool.close()

    def _set_connection_limits(self) -> None:
        """Divide what each back end accepts among the gateways that call it."""
        accepted = self._state.accepted
        limits = accepted.configuration.limits if accepted is not None else ClientLimits()
        self._shares = {service: self._connection_share(service) for service in self._services}
        for service, backends in self._services.items():
            limit = max(1, int(self._shares[service]))
            callers = self._callers(service).count
            for backend in backends:
                backend.pool.max_connections = limit
                backend.pool.max_body_bytes = body_bytes_on_the_way(
                    backend.observations.slots, callers, limits.max_body_bytes
                )
