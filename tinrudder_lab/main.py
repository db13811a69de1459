"""The command ``tinrudder-lab``: list, faults, run and soak."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from typing import TypeAlias

import msgspec

from tinrudder_lab.checkers.violation import Promise
from tinrudder_lab.experiment import run_scenario
from tinrudder_lab.plants import PLANTED_DEFECTS, PLANTED_DEFECTS_BY_NAME
from tinrudder_lab.scenarios import BY_NAME, SCENARIOS
from tinrudder_lab.soak.regressions import REGRESSIONS, RegressionSeed
from tinrudder_lab.soak.run import soak

EXIT_VIOLATIONS = 1


class ScenarioRow(msgspec.Struct, frozen=True):
    """One scenario in the output of ``list``."""

    what: str


class PlantRow(msgspec.Struct, frozen=True):
    """One planted defect in the output of ``faults``."""

    name: str
    promise: Promise
    scenario: str
    what: str


def main(arguments: list[str] | None = None) -> int:
    """Run one command; return 1 on violations."""
    parser = argparse.ArgumentParser(prog="tinrudder-lab", description=__doc__)
    commands = parser.add_subparsers(required=True)
    _add_list(commands)
    _add_run(commands)
    _add_soak(commands)
    parsed = parser.parse_args(arguments)
    code: int = parsed.run(parsed)
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
    running.add_argument("--plant", choices=sorted(PLANTED_DEFECTS_BY_NAME))
    running.add_argument("--json", action="store_true", help="the last line is JSON in any case")
    running.set_defaults(run=_run)


def _list(arguments: argparse.Namespace) -> int:
    if arguments.json:
        rows = {scenario.name: ScenarioRow(scenario.what) for scenario in SCENARIOS}
        print(msgspec.json.encode(rows).decode())
        return 0
    for scenario in SCENARIOS:
        print(f"{scenario.name:<20} {scenario.what}")
    return 0


def _faults(arguments: argparse.Namespace) -> int:
    rows = [
        PlantRow(plant.name, plant.promise, plant.scenario, plant.what) for plant in PLANTED_DEFECTS
    ]
    if arguments.json:
        print(msgspec.json.encode(rows).decode())
        return 0
    for row in rows:
        print(f"{row.name:<20} {row.promise:<20} {row.scenario:<20} {row.what}")
    return 0


def _run(arguments: argparse.Namespace) -> int:
    plant = PLANTED_DEFECTS_BY_NAME[arguments.plant] if arguments.plant else None
    result = run_scenario(BY_NAME[arguments.scenario], arguments.seed, plant)
    if not arguments.json:
        for violation in result.violations:
            print(f"VIOLATION {violation.promise}: {violation.detail}")
    print(msgspec.json.encode(result).decode())
    return EXIT_VIOLATIONS if result.violations else 0


def _add_soak(commands: Commands) -> None:
    soak_parser = commands.add_parser(
        "soak", help="run real gateways on loopback and inject random faults"
    )
    soak_parser.add_argument("--seed", type=int, default=1)
    soak_parser.add_argument("--seconds", type=float, default=30.0)
    soak_parser.add_argument("--gateways", type=int, default=3, help="number of gateway processes")
    soak_parser.add_argument("--folder", type=Path, help="folder for settings and logs")
    soak_parser.add_argument(
        "--no-restores",
        action="store_true",
        help="never restore the store from a copy (a restore also resets silent connections)",
    )
    soak_parser.add_argument(
        "--regressions", action="store_true", help="run all recorded regression seeds instead"
    )
    soak_parser.set_defaults(run=_soak)


def _soak(parsed: argparse.Namespace) -> int:
    folder = parsed.folder or Path(tempfile.mkdtemp(prefix="tinrudder-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    print(f"logs: {folder}", file=sys.stderr)
    cause = "given on the command line"
    from_arguments = RegressionSeed(
        parsed.seed,
        parsed.seconds,
        parsed.gateways,
        cause,
        poison=True,
        entries=True,
        slow=True,
        restores=not parsed.no_restores,
        silences=True,
        surroundings=True,
        stops=True,
    )
    runs = [from_arguments]
    if parsed.regressions:
        runs = [*REGRESSIONS]
    broken = False
    for one in runs:
        seed_folder = folder / str(one.seed)
        seed_folder.mkdir(exist_ok=True)
        soaking = soak(
            one.seed,
            one.seconds,
            seed_folder,
            one.gateways,
            poison=one.poison,
            entries=one.entries,
            slow=one.slow,
            restores=one.restores,
            silences=one.silences,
            surroundings=one.surroundings,
            stops=one.stops,
        )
        result = asyncio.run(soaking)
        print(msgspec.json.encode(result).decode(), flush=True)
        broken |= bool(result.broken)
    return EXIT_VIOLATIONS if broken else 0


if __name__ == "__main__":
    sys.exit(main())
