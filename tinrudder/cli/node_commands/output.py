"""Output of commands: tables for people, JSON for scripts.

Owns the ``--output`` flag and both formats.
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence

import msgspec

OUTPUT_FORMATS = ("table", "json")


def add_output_flag(parser: argparse.ArgumentParser) -> None:
    """Add ``--output``."""
    parser.add_argument("--output", choices=OUTPUT_FORMATS, default="table")


def wants_json(arguments: argparse.Namespace) -> bool:
    """Return whether ``--output json`` was given."""
    return bool(arguments.output == "json")


def print_json(content: object) -> None:
    """Print a value as one line of JSON."""
    print(msgspec.json.encode(content).decode(), flush=True)


def format_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return aligned columns.

    >>> print(format_table(("name", "n"), [("a", "1"), ("longer", "22")]))
    name    n
    a       1
    longer  22
    """
    lines = [headings, *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
    formatted = (
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )
    return "\n".join(line.rstrip() for line in formatted)


def print_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print aligned columns."""
    print(format_table(headings, rows), flush=True)
