"""``tinrudder-lab``: list, run, compare, sweep, plot and faults."""

from __future__ import annotations

import argparse
import sys

import msgspec

from tinrudder_lab.checkers.violation import Promise
from tinrudder_lab.experiment import run_scenario
from tinrudder_lab.plants import PLANTS, PLANTS_BY_NAME
from tinrudder_lab.policies import DEFAULT_POLICY
from tinrudder_lab.scenarios import BY_NAME, SCENARIOS

EXIT_VIOLATIONS = 1


class PlantRow(msgspec.Struct, frozen=True):
    """One planted defect as listed."""

    name: str
    promise: Promise
    scenario: str
    what: str


def main(arguments: list[str] | None = None) -> int:
    """Run one command; exit 1 on violations."""
    parser = argparse.ArgumentParser(prog="tinrudder-lab", description=__doc__)
    commands = parser.add_subparsers(required=True)
    listing = commands.add_parser("list", help="list the scenarios")
    listing.add_argument("--json", action="store_true")
    listing.set_defaults(run=_list)
    running = commands.add_parser("run", help="run one scenario")
    running.add_argument("scenario", choices=sorted(BY_NAME))
    running.add_argument("--seed", type=int, default=1)
    running.add_argument("--mode", choices=("sim", "process"), default="sim")
    running.add_argument("--policy", default=DEFAULT_POLICY)
    running.add_argument("--plant", choices=sorted(PLANTS_BY_NAME))
    running.add_argument("--alone", action="store_true", help="without baseline")
    running.add_argument("--json", action="store_true")
    running.set_defaults(run=_run)
    planted = commands.add_parser("faults", help="list the planted defects")
    planted.add_argument("--json", action="store_true")
    planted.set_defaults(run=_faults)
    parsed = parser.parse_args(arguments)
    code: int = parsed.run(parsed)
    return code


def _list(arguments: argparse.Namespace) -> int:
    if arguments.json:
        print(msgspec.json.encode({s.name: s.what for s in SCENARIOS}).decode())
        return 0
    for scenario in SCENARIOS:
        print(f"{scenario.name:<20} {scenario.what}")
    return 0


def _run(arguments: argparse.Namespace) -> int:
    scenario = BY_NAME[arguments.scenario]
    plant = PLANTS_BY_NAME[arguments.plant] if arguments.plant else None
    result = run_scenario(scenario, arguments.seed, arguments.policy, plant, alone=arguments.alone)
    print(msgspec.json.encode(result).decode())
    return EXIT_VIOLATIONS if result.violations else 0


def _faults(arguments: argparse.Namespace) -> int:
    rows = [PlantRow(plant.name, plant.promise, plant.scenario, plant.what) for plant in PLANTS]
    if arguments.json:
        print(msgspec.json.encode(rows).decode())
        return 0
    for row in rows:
        print(f"{row.name:<20} {row.promise:<20} {row.scenario:<16} {row.what}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
