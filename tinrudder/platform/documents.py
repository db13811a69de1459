"""Decodes the platform's configuration and back-end entries into the product's values.

Owns the names of the platform's documents, which no other folder of the product uses. Fields with a
misleading name have a comment. Relies on the product's types and on its platform-independent rules
for entries and tenants.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from tinrudder.common.address import Address
from tinrudder.gateway.backends.entry_rules import check_entry
from tinrudder.gateway.model.configuration import (
    BackendEntry,
    ClientLimits,
    GatewayConfiguration,
    Route,
    ServiceSpec,
    WeightedService,
)
from tinrudder.gateway.requests.tenant_configuration import (
    TenantDocument,
    TenantsError,
    build_tenants,
)
from tinrudder.gateway.store.stored_values import (
    ConfigurationKey,
    EvacuationKey,
    OperatorKey,
    UnreadableValueError,
    UnusedKey,
)

BACKENDS_PREFIX = "servers/"
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
REPEATABLE_KIND = "safe"
MILLISECONDS_PER_S = 1000.0
"""Milliseconds per second: the platform's times are in milliseconds, the product's in seconds."""
UNREADABLE = (msgspec.MsgspecError, ValueError, RecursionError)
"""Errors that arbitrary bytes raise, including undecodable text and unlimited nesting."""

Milliseconds = Annotated[float, Meta(ge=0)]


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    # Requests may run more than once if this is REPEATABLE_KIND.
    kind: str
    # Maximum time from the arrival of a request to its answer.
    timeout_ms: Milliseconds
    # The latency objective. Later answers are of little use, but are not refused.
    goal_ms: Milliseconds
    # Maximum number of different back ends per shard for a request; does not limit calls.
    attempts: int = 1
    # 0 is the most urgent.
    priority: int = 0
    service: str = ""
    split: list[_Split] = []
    # The services that a scatter queries; each is a shard.
    gather: list[str] = []
    top_k: int = 0
    # The minimum share of shards for an answer, 0 to 1; unrelated to versions.
    oldest_version: float = 0.0
    public: bool = False


class _Tenant(TenantDocument, frozen=True):
    keys: tuple[str, ...] = msgspec.field(default=(), name="api_keys")


class _Service(msgspec.Struct):
    name: str
    # Maximum connections to each back end from all gateways together.
    max_conns: int = 1
    # Maximum calls per second to a cold back end from all gateways; 0: unlimited.
    cold_per_s: Annotated[float, Meta(ge=0)] = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: Milliseconds = 3000
    idle_timeout_ms: Milliseconds = 15_000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Backend(msgspec.Struct):
    service: str
    addr: str
    zone: str
    # Requests that it processes concurrently; others wait in its queue.
    slots: int
    state: Literal["ready", "draining"]
    cold_left_ms: Milliseconds = 0
    # Validated but unused: entries are ordered by the store's revision.
    seq: Annotated[int, Meta(ge=0)] = 0
    # Start time of its process, Unix milliseconds; distinguishes restarts under the same id. Back
    # ends with older software omit it.
    born: int = 0


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_backend_decoder = msgspec.json.Decoder(_Backend)


def decode_operator_key(key: str) -> OperatorKey:
    """Return the meaning of one of the operator's keys.

    An evacuation is expressed by its key alone; its value is not decoded.

    :raises UnreadableValueError: an evacuation that names no zone, or more than one.
    """
    if key == CONFIGURATION_KEY:
        return ConfigurationKey()
    if not key.startswith(EVACUATION_PREFIX):
        return UnusedKey()
    zone = key.removeprefix(EVACUATION_PREFIX)
    if not zone or "/" in zone:
        raise UnreadableValueError(f"{key}: one zone must follow {EVACUATION_PREFIX!r}")
    return EvacuationKey(zone)


def decode_configuration(value: bytes) -> GatewayConfiguration:
    """Decode a configuration.

    :raises UnreadableValueError: it does not match the format; the text names the field.
    """
    try:
        document = _configuration_decoder.decode(value)
    except UNREADABLE as error:
        raise UnreadableValueError(f"{CONFIGURATION_KEY}: {error}") from error
    services = {
        spec.name: ServiceSpec(spec.name, spec.max_conns, spec.cold_per_s)
        for spec in document.services
    }
    limits = ClientLimits(
        max_header_bytes=document.limits.max_header_bytes,
        max_body_bytes=document.limits.max_body_bytes,
        header_timeout_s=document.limits.header_timeout_ms / MILLISECONDS_PER_S,
        idle_timeout_s=document.limits.idle_timeout_ms / MILLISECONDS_PER_S,
    )
    routes = tuple(_route(route) for route in document.routes)
    try:
        tenants = build_tenants(document.tenants)
    except TenantsError as error:
        raise UnreadableValueError(f"{CONFIGURATION_KEY}: {error}") from error
    return GatewayConfiguration(document.version, routes, services, limits, tenants)


def _route(document: _Route) -> Route:
    """Convert one route."""
    services = tuple(WeightedService(part.service, part.weight) for part in document.split)
    if document.service:
        services = (WeightedService(document.service),)
    return Route(
        name=document.name,
        host=document.host.lower(),
        path_prefix=document.path_prefix,
        repeatable=document.kind == REPEATABLE_KIND,
        timeout_s=document.timeout_ms / MILLISECONDS_PER_S,
        objective_s=document.goal_ms / MILLISECONDS_PER_S,
        attempts=document.attempts,
        priority=document.priority,
        services=services,
        shards=tuple(document.gather),
        top_records=document.top_k,
        minimum_share=document.oldest_version,
        public=document.public,
    )


def decode_backend(key: str, value: bytes) -> BackendEntry:
    """Decode a back end's entry.

    :raises UnreadableValueError: it does not match the format; the text names the field.
    """
    try:
        document = _backend_decoder.decode(value)
        address = Address.parse(document.addr)
        entry = BackendEntry(
            backend_id=key.removeprefix(BACKENDS_PREFIX),
            service=document.service,
            host=address.host,
            port=address.port,
            zone=document.zone,
            slots=document.slots,
            leaving=document.state == "draining",
            cold_left_s=document.cold_left_ms / MILLISECONDS_PER_S,
            started_ms=document.born,
        )
        check_entry(entry, len(value))
    except UNREADABLE as error:
        raise UnreadableValueError(f"{key}: {error}") from error
    return entry
