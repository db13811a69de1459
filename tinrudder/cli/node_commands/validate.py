"""``tinrudder validate FILE``: validate resources, alone or with the configuration in force.

Owns the choice between validation at a node and in this process.
"""

from __future__ import annotations

import argparse
from pathlib import Path

import msgspec

from tinrudder.cli.exit_codes import CommandError, ExitCode
from tinrudder.cli.node_commands import connection
from tinrudder.cli.node_commands.connection import NodeClient, add_node_flags, run_reporting
from tinrudder.cli.node_commands.output import add_output_flag, print_json, print_table, wants_json
from tinrudder.cli.node_commands.resource_file import ResourceFile, load_resource_file
from tinrudder.node.api.operators.resource_bodies import ProblemBody, ValidationBody
from tinrudder.node.configuration_service.writer import ResourceBatch
from tinrudder.node.decisions.registry import policy_names_by_role
from tinrudder.node.resources.rules import PolicyNames
from tinrudder.node.resources.validation import DocumentRefusedError, problems_of


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "validate",
        help="validate a file of resources, with a node together with the configuration in force",
    )
    parser.add_argument("file", type=Path, help="TOML or JSON file of resources")
    add_node_flags(parser)
    add_output_flag(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Validate the file at a node if one is given, otherwise alone."""

    async def validate() -> ExitCode:
        file = load_resource_file(arguments.file)
        if not arguments.node_url:
            return _report(arguments, _validate_alone(file))
        client = connection.open_node_client(arguments)
        try:
            return _report(arguments, await validate_at_node(client, file.batch()))
        finally:
            await client.close()

    return run_reporting(arguments, validate)


async def validate_at_node(client: NodeClient, batch: ResourceBatch) -> ValidationBody:
    """Validate writes at a node, together with its configuration in force."""
    answer = await client.request("POST", "/v1/resources/validate", msgspec.json.encode(batch))
    return answer.decode(ValidationBody)


def _validate_alone(file: ResourceFile) -> ValidationBody:
    try:
        problems = problems_of(file.document(), PolicyNames(policy_names_by_role()))
    except DocumentRefusedError as error:
        raise CommandError(ExitCode.NEGATIVE, str(error)) from error
    bodies = tuple(ProblemBody(one.key.kind, one.key.name, one.text) for one in problems)
    return ValidationBody(not bodies, bodies)


def _report(arguments: argparse.Namespace, result: ValidationBody) -> ExitCode:
    if wants_json(arguments):
        print_json(result)
    elif result.valid:
        print(f"{arguments.file}: valid")
    else:
        rows = [(one.kind, one.name, one.problem) for one in result.problems]
        print_table(("kind", "name", "problem"), rows)
    return ExitCode.OK if result.valid else ExitCode.NEGATIVE
