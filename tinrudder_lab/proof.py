"""``make proof``: runs all scenarios over many seeds and every planted defect, prints a summary.

For each scenario, the summary gives the number of runs and the seeds that broke a promise; for each
planted defect, the seeds in which the checker of its promise reported it.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Sequence
from statistics import median

import msgspec

from tinrudder_lab.jobs import MAX_WORKERS, Job, JobResult, run_jobs, save_results
from tinrudder_lab.plants import PLANTED_DEFECTS, PLANTED_DEFECTS_BY_NAME
from tinrudder_lab.scenarios import EVERYTHING_SEEDS, SCENARIOS

EVERYTHING = "everything"
PLANT_SEEDS = 3


class ScenarioSummary(msgspec.Struct, frozen=True):
    """One scenario over its seeds; latencies are medians, milliseconds.

    :param broken: for each seed with violations or an error, the promises or the error.
    :param queries_per_second: simulated queries per second of wall time on one core.
    """

    scenario: str
    seeds: int
    queries: int
    p50_ms: float
    p99_ms: float
    coverage_mean: float
    extra_load: float
    queries_per_second: float
    broken: dict[str, list[str]]


class PlantSummary(msgspec.Struct, frozen=True):
    """One planted defect and the seeds in which its checker reported it."""

    plant: str
    promise: str
    scenario: str
    tried: list[int]
    found: list[int]


class ProofSummary(msgspec.Struct, frozen=True):
    """The summary of the proof."""

    seconds: float
    runs: int
    violations: int
    scenarios: list[ScenarioSummary]
    plants: list[PlantSummary]


def proof_jobs(everything_seeds: int) -> list[Job]:
    """Return all jobs; long ones come first, so that no worker finishes late."""
    jobs = []
    for scenario in SCENARIOS:
        seeds = everything_seeds if scenario.name == EVERYTHING else scenario.proof_seeds
        jobs += [Job(scenario.name, seed) for seed in range(1, seeds + 1)]
    for plant in PLANTED_DEFECTS:
        jobs += [Job(plant.scenario, seed, plant=plant.name) for seed in range(1, PLANT_SEEDS + 1)]
    return jobs


def summarise(done: Sequence[JobResult], seconds: float) -> ProofSummary:
    """Return the summary of finished runs."""
    scenarios = []
    for scenario in SCENARIOS:
        runs = [one for one in done if one.job.scenario == scenario.name and not one.job.plant]
        if runs:
            scenarios.append(_summarise_scenario(scenario.name, runs))
    plants = [_summarise_plant(plant.name, done) for plant in PLANTED_DEFECTS]
    violations = sum(len(one.broken) for one in scenarios)
    return ProofSummary(round(seconds, 1), len(done), violations, scenarios, plants)


def _summarise_scenario(name: str, runs: Sequence[JobResult]) -> ScenarioSummary:
    results = [one.result for one in runs if one.result is not None]
    broken = {}
    for one in sorted(runs, key=lambda one: one.job.seed):
        promises = [one.error] if one.error else []
        if one.result is not None:
            promises = sorted({violation.promise.value for violation in one.result.violations})
        if promises:
            broken[str(one.job.seed)] = promises
    queries = sum(result.queries for result in results)
    return ScenarioSummary(
        name,
        len(runs),
        queries,
        round(median(result.p50_ms for result in results), 2),
        round(median(result.p99_ms for result in results), 2),
        round(median(result.coverage_mean for result in results), 5),
        round(median(result.extra_load for result in results), 5),
        round(queries / sum(one.seconds for one in runs), 1),
        broken,
    )


def _summarise_plant(name: str, done: Sequence[JobResult]) -> PlantSummary:
    plant = PLANTED_DEFECTS_BY_NAME[name]
    runs = sorted((one for one in done if one.job.plant == name), key=lambda one: one.job.seed)
    found = [
        one.job.seed
        for one in runs
        if one.result is not None
        and plant.promise in {violation.promise for violation in one.result.violations}
    ]
    tried = [one.job.seed for one in runs]
    return PlantSummary(name, plant.promise.value, plant.scenario, tried, found)


def print_summary(summary: ProofSummary) -> None:
    """Print the summary as Markdown tables."""
    print("| scenario | seeds | queries | p50 ms | p99 ms | coverage | extra load | broken |")
    print("|---|---|---|---|---|---|---|---|")
    for one in summary.scenarios:
        broken = "; ".join(f"{s}: {', '.join(p)}" for s, p in one.broken.items()) or "none"
        cells = (one.scenario, one.seeds, one.queries, one.p50_ms, one.p99_ms)
        more = (one.coverage_mean, one.extra_load, broken)
        print("| " + " | ".join(str(cell) for cell in (*cells, *more)) + " |")
    print()
    print("| plant | promise | scenario | found in seeds | of seeds |")
    print("|---|---|---|---|---|")
    for plant in summary.plants:
        row = (plant.plant, plant.promise, plant.scenario, plant.found, plant.tried)
        print("| " + " | ".join(str(cell) for cell in row) + " |")


def main() -> int:
    """Run the proof; return 1 if a promise was broken or a planted defect was not found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--everything-seeds", type=int, default=EVERYTHING_SEEDS)
    parser.add_argument("--workers", type=int, default=MAX_WORKERS)
    arguments = parser.parse_args()
    started = time.perf_counter()
    done = list(run_jobs(proof_jobs(arguments.everything_seeds), arguments.workers))
    summary = summarise(done, time.perf_counter() - started)
    save_results("proof-runs", [one.result for one in done if one.result is not None])
    print_summary(summary)
    print(msgspec.json.encode(summary).decode())
    missed = [plant.plant for plant in summary.plants if not plant.found]
    return 1 if summary.violations or missed else 0


if __name__ == "__main__":
    sys.exit(main())
