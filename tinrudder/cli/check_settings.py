"""``tinrudder check-settings``: validate a node's settings without starting it."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from tinrudder.cli.exit_codes import ExitCode
from tinrudder.node.settings import (
    SettingsError,
    add_settings_flags,
    load_settings,
    read_cluster_keys,
    settings_from_flags,
)


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Register the subcommand."""
    parser = subparsers.add_parser("check-settings", help="check a node's settings")
    parser.add_argument("--settings", type=Path, help="TOML settings file")
    add_settings_flags(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Validate the settings file and flags as ``serve`` would."""
    try:
        settings = load_settings(arguments.settings, settings_from_flags(arguments))
        read_cluster_keys(settings.cluster_key_file)
    except SettingsError as error:
        print(f"tinrudder check-settings: {error}", file=sys.stderr)
        return ExitCode.USAGE
    print(f"{settings.name}: settings are valid")
    return ExitCode.OK
