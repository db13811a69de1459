"""``tinrudder diff FILE``: show how a file differs from the configuration in force.

Owns the comparison of resources, field by field.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from pathlib import Path

import msgspec

from tinrudder.cli.exit_codes import ExitCode
from tinrudder.cli.node_commands.connection import NodeClient, add_node_flags, run_with_node
from tinrudder.cli.node_commands.output import add_output_flag, print_json, print_table, wants_json
from tinrudder.cli.node_commands.resource_file import FileResource, ResourceFile, load_resource_file
from tinrudder.node.api.operators.resource_bodies import ResourceBody, ResourceListBody
from tinrudder.node.resources.model import SPEC_TYPES, Kind

ABSENT = "-"


class Difference(msgspec.Struct, frozen=True):
    """One field that differs; values are JSON, ``-`` if absent."""

    kind: str
    name: str
    field: str
    in_force: str
    in_file: str


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("diff", help="compare a file with the configuration in force")
    parser.add_argument("file", type=Path, help="TOML or JSON file of resources")
    add_node_flags(parser)
    add_output_flag(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Compare the file with the configuration in force."""
    return run_with_node(arguments, _diff)


def find_differences(file: ResourceFile, in_force: ResourceListBody) -> list[Difference]:
    """Return the differences; resources that the file does not name are ignored."""
    in_force_by_name = {(one.kind, one.name): one for one in in_force.resources}
    found: list[Difference] = []
    for resource in file.resources:
        found.extend(_differences(resource, in_force_by_name.get((resource.kind, resource.name))))
    for name in file.delete:
        if (name.kind, name.name) in in_force_by_name:
            found.append(Difference(name.kind, name.name, "", "present", ABSENT))
    return found


async def _diff(arguments: argparse.Namespace, client: NodeClient) -> ExitCode:
    file = load_resource_file(arguments.file)
    answer = await client.request("GET", "/v1/resources")
    differences = find_differences(file, answer.decode(ResourceListBody))
    if wants_json(arguments):
        print_json(differences)
    elif differences:
        rows = [(d.kind, d.name, d.field, d.in_force, d.in_file) for d in differences]
        print_table(("kind", "name", "field", "in force", "in file"), rows)
    return ExitCode.NEGATIVE if differences else ExitCode.OK


def _differences(from_file: FileResource, in_force: ResourceBody | None) -> Iterator[Difference]:
    if in_force is None:
        yield Difference(from_file.kind, from_file.name, "", ABSENT, "present")
        return
    spec = msgspec.json.decode(in_force.spec) or {}
    before = dict(_leaves("", _with_defaults(from_file.kind, spec)))
    after = dict(_leaves("", _with_defaults(from_file.kind, from_file.spec)))
    for path in sorted(before.keys() | after.keys()):
        old, new = before.get(path, ABSENT), after.get(path, ABSENT)
        if old != new:
            yield Difference(from_file.kind, from_file.name, path, old, new)


def _with_defaults(kind: str, spec: dict[str, object]) -> object:
    """Return a spec with its defaults filled in, or unchanged if it is invalid for its kind."""
    try:
        typed = msgspec.convert(spec, SPEC_TYPES[Kind(kind)], strict=False)
    except (msgspec.MsgspecError, ValueError):
        return spec
    return msgspec.to_builtins(typed)


def _leaves(path: str, value: object) -> Iterator[tuple[str, str]]:
    """Yield every leaf with its path.

    >>> list(_leaves("", {"a": [1, {"b": "x"}]}))
    [('a[0]', '1'), ('a[1].b', '"x"')]
    """
    if isinstance(value, dict) and value:
        for key in sorted(value):
            yield from _leaves(f"{path}.{key}" if path else str(key), value[key])
    elif isinstance(value, list | tuple) and value:
        for number, item in enumerate(value):
            yield from _leaves(f"{path}[{number}]", item)
    else:
        yield path, msgspec.json.encode(value).decode()
