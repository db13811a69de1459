"""Configuration types of a gateway, independent of the operator's platform.

Owns the types alone.  An adapter (``tinrudder.platform``) builds and validates these values from
what the operator's platform stores.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import cache

from msgspec import Struct, field
from msgspec.structs import astuple

from tinrudder.common.address import Address


class WeightedService(Struct, frozen=True):
    """A service and its weight among the services of a route."""

    service: str
    weight: float = 1.0


class Route(Struct, frozen=True):
    """Assigns requests by host and path to services or shards, with their processing options.

    :param path_prefix: begins and ends with a slash.
    :param repeatable: whether a request may run more than once.
    :param timeout_s: maximum time that a request is held.
    :param objective_s: latency objective, within which an answer has its full value.
    :param attempts: maximum number of back ends that one request may be sent to, for each shard.
    :param priority: 0 is the most urgent.
    :param services: weighted services that requests are sent to; empty for a scatter.
    :param shards: the services that a scatter asks, each one a shard; empty otherwise.
    :param top_records: how many of the greatest records a scatter returns.
    :param minimum_share: minimum share of the shards that an answer must cover.
    :param public: whether requests are served without a key.
    """

    name: str
    host: str
    path_prefix: str
    repeatable: bool
    timeout_s: float
    objective_s: float
    attempts: int
    priority: int
    services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_records: int = 0
    minimum_share: float = 0.0
    public: bool = False


class Tenant(Struct, frozen=True):
    """A tenant that sends requests.

    :param key_digests: digests of its keys, see :mod:`tinrudder.gateway.requests.api_keys`.
    :param priority: overrides the priority of the route; ``None``: the route's priority applies.
    :param rate_per_s: requests a second that all gateways together admit; 0: unlimited.
    :param burst: requests on top of the rate.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class ServiceSpec(Struct, frozen=True):
    """Limits of a service's back ends.

    :param max_connections: connections that one back end accepts from all gateways together.
    :param cold_calls_per_s: calls a second that one can run while cold; 0: as many as when warm.
    """

    name: str
    max_connections: int
    cold_calls_per_s: float = 0.0


class ClientLimits(Struct, frozen=True):
    """Maximum sizes of a client's request, bytes, and its timeouts, seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class GatewayConfiguration(Struct, frozen=True):
    """One complete configuration.

    :param tenants: if there are any, requests must carry the key of one.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: ClientLimits = field(default_factory=ClientLimits)
    tenants: tuple[Tenant, ...] = ()


class BackendEntry(Struct, frozen=True):
    """A back end as it describes itself.

    :param backend_id: its id, which it may keep when it restarts.
    :param slots: requests that it runs concurrently.
    :param leaving: it has announced its shutdown and accepts no new requests.
    :param cold_left_s: remaining time of its cold start.
    :param started_ms: when its process started, Unix milliseconds; 0 if unknown.
    """

    backend_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool
    cold_left_s: float = 0.0
    started_ms: int = 0

    @property
    def incarnation_id(self) -> str:
        """Return an identity of this process of the back end; a restart may keep the id alone."""
        return f"{self.backend_id}@{self.started_ms}"

    def is_same_process(self, other: BackendEntry) -> bool:
        """Return whether both entries describe the same process, address and service."""
        return (self.started_ms, self.host, self.port, self.service) == (
            other.started_ms,
            other.host,
            other.port,
            other.service,
        )

    def started_before(self, other: BackendEntry) -> bool:
        """Return whether this process started before ``other``; false if its start is unknown."""
        return 0 < self.started_ms < other.started_ms


class HeaderNames(Struct, frozen=True):
    """Names of the headers used between clients, gateways and back ends, in lower case.

    :param request_id: set by the client, echoed by the back end.
    :param deadline_ms: time that the sender will wait, milliseconds.
    :param stamp: a back end's signature of its answer.
    :param expected_backend: id of the only back end that may run the request.
    :param load: running requests, waiting requests and slots of a back end.
    :param not_run: set by a back end that did not run the request.
    :param parts: signatures of the parts of a merged answer.
    :param missing_parts: number of shards that a merged answer lacks.
    :param tenant: name of the tenant for which a back end is called.
    """

    request_id: bytes
    deadline_ms: bytes
    stamp: bytes
    expected_backend: bytes
    load: bytes
    not_run: bytes
    parts: bytes
    missing_parts: bytes
    tenant: bytes

    @property
    def protected(self) -> frozenset[bytes]:
        """Return the headers that no ``Connection`` header can drop."""
        return _protected_headers(self)


@cache
def _protected_headers(names: HeaderNames) -> frozenset[bytes]:
    return frozenset((b"host", b"authorization", *astuple(names)))


class RepeatBounds(Struct, frozen=True):
    """Limit of retries and hedges that a service may get from all gateways together.

    :param ratio: maximum ratio of such calls to the requests for the service.
    :param extra: calls on top in every window.
    :param window_s: length of the sliding window, seconds.
    """

    ratio: float = 0.1
    extra: float = 10.0
    window_s: float = 10.0


class ColdBounds(Struct, frozen=True):
    """Limit of the calls that a cold back end may get from all gateways in any second.

    :param factor: multiple of its :attr:`ServiceSpec.cold_calls_per_s`.
    :param extra: calls on top.
    """

    factor: float = 1.0
    extra: float = 0.0

    def rate(self, cold_calls_per_s: float) -> float:
        """Return the maximum number of calls to a cold back end in any second."""
        return cold_calls_per_s * self.factor + self.extra


class QuotaBounds(Struct, frozen=True):
    """Margin by which all gateways together may exceed a tenant's limit in any window.

    :param window_s: length of the sliding window, seconds.
    :param excess: margin as a part of the limit.
    :param slack: requests on top of that.
    """

    window_s: float = 5.0
    excess: float = 0.25
    slack: float = 20.0


class GatewaySettings(Struct, frozen=True):
    """Settings of one gateway process.

    :param name: name of the machine.
    :param clients: listen address for clients.
    :param health: listen address for readiness checks.
    :param peers: listen address for other gateways, TCP and UDP; ``None``: it has no peers.
    :param seeds: peer addresses of some gateways; may be stale.
    :param store: address of the platform's metadata store.
    :param capacity: processor cores available to the process.
    :param memory_mb: memory available to the process, megabytes; ``None``: unknown.
    :param change_in_force_s: time from a change's confirmation until it must be in force.
    :param drain_s: how long a leaving back end still serves.
    :param stop_grace_s: time between the request to stop and the forced end.
    :param revocation_s: maximum time until a revoked key is rejected, even if this gateway is cut
        off from the store and its peers; ``None``: a revocation takes effect like any change.
    """

    name: str
    zone: str
    clients: Address
    health: Address
    peers: Address | None
    seeds: tuple[Address, ...]
    store: Address
    capacity: float = 1.0
    drain_s: float = 3.0
    stop_grace_s: float = 6.0
    repeats: RepeatBounds = field(default_factory=RepeatBounds)
    cold: ColdBounds = field(default_factory=ColdBounds)
    quotas: QuotaBounds = field(default_factory=QuotaBounds)
    revocation_s: float | None = None
    memory_mb: float | None = None
    change_in_force_s: float = 3.0


class SettingsFileError(Exception):
    """The settings are invalid; the message names the field and the rule."""
