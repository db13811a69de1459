"""How many coordinators should a service have?  One service, several ways, the same trace.

``python -m tinrudder_lab.coordinator_experiment`` prints a table, then one JSON line: for each
size of deployment, load and way the median over seeds of latency, refusals, the back ends'
queues, messages between nodes and connections.
"""

from __future__ import annotations

import argparse
import multiprocessing
import statistics
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from unittest import mock

import msgspec

from tinrudder.node.decisions import coordinator_set
from tinrudder.node.query.coordinator_sets import CoordinatorSets
from tinrudder.node.resources.model import BackendSpec, Kind, Preference, QueryRuleSpec, ServiceSpec
from tinrudder_lab.deployment import (
    ARENA_OWNERS,
    ARENA_REGION,
    ARENA_ZONES,
    PLATA_OWNERS,
    PLATA_REGION,
    PLATA_ZONES,
    Deployment,
    ServiceShape,
    add_service,
    add_tenant,
)
from tinrudder_lab.measures import coverage_of, latencies_ms, peak_calls, percentile
from tinrudder_lab.scenarios import Scenario
from tinrudder_lab.sim.run import simulate
from tinrudder_lab.sim.world import World
from tinrudder_lab.topology import FIRST_PORT, Stream, Topology, Zone

MEAN_SERVICE_S = 0.004 * 1.083
"""Mean of the stand-in's log-normal service time: the median times exp(0.4^2 / 2)."""

DURATION_S = 5.0
PROCESSES = 4
EVERY_NODE = 1000
MAX_CONNECTIONS = 1000
RULE = QueryRuleSpec(
    service="placeholder",
    preference=Preference.COVERAGE,
    soft_deadline_ms=300,
    hard_deadline_ms=300,
    minimum_coverage=0.5,
)


@dataclass(frozen=True, slots=True)
class Size:
    """One size of deployment with one service."""

    name: str
    region: str
    zones: tuple[str, ...]
    owners: tuple[str, ...]
    nodes_per_zone: int
    backends: int
    slots: int
    shards: int

    @property
    def capacity_qps(self) -> float:
        """Return the queries a second that fill every slot."""
        return self.backends * self.slots / MEAN_SERVICE_S / self.shards


SIZES = (
    Size("plata-today", PLATA_REGION, PLATA_ZONES, PLATA_OWNERS, 2, 2, 5, 16),
    Size("arena-today", ARENA_REGION, ARENA_ZONES, ARENA_OWNERS, 2, 2, 2, 16),
    Size("52-nodes-slots-5", PLATA_REGION, PLATA_ZONES, PLATA_OWNERS, 13, 26, 5, 130),
    Size("51-nodes-slots-2", ARENA_REGION, ARENA_ZONES, ARENA_OWNERS, 17, 26, 2, 130),
)


@dataclass(frozen=True, slots=True)
class Variant:
    """One way to share a back end's slots.

    :param coordinators: how many nodes send to it.
    :param calls_per_slot: calls in flight for one slot, over all coordinators.
    :param shares: ``False`` lets every coordinator use all slots: a tier without sets.
    """

    name: str
    coordinators: int
    calls_per_slot: int = 2
    shares: bool = True


VARIANTS = (
    Variant("1", 1),
    Variant("2", 2),
    Variant("5", 5),
    Variant("every node", EVERY_NODE),
    Variant("1, a call a slot", 1, calls_per_slot=1),
    Variant("2, a call a slot", 2, calls_per_slot=1),
    Variant("no sets", EVERY_NODE, calls_per_slot=1, shares=False),
)


class VariantResult(msgspec.Struct, frozen=True):
    """Medians over the seeds of one variant at one size and load.

    :param peak_calls: most calls at once in one back end, over its slots.
    :param relays_per_query: messages between nodes for one query, the answer not counted.
    :param connections: most connections open to one back end.
    """

    size: str
    load: float
    variant: str
    p50_ms: float
    p99_ms: float
    refused_share: float
    coverage_mean: float
    shed_share: float
    peak_calls: float
    relays_per_query: float
    connections: float


@dataclass(frozen=True, slots=True)
class Trial:
    """One run."""

    size: Size
    load: float
    variant: Variant
    seed: int


def topology_of(trial: Trial) -> Topology:
    """Return a size's topology with ``load`` times its capacity arriving."""
    size = trial.size
    shape = ServiceShape(
        "service",
        "stock",
        "tenant",
        1,
        size.backends,
        size.slots,
        MAX_CONNECTIONS,
        size.shards,
        RULE,
    )
    deployment = Deployment()
    add_tenant(deployment, shape.tenant)
    add_service(deployment, shape, shape.name, size.region, size.zones, size.owners, FIRST_PORT)
    spec = ServiceSpec(
        region=size.region,
        tenants=(shape.tenant,),
        max_connections_per_backend=MAX_CONNECTIONS,
        coordinators=trial.variant.coordinators,
    )
    deployment.replace(Kind.SERVICE, shape.name, spec)
    zones = tuple(Zone(zone, size.region) for zone in size.zones)
    topology = Topology(zones, size.nodes_per_zone, deployment)
    topology.streams = [Stream(deployment.query_kinds[0], size.capacity_qps * trial.load)]
    return topology


