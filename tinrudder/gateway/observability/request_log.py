"""Structured log events for each finished request, with the reason for its outcome.

Owns the names and fields of these events; the request handler describes how a request ended.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from msgspec import Struct, field

from tinrudder.common.address import Address
from tinrudder.common.logs import LogValue, log_event
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.outcomes import (
    Invalid,
    Merged,
    NoAnswer,
    NotRun,
    OverQuota,
    RequestOutcome,
    TimedOut,
    Unauthorized,
    UnknownRoute,
    status_of,
)
from tinrudder.gateway.peers.peer_messages import MissingShard, ScatterEnd, ScatterRequest

CLIENT_LEFT = "client_left"
"""Logged outcome of a request whose client disconnected before the response."""
MILLISECONDS_PER_S = 1000.0
"""Milliseconds per second."""


class FinishedRequest(Struct, frozen=True):
    """How a request ended; ``outcome`` is ``None`` when its client disconnected.

    :param tenant: name of the tenant whose API key the request carried; empty if none.
    """

    request_id: bytes
    route: Route | None
    target: bytes
    version: int
    outcome: RequestOutcome | None
    elapsed_s: float
    missing_shards: Sequence[MissingShard] = field(default=())
    repeats: int = 0
    tenant: str = ""

    @property
    def outcome_name(self) -> str:
        """Return the outcome's tag."""
        return CLIENT_LEFT if self.outcome is None else type(self.outcome).__name__

    @property
    def detail(self) -> str:
        """Return why the gateway refused or failed the request; empty for other outcomes."""
        explained = NotRun | OverQuota | Unauthorized | NoAnswer | TimedOut | Invalid | UnknownRoute
        if isinstance(self.outcome, explained):
            return self.outcome.detail
        return ""


RequestObserver = Callable[[FinishedRequest], None]


def log_request(request: FinishedRequest) -> None:
    """Log a finished request."""
    fields: dict[str, LogValue] = {
        "request": request.request_id.decode("latin-1"),
        "route": request.route.name if request.route is not None else "",
        "version": request.version,
        "outcome": request.outcome_name,
        "status": status_of(request.outcome) if request.outcome is not None else 0,
        "elapsed_ms": round(request.elapsed_s * MILLISECONDS_PER_S, 1),
        "repeats": request.repeats,
    }
    if request.tenant:
        fields["tenant"] = request.tenant
    if request.route is None:
        fields["target"] = request.target.decode("latin-1")[:100]
    if request.detail:
        fields["detail"] = request.detail
    fields.update(_coverage_fields(request.outcome))
    fields.update(_missing_shard_fields(request.missing_shards))
    log_event("request", fields)


def log_coordinated(scatter: ScatterRequest, route: Route, end: ScatterEnd) -> None:
    """Log, on a coordinator, a finished scatter that another gateway delegated to it."""
    fields: dict[str, LogValue] = {
        "request": scatter.request_id.decode("latin-1"),
        "route": route.name,
        "version": end.configuration_version,
        "outcome": type(end.outcome).__name__,
        "elapsed_ms": round(end.elapsed_s * MILLISECONDS_PER_S, 1),
        "repeats": end.repeats,
    }
    fields.update(_coverage_fields(end.outcome))
    fields.update(_missing_shard_fields(end.missing_shards))
    log_event("coordinated", fields)


def log_coordinator_failed(request_id: bytes, coordinator: Address, problem: str) -> None:
    """Log, on the gateway that received a request, that a coordinator failed to serve it."""
    fields: dict[str, LogValue] = {
        "request": request_id.decode("latin-1"),
        "coordinator": str(coordinator),
        "detail": problem,
    }
    log_event("coordinator_failed", fields)


def log_call_lost(
    request_id: bytes, fingerprint: bytes, service: str, backend_id: str, detail: str
) -> None:
    """Log a call whose connection closed before the response.

    The fingerprint is the same for all attempts of one client, at any gateway.  If many back ends
    are lost under one fingerprint, the request crashes them; if the fingerprints differ, the back
    ends fail on their own.
    """
    fields: dict[str, LogValue] = {
        "request": request_id.decode("latin-1"),
        "fingerprint": fingerprint.hex(),
        "service": service,
        "backend": backend_id,
        "detail": detail,
    }
    log_event("call_lost", fields)


def _coverage_fields(outcome: RequestOutcome | None) -> dict[str, LogValue]:
    """Return how many shards a merged answer includes and lacks."""
    if not isinstance(outcome, Merged):
        return {}
    return {"included": len(outcome.stamps), "missing": outcome.missing}


def _missing_shard_fields(shards: Sequence[MissingShard]) -> dict[str, LogValue]:
    """Return the shards without an answer, and the count of each reason."""
    if not shards:
        return {}
    reasons = Counter(shard.problem for shard in shards)
    return {
        "missing_shards": " ".join(shard.service for shard in shards[:10]),
        "reasons": "; ".join(f"{count} x {reason}" for reason, count in reasons.items()),
    }
