"""One run of a scenario with real processes: start, strike, check, measure, end everything."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
from pathlib import Path

from tinrudder_lab.checkers.all import check_history
from tinrudder_lab.measures import Deployed, plain_result
from tinrudder_lab.process_mode.call_log import name_absent_nodes, read_calls
from tinrudder_lab.process_mode.cluster import CLOCK_SKEW_S, ProcessCluster
from tinrudder_lab.process_mode.faults import Step
from tinrudder_lab.process_mode.run import ProcessRun
from tinrudder_lab.process_mode.scenarios import PROCESS_BY_NAME, ProcessScenario
from tinrudder_lab.report import RunResult

PROCESS = "process"
PAGES = 2
IMPATIENT_SHARE = 0.05
VOTERS_READY_S = 0.8 + CLOCK_SKEW_S
SETTLE_S = 2.0
EXIT_TERMINATED = 143
SIM_ONLY = "runs in virtual time only (--mode sim)"


class ProcessModeError(Exception):
    """A scenario, policy or plant that process mode does not have, or a process that died."""


def run_process_scenario(name: str, seed: int, plant: str | None) -> RunResult:
    """Run a scenario once.

    :raises ProcessModeError: naming what process mode does not have.
    """
    scenario = PROCESS_BY_NAME.get(name)
    if scenario is None:
        raise ProcessModeError(
            f"{name} {SIM_ONLY}: process mode has {', '.join(PROCESS_BY_NAME)}; nothing here"
            " cuts the traffic between real processes or bends a stand-in's reports"
        )
    if plant is not None:
        raise ProcessModeError(f"planted defects: {SIM_ONLY}")
    # Without this a SIGTERM would leave the processes behind, some of them asleep.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    with tempfile.TemporaryDirectory(prefix="tinrudder-lab-") as directory:
        cluster = ProcessCluster(Path(directory), scenario.victims)
        try:
            run = asyncio.run(_run(scenario, cluster, seed))
        finally:
            cluster.processes.stop_all()
        run.history.calls = read_calls(cluster.call_logs, run.recorder.started_at)
    name_absent_nodes(run.history)
    return plain_result(
        scenario.name,
        seed,
        Deployed(PROCESS, len(cluster.nodes), len(cluster.deployment.backends)),
        run.history,
        run.sent_calls,
        check_history(run.history),
    )


async def _run(scenario: ProcessScenario, cluster: ProcessCluster, seed: int) -> ProcessRun:
    """Start, let callers ask while faults strike, wait for all outcomes, settle."""
    topology = cluster.topology
    topology.all_streams(scenario.rate, pages=PAGES, impatient=IMPATIENT_SHARE)
    topology.trespass()
    run = ProcessRun(cluster)
    following = asyncio.create_task(run.balancer.follow())
    await run.start()
    await asyncio.sleep(VOTERS_READY_S)
    for step in scenario.steps(random.Random(f"steps/{seed}")):
        run.spawn(_strike(run, step))
    await asyncio.gather(
        run.callers.query(scenario.duration_s, random.Random(f"trace/{seed}")),
        run.callers.purchase(
            scenario.duration_s, scenario.purchases, random.Random(f"purchases/{seed}")
        ),
    )
    await run.finish()
    await asyncio.sleep(SETTLE_S)
    run.history.finished_at = run.recorder.now()
    following.cancel()
    ended = cluster.processes.ended()
    if ended:
        raise ProcessModeError(f"ended without being told to: {', '.join(ended)}")
    return run


async def _strike(run: ProcessRun, step: Step) -> None:
    await asyncio.sleep(step.at)
    await step.fault(run)
