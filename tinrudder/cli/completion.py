"""``tinrudder completion SHELL``: print a shell completion script."""

from __future__ import annotations

import argparse
from collections.abc import Callable

import shtab

from tinrudder.cli.exit_codes import ExitCode


def add_parser(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
    build_parser: Callable[[], argparse.ArgumentParser],
) -> None:
    """Register the subcommand; its script completes the parser from ``build_parser``."""
    parser = subparsers.add_parser("completion", help="print a completion script for a shell")
    parser.add_argument("shell", choices=shtab.SUPPORTED_SHELLS)

    def run(arguments: argparse.Namespace) -> int:
        print(shtab.complete(build_parser(), arguments.shell))
        return ExitCode.OK

    parser.set_defaults(run=run)
