"""Memory and processor time of a node's configuration, by number of back ends.

``python -m bench.state_slopes`` builds configurations of the planned shape (services of 132 back
ends, one index of 130 shards with two replicas, two versions), applies each, and fits lines.
Memory is counted by tracemalloc; times are processor time of this process.
"""

from __future__ import annotations

import gc
import random
import sys
import time
import tracemalloc
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from bench.slopes import Slope, fit
from tinrudder.node.configuration_service.messages import RawResource, ResourceDocument
from tinrudder.node.decisions.backend_table import BackendTable
from tinrudder.node.resources.model import (
    BackendSpec,
    IndexSpec,
    IndexVersionSpec,
    Kind,
    QueryRuleSpec,
    ServiceSpec,
    ShardSpec,
    Spec,
    TenantSpec,
)
from tinrudder.node.resources.store import ConfigurationStore

BACKENDS_PER_SERVICE = 132
SHARDS_PER_INDEX = 130
VERSIONS_PER_INDEX = 2
TENANTS_PER_SERVICE = 10
SERVICE_COUNTS = (4, 9, 18, 35)
PLANNED_BACKENDS = 4600
DEFAULT_SLOTS = 5


@dataclass(frozen=True, slots=True)
class Point:
    """Measurements at one size: bytes, and seconds of processor time."""

    backends: int
    document_bytes: int
    compressed_bytes: int
    accepted_bytes: int
    table_bytes: int
    accept_s: float
    one_change_s: float


def _raw(kind: Kind, name: str, spec: Spec, generation: int = 1) -> RawResource:
    return RawResource(kind.value, name, generation, msgspec.Raw(msgspec.json.encode(spec)))


def build_document(services: int, revision: int, first_slots: int) -> ResourceDocument:
    """Return a document of ``services`` services; the first back end has ``first_slots``."""
    resources: list[RawResource] = []
    for number in range(services):
        resources += _service_resources(number)
    name = "service-0-backend-0"
    changed = _backend("service-0", 0, 0, first_slots)
    kept = [raw for raw in resources if raw.name != name]
    kept.append(_raw(Kind.BACKEND, name, changed, revision))
    return ResourceDocument(revision, tuple(kept))


def _service_resources(number: int) -> list[RawResource]:
    service = f"service-{number}"
    tenants = tuple(f"tenant-{number}-{position}" for position in range(TENANTS_PER_SERVICE))
    names = [f"{service}-backend-{position}" for position in range(BACKENDS_PER_SERVICE)]
    resources = [_raw(Kind.TENANT, tenant, TenantSpec()) for tenant in tenants]
    resources.append(_raw(Kind.SERVICE, service, ServiceSpec(region="region-0", tenants=tenants)))
    for position, name in enumerate(names):
        resources.append(
            _raw(Kind.BACKEND, name, _backend(service, number, position, DEFAULT_SLOTS))
        )
    resources.append(_raw(Kind.INDEX, f"{service}.index", _index(service, names)))
    resources.append(_raw(Kind.QUERY_RULE, service, QueryRuleSpec(service=service)))
    return resources


def _backend(service: str, number: int, position: int, slots: int) -> BackendSpec:
    return BackendSpec(
        service=service,
        host=f"10.{number}.0.{position + 1}",
        port=8000,
        zone=f"zone-{position % 7}",
        slots=slots,
    )


def _index(service: str, names: list[str]) -> IndexSpec:
    source = random.Random(service)
    versions = []
    for version in range(1, VERSIONS_PER_INDEX + 1):
        shards = tuple(
            ShardSpec(
                shard=f"s{number:04d}",
                owner=f"owner-{number % 10}",
                backends=tuple(source.sample(names, 2)),
            )
            for number in range(SHARDS_PER_INDEX)
        )
        versions.append(IndexVersionSpec(version=version, shards=shards))
    return IndexSpec(service=service, versions=tuple(versions))


def _traced(build: Callable[[], Any]) -> tuple[Any, int]:
    """Return the result of ``build`` and the bytes that stay allocated for it."""
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    return result, tracemalloc.get_traced_memory()[0] - before


def _timed(action: Callable[[], object]) -> float:
    started = time.process_time()
    action()
    return time.process_time() - started


def measure(services: int) -> Point:
    """Measure one size: times without tracing of memory, then memory."""
    encoded = msgspec.json.encode(build_document(services, 1, DEFAULT_SLOTS))
    changed = build_document(services, 2, DEFAULT_SLOTS + 1)
    document = msgspec.json.decode(encoded, type=ResourceDocument)
    store = ConfigurationStore()
    accept_s = _timed(lambda: store.merge_document(document))
    one_change_s = _timed(lambda: store.merge_document(changed))

    def accept() -> ConfigurationStore:
        fresh = ConfigurationStore()
        fresh.merge_document(msgspec.json.decode(encoded, type=ResourceDocument))
        return fresh

    tracemalloc.start()
    traced_store, accepted_bytes = _traced(accept)

    def fill_table() -> BackendTable:
        table = BackendTable()
        table.update(traced_store.current.backends)
        return table

    _, table_bytes = _traced(fill_table)
    tracemalloc.stop()
    return Point(
        services * BACKENDS_PER_SERVICE,
        len(encoded),
        len(zlib.compress(encoded)),
        accepted_bytes,
        table_bytes,
        accept_s,
        one_change_s,
    )


class SlopeReport(msgspec.Struct, frozen=True):
    """Fitted line of each measured quantity, and its value at the planned number of back ends."""

    lines: dict[str, Slope]
    at_plan: dict[str, float]


def main() -> int:
    """Measure every size and print points and lines."""
    points = [measure(services) for services in SERVICE_COUNTS]
    for point in points:
        print(point)
    units = [float(point.backends) for point in points]
    quantities = [name for name in Point.__slots__ if name != "backends"]
    lines = {name: fit(units, [float(getattr(p, name)) for p in points]) for name in quantities}
    at_plan = {name: round(line.at(PLANNED_BACKENDS), 4) for name, line in lines.items()}
    print(msgspec.json.encode(SlopeReport(lines, at_plan)).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
