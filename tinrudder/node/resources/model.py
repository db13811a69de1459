"""Owns the typed, immutable specifications of the resources that operators declare.

Field limits are part of the types, so decoding reports the field and the rule that it breaks.
Names ending in ``_ms`` are durations in milliseconds.
"""

from __future__ import annotations

import enum
import re
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_SHARDS_PER_VERSION = 4096
MAX_REPLICAS_PER_SHARD = 16
MAX_VERSIONS_PER_INDEX = 8
MAX_NAME_LENGTH = 100
"""Characters."""
NAME_PATTERN = r"^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$"

Name = Annotated[str, Meta(pattern=NAME_PATTERN, max_length=MAX_NAME_LENGTH)]
_name_matcher = re.compile(NAME_PATTERN.removesuffix("$") + r"\Z")
Milliseconds = Annotated[int, Meta(ge=1, le=600_000)]
Ratio = Annotated[float, Meta(ge=0.0, le=1.0)]


class Spec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of every specification: immutable; unknown fields are refused."""


class Credential(Spec, frozen=True, kw_only=True):
    """A caller's key: its public id and the SHA-256 of its secret, in hexadecimal."""

    key_id: Name
    secret_sha256: Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class TenantSpec(Spec, frozen=True, kw_only=True):
    """A tenant: its credentials and its limits.

    :param weight: relative share of contended back ends.
    """

    weight: Annotated[int, Meta(ge=1, le=1000)] = 1
    credentials: Annotated[tuple[Credential, ...], Meta(max_length=16)] = ()
    max_concurrent_queries: Annotated[int, Meta(ge=1, le=100_000)] = 256
    max_queued_calls: Annotated[int, Meta(ge=1, le=1_000_000)] = 8192
    max_buffered_bytes: Annotated[int, Meta(ge=1024)] = 64 * 1024 * 1024


class ServiceSpec(Spec, frozen=True, kw_only=True):
    """A service: a group of back ends and the tenants that may query it.

    :param coordinators: number of nodes that hold its back ends' slots; ``None`` for automatic
        selection (see docs/COORDINATORS.md).
    """

    region: Name
    tenants: Annotated[tuple[Name, ...], Meta(max_length=1000)]
    max_connections_per_backend: Annotated[int, Meta(ge=1, le=10_000)] = 70
    coordinators: Annotated[int, Meta(ge=1, le=1000)] | None = None


class BackendState(enum.StrEnum):
    """Administrative state of a back end; one that drains receives no new work."""

    ACTIVE = "active"
    DRAINING = "draining"


class BackendSpec(Spec, frozen=True, kw_only=True):
    """A back end: its address and the number of calls that it runs concurrently."""

    service: Name
    host: Annotated[str, Meta(min_length=2, max_length=45)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    zone: Name
    slots: Annotated[int, Meta(ge=1, le=10_000)]
    state: BackendState = BackendState.ACTIVE
    tls: bool = False


class ShardSpec(Spec, frozen=True, kw_only=True):
    """A shard of an index version and the back ends that hold a replica of it."""

    shard: Name
    owner: Name
    backends: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=MAX_REPLICAS_PER_SHARD)]


class IndexVersionSpec(Spec, frozen=True, kw_only=True):
    """A snapshot of an index: its version number and complete shard map."""

    version: Annotated[int, Meta(ge=1)]
    shards: Annotated[tuple[ShardSpec, ...], Meta(min_length=1, max_length=MAX_SHARDS_PER_VERSION)]


class IndexSpec(Spec, frozen=True, kw_only=True):
    """An index of a service; several versions may be served concurrently."""

    service: Name
    versions: Annotated[
        tuple[IndexVersionSpec, ...], Meta(min_length=1, max_length=MAX_VERSIONS_PER_INDEX)
    ]


class Preference(enum.StrEnum):
    """Whether a rule gives priority to latency or to coverage if it can't have both."""

    LATENCY = "latency"
    COVERAGE = "coverage"


class Priority(enum.StrEnum):
    """Priority classes within a tenant, most urgent first."""

    INTERACTIVE = "interactive"
    PLANNING = "planning"
    BATCH = "batch"


class QueryRuleSpec(Spec, frozen=True, kw_only=True):
    """How queries to one service are run.

    :param soft_deadline_ms: time after which a latency-first query returns once coverage suffices.
    :param hard_deadline_ms: time by which every query has its outcome.
    :param repeatable: ``False`` for operations that must run at most once.
    :param policies: policy names by role; see ``tinrudder.node.decisions.registry``.
    """

    service: Name
    priority: Priority = Priority.INTERACTIVE
    preference: Preference = Preference.LATENCY
    soft_deadline_ms: Milliseconds = 60
    hard_deadline_ms: Milliseconds = 99
    minimum_coverage: Ratio = 1.0
    repeatable: bool = True
    max_rows: Annotated[int, Meta(ge=1, le=10_000)] = 1000
    policies: dict[str, str] = {}


class Kind(enum.StrEnum):
    """The kinds of resources."""

    TENANT = "Tenant"
    SERVICE = "Service"
    BACKEND = "Backend"
    INDEX = "Index"
    QUERY_RULE = "QueryRule"


def is_valid_name(name: str) -> bool:
    """Return whether a name is valid for a resource.

    >>> is_valid_name("gate-1.seats"), is_valid_name("Gate"), is_valid_name("gate\\n")
    (True, False, False)
    """
    return len(name) <= MAX_NAME_LENGTH and _name_matcher.match(name) is not None


AnySpec = TenantSpec | ServiceSpec | BackendSpec | IndexSpec | QueryRuleSpec

SPEC_TYPES: dict[Kind, type[AnySpec]] = {
    Kind.TENANT: TenantSpec,
    Kind.SERVICE: ServiceSpec,
    Kind.BACKEND: BackendSpec,
    Kind.INDEX: IndexSpec,
    Kind.QUERY_RULE: QueryRuleSpec,
}
