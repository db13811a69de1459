"""``tinrudder-lab``: list, run, compare, sweep, plot and faults."""

from __future__ import annotations

import argparse
import sys

import msgspec

from tinrudder_lab.experiment import DEFAULT_POLICY, run_scenario
from tinrudder_lab.scenarios import BY_NAME, SCENARIOS

EXIT_VIOLATIONS = 1


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
    running.add_argument("--plant", default=None)
    running.add_argument("--json", action="store_true")
    running.set_defaults(run=_run)
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
    result = run_scenario(scenario, arguments.seed, arguments.policy, arguments.plant)
    print(msgspec.json.encode(result).decode())
    return EXIT_VIOLATIONS if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
