"""``tinrudder-lab``: list, run, compare, sweep, plot and faults."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from typing import TypeAlias

import msgspec

from tinrudder_lab.checkers.violation import Promise
from tinrudder_lab.compare import compare_results
from tinrudder_lab.experiment import run_scenario, simulate_with_policy
from tinrudder_lab.jobs import Job, load_results, run_jobs, save_results
from tinrudder_lab.plants import PLANTS, PLANTS_BY_NAME
from tinrudder_lab.plot import plot_worlds
from tinrudder_lab.policies import BASELINE_POLICY, DEFAULT_POLICY, UnknownPolicyError
from tinrudder_lab.process_mode.experiment import (
    PROCESS,
    ProcessModeError,
    run_process_scenario,
)
from tinrudder_lab.process_mode.scenarios import PROCESS_BY_NAME
from tinrudder_lab.report import RunResult
from tinrudder_lab.scenarios import BY_NAME, SCENARIOS, Scenario
from tinrudder_lab.soak.regressions import REGRESSIONS, RegressionSeed
from tinrudder_lab.soak.run import soak
from tinrudder_lab.topology import PARAMETERS

EXIT_VIOLATIONS = 1
EXIT_USAGE = 2
DEFAULT_SEEDS = 5
SIM = "sim"


class ScenarioRow(msgspec.Struct, frozen=True):
    """One scenario as listed, and the modes it has."""

    what: str
    modes: tuple[str, ...]


class PlantRow(msgspec.Struct, frozen=True):
    """One planted defect as listed."""

    name: str
    promise: Promise
    scenario: str
    what: str


class SweepRow(msgspec.Struct, frozen=True):
    """One value of a swept parameter."""

    value: float
    results: tuple[RunResult, ...]


def main(arguments: list[str] | None = None) -> int:
    """Run one command; exit 1 on violations, 2 on wrong usage."""
    parser = argparse.ArgumentParser(prog="tinrudder-lab", description=__doc__)
    commands = parser.add_subparsers(required=True)
    _add_list(commands)
    _add_run(commands)
    _add_compare(commands)
    _add_sweep(commands)
    _add_plot(commands)
    _add_soak(commands)
    parsed = parser.parse_args(arguments)
    try:
        code: int = parsed.run(parsed)
    except (UnknownPolicyError, ProcessModeError) as error:
        print(f"tinrudder-lab: {error}", file=sys.stderr)
        return EXIT_USAGE
    return code


Commands: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def _add_list(commands: Commands) -> None:
    listing = commands.add_parser("list", help="list the scenarios")
    listing.add_argument("--json", action="store_true")
    listing.set_defaults(run=_list)
    planted = commands.add_parser("faults", help="list the planted defects")
    planted.add_argument("--json", action="store_true")
    planted.set_defaults(run=_faults)


def _add_run(commands: Commands) -> None:
    running = commands.add_parser("run", help="run one scenario")
    running.add_argument("scenario", choices=sorted(BY_NAME))
    running.add_argument("--seed", type=int, default=1)
    running.add_argument("--mode", choices=(SIM, PROCESS), default=SIM)
    running.add_argument("--policy", default=DEFAULT_POLICY)
    running.add_argument("--plant", choices=sorted(PLANTS_BY_NAME))
    running.add_argument("--alone", action="store_true", help="without baseline")
    running.add_argument("--json", action="store_true", help="the last line is JSON in any case")
    running.set_defaults(run=_run)


def _add_compare(commands: Commands) -> None:
    comparing = commands.add_parser("compare", help="compare two policies, or two saved results")
    comparing.add_argument("first", help="a policy, or a file of results")
    comparing.add_argument("second", help="a policy, or a file of results")
    comparing.add_argument("--scenario", choices=sorted(BY_NAME), default="straggler")
    comparing.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    comparing.set_defaults(run=_compare)


def _add_sweep(commands: Commands) -> None:
    sweeping = commands.add_parser("sweep", help="run a scenario over values of one parameter")
    sweeping.add_argument("scenario", choices=sorted(BY_NAME))
    sweeping.add_argument("--parameter", choices=PARAMETERS, required=True)
    sweeping.add_argument("--values", type=float, nargs="+", required=True)
    sweeping.add_argument("--seeds", type=int, default=1)
    sweeping.add_argument("--policy", default=DEFAULT_POLICY)
    sweeping.set_defaults(run=_sweep)


def _add_plot(commands: Commands) -> None:
    plotting = commands.add_parser("plot", help="draw a scenario under a policy and the baseline")
    plotting.add_argument("scenario", choices=sorted(BY_NAME))
    plotting.add_argument("--seed", type=int, default=1)
    plotting.add_argument("--policy", default=DEFAULT_POLICY)
    plotting.add_argument("--output", type=Path, required=True, metavar="FILE.png")
    plotting.set_defaults(run=_plot)


def _list(arguments: argparse.Namespace) -> int:
    if arguments.json:
        print(msgspec.json.encode({s.name: _row(s) for s in SCENARIOS}).decode())
        return 0
    for scenario in SCENARIOS:
        modes = ",".join(_row(scenario).modes)
        print(f"{scenario.name:<20} {modes:<12} {scenario.what}")
    return 0


def _row(scenario: Scenario) -> ScenarioRow:
    modes = (SIM, PROCESS) if scenario.name in PROCESS_BY_NAME else (SIM,)
    return ScenarioRow(scenario.what, modes)


def _faults(arguments: argparse.Namespace) -> int:
    rows = [PlantRow(plant.name, plant.promise, plant.scenario, plant.what) for plant in PLANTS]
    if arguments.json:
        print(msgspec.json.encode(rows).decode())
        return 0
    for row in rows:
        print(f"{row.name:<20} {row.promise:<20} {row.scenario:<20} {row.what}")
    return 0


def _run(arguments: argparse.Namespace) -> int:
    if arguments.mode == PROCESS:
        result = run_process_scenario(
            arguments.scenario, arguments.seed, arguments.policy, arguments.plant
        )
    else:
        scenario = BY_NAME[arguments.scenario]
        plant = PLANTS_BY_NAME[arguments.plant] if arguments.plant else None
        result = run_scenario(
            scenario, arguments.seed, arguments.policy, plant, alone=arguments.alone
        )
    if not arguments.json:
        for violation in result.violations:
            print(f"VIOLATION {violation.promise}: {violation.detail}")
    print(msgspec.json.encode(result).decode())
    return EXIT_VIOLATIONS if result.violations else 0


def _compare(arguments: argparse.Namespace) -> int:
    sides = []
    for name in (arguments.first, arguments.second):
        if name.endswith(".json"):
            sides.append(load_results(Path(name)))
            continue
        jobs = [Job(arguments.scenario, seed, name) for seed in range(1, arguments.seeds + 1)]
        results = [done.result for done in run_jobs(jobs) if done.result is not None]
        save_results(f"{arguments.scenario}-{name}".replace("=", "-"), results)
        sides.append(results)
    rows = compare_results(*sides)
    print(
        f"{'metric':<16}{arguments.first[-16:]:>18}{arguments.second[-16:]:>18}  difference [95%]"
    )
    for row in rows:
        interval = f"{row.difference:+.4f} [{row.low:+.4f}, {row.high:+.4f}]"
        print(f"{row.metric:<16}{row.first:>18.4f}{row.second:>18.4f}  {interval}")
    print(msgspec.json.encode(rows).decode())
    return 0


def _sweep(arguments: argparse.Namespace) -> int:
    jobs = [
        Job(arguments.scenario, seed, arguments.policy, "", True, arguments.parameter, value)
        for value in arguments.values
        for seed in range(1, arguments.seeds + 1)
    ]
    done = [one for one in run_jobs(jobs) if one.result is not None]
    rows = []
    for value in arguments.values:
        of_value = sorted((d for d in done if d.job.value == value), key=lambda d: d.job.seed)
        results = tuple(one.result for one in of_value if one.result is not None)
        rows.append(SweepRow(value, results))
        for result in results:
            figures = f"p50 {result.p50_ms:.1f} ms  p99 {result.p99_ms:.1f} ms"
            load = f"extra load {result.extra_load:.4f}  refused {result.refused}"
            print(f"{arguments.parameter} {value:g}  seed {result.seed}  {figures}  {load}")
    print(msgspec.json.encode(rows).decode())
    return EXIT_VIOLATIONS if any(r.violations for row in rows for r in row.results) else 0


def _plot(arguments: argparse.Namespace) -> int:
    scenario = BY_NAME[arguments.scenario]
    policies = (arguments.policy, BASELINE_POLICY)
    worlds = {
        policy: simulate_with_policy(scenario, scenario.topology, arguments.seed, policy)
        for policy in policies
    }
    plot_worlds(f"{scenario.name}, seed {arguments.seed}", worlds, arguments.output)
    print(arguments.output)
    return 0


def _add_soak(commands: Commands) -> None:
    soak_parser = commands.add_parser("soak", help="real gateways on loopback, faults at random")
    soak_parser.add_argument("--seed", type=int, default=1)
    soak_parser.add_argument("--seconds", type=float, default=30.0)
    soak_parser.add_argument("--gateways", type=int, default=3, help="processes to run")
    soak_parser.add_argument("--folder", type=Path, help="for settings and logs")
    soak_parser.add_argument(
        "--regressions", action="store_true", help="run every seed that ever failed instead"
    )
    soak_parser.set_defaults(run=_soak)


def _soak(parsed: argparse.Namespace) -> int:
    folder = parsed.folder or Path(tempfile.mkdtemp(prefix="tinrudder-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    print(f"logs: {folder}", file=sys.stderr)
    cause = "given on the command line"
    given = RegressionSeed(
        parsed.seed,
        parsed.seconds,
        parsed.gateways,
        cause,
        poison=True,
        entries=True,
        slow=True,
    )
    runs = [given]
    if parsed.regressions:
        runs = [*REGRESSIONS]
    broken = False
    for one in runs:
        of_seed = folder / str(one.seed)
        of_seed.mkdir(exist_ok=True)
        soaking = soak(
            one.seed,
            one.seconds,
            of_seed,
            one.gateways,
            poison=one.poison,
            entries=one.entries,
            slow=one.slow,
        )
        result = asyncio.run(soaking)
        print(msgspec.json.encode(result).decode(), flush=True)
        broken |= bool(result.broken)
    return EXIT_VIOLATIONS if broken else 0


if __name__ == "__main__":
    sys.exit(main())
