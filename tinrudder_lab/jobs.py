"""Executes many runs in parallel worker processes, prints progress and saves results."""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

import msgspec

from tinrudder_lab.experiment import LabError, run_scenario
from tinrudder_lab.plants import PLANTED_DEFECTS_BY_NAME
from tinrudder_lab.report import RunResult
from tinrudder_lab.scenarios import BY_NAME

MAX_WORKERS = 4
RESULTS = Path("results")


@dataclass(frozen=True, slots=True)
class Job:
    """One run to execute.

    :param plant: the planted defect, empty for none.
    """

    scenario: str
    seed: int
    plant: str = ""


@dataclass(frozen=True, slots=True)
class JobResult:
    """The outcome of a job.

    :param seconds: wall time; :param error: why there is no result, empty if there is one.
    """

    job: Job
    result: RunResult | None
    seconds: float
    error: str = ""


def run_job(job: Job) -> JobResult:
    """Run one job in this process."""
    started = time.perf_counter()
    scenario = BY_NAME[job.scenario]
    plant = PLANTED_DEFECTS_BY_NAME[job.plant] if job.plant else None
    try:
        result = run_scenario(scenario, job.seed, plant)
    except LabError as error:
        return JobResult(job, None, time.perf_counter() - started, str(error))
    return JobResult(job, result, time.perf_counter() - started)


def run_jobs(jobs: Sequence[Job], workers: int = MAX_WORKERS) -> Iterator[JobResult]:
    """Yield outcomes as jobs finish; print progress to standard error."""
    with ProcessPoolExecutor(max_workers=workers) as pool:
        futures = [pool.submit(run_job, job) for job in jobs]
        for number, future in enumerate(as_completed(futures), start=1):
            done = future.result()
            print(f"\r{number}/{len(jobs)} {done.job.scenario}   ", end="", file=sys.stderr)
            yield done
    print(file=sys.stderr)


def save_results(name: str, results: Sequence[RunResult]) -> Path:
    """Write results under ``results/``, which git ignores."""
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1))
    return path
