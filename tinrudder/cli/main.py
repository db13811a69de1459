"""The ``tinrudder`` command."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence

from tinrudder.cli import check_settings, completion, gateway, serve, story
from tinrudder.cli.exit_codes import ExitCode
from tinrudder.cli.node_commands import apply, diff, explain, get, nodes, query, validate, watch

SUBCOMMANDS = (
    serve,
    story,
    gateway,
    check_settings,
    validate,
    diff,
    apply,
    get,
    watch,
    nodes,
    query,
    explain,
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with every subcommand."""
    parser = argparse.ArgumentParser(prog="tinrudder", description=__doc__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    for subcommand in SUBCOMMANDS:
        subcommand.add_parser(subparsers)
    completion.add_parser(subparsers, build_parser)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run one subcommand and return its exit code."""
    arguments = build_parser().parse_args(argv)
    try:
        code: int = arguments.run(arguments)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output, such as head, has closed the pipe.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.OK
    return code


if __name__ == "__main__":
    sys.exit(main())