def run_one(trial: Trial) -> VariantResult:
    """Run once and measure."""
    size = trial.size
    topology = topology_of(trial)
    scenario = Scenario(size.name, size.name, lambda: topology, DURATION_S)
    with _wired(trial.variant):
        world = simulate(scenario, topology, trial.seed)
    latencies = latencies_ms(world.history)
    ended = world.history.ended.values()
    relayed = sum(host.node.entry.counters.relayed for host in world.hosts.values())
    received = sum(backend.model.counters.received for backend in world.backends.values())
    shed = sum(backend.model.counters.shed for backend in world.backends.values())
    covered = [coverage_of(query) for query in ended if query.included or query.missing]
    return VariantResult(
        size=size.name,
        load=trial.load,
        variant=trial.variant.name,
        p50_ms=round(percentile(latencies, 0.5), 2),
        p99_ms=round(percentile(latencies, 0.99), 2),
        refused_share=round(1 - len(latencies) / max(1, len(world.history.sent)), 5),
        coverage_mean=round(sum(covered) / max(1, len(covered)), 5),
        shed_share=round(shed / max(1, received), 5),
        peak_calls=round(peak_calls(world.history) / size.slots, 3),
        relays_per_query=round(relayed / max(1, len(world.history.sent)), 4),
        connections=_peak_connections(world),
    )


def _peak_connections(world: World) -> int:
    """Return the most connections that all nodes together hold to one back end."""
    held: dict[str, int] = {}
    for host in world.hosts.values():
        for backend, count in host.backends.connections.items():
            held[backend] = held.get(backend, 0) + count
    return max(held.values(), default=0)


@contextmanager
def _wired(variant: Variant) -> Iterator[None]:
    """Wire a variant in."""

    def all_slots(_sets: CoordinatorSets, _backend: str, spec: BackendSpec) -> float:
        return spec.slots

    def all_connections(_sets: CoordinatorSets, _backend: str, _spec: BackendSpec) -> int:
        return MAX_CONNECTIONS

    with ExitStack() as patches:
        headroom = mock.patch.object(coordinator_set, "SLOT_HEADROOM", variant.calls_per_slot)
        patches.enter_context(headroom)
        if not variant.shares:
            patches.enter_context(mock.patch.object(CoordinatorSets, "share", all_slots))
            patches.enter_context(
                mock.patch.object(CoordinatorSets, "connections", all_connections)
            )
        yield


def median_of(results: list[VariantResult]) -> VariantResult:
    """Return the median of every figure."""

    def median(read: Callable[[VariantResult], float]) -> float:
        return round(statistics.median(read(result) for result in results), 5)

    return msgspec.structs.replace(
        results[0],
        p50_ms=median(lambda r: r.p50_ms),
        p99_ms=median(lambda r: r.p99_ms),
        refused_share=median(lambda r: r.refused_share),
        coverage_mean=median(lambda r: r.coverage_mean),
        shed_share=median(lambda r: r.shed_share),
        peak_calls=median(lambda r: r.peak_calls),
        relays_per_query=median(lambda r: r.relays_per_query),
        connections=median(lambda r: r.connections),
    )


def print_row(result: VariantResult) -> None:
    """Print one line of the table."""
    print(
        f"{result.size:<18}{result.load:>5.2f}  {result.variant:<18}{result.p50_ms:>8.1f}"
        f"{result.p99_ms:>9.1f}{result.refused_share:>9.4f}{result.coverage_mean:>9.4f}"
        f"{result.shed_share:>8.4f}{result.peak_calls:>7.1f}{result.relays_per_query:>8.2f}"
        f"{result.connections:>7.0f}",
        flush=True,
    )


def main() -> None:
    """Run every variant at every size and load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--size", choices=[size.name for size in SIZES], action="append")
    parser.add_argument("--load", type=float, action="append")
    arguments = parser.parse_args()
    print(
        f"{'size':<18}{'load':>5}  {'coordinators':<18}{'p50 ms':>8}{'p99 ms':>9}{'refused':>9}"
        f"{'coverage':>9}{'shed':>8}{'peak':>7}{'relays':>8}{'conn':>7}"
    )
    sizes = [size for size in SIZES if arguments.size is None or size.name in arguments.size]
    trials = [
        Trial(size, load, variant, seed)
        for size in sizes
        for load in arguments.load or (0.3, 0.8)
        for variant in VARIANTS
        for seed in range(arguments.seeds)
    ]
    medians = []
    runs: list[VariantResult] = []
    with multiprocessing.Pool(PROCESSES) as pool:
        for run in pool.imap(run_one, trials):
            runs.append(run)
            if len(runs) == arguments.seeds:
                medians.append(median_of(runs))
                print_row(medians[-1])
                runs = []
    print(msgspec.json.encode(medians).decode())


if __name__ == "__main__":
    main()
