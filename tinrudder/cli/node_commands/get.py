"""``tinrudder get [KIND [NAME]]``: show resources with their status.

Owns the table row of a resource.
"""

from __future__ import annotations

import argparse
from urllib.parse import quote

from tinrudder.cli.exit_codes import ExitCode
from tinrudder.cli.node_commands.connection import NodeClient, add_node_flags, run_with_node
from tinrudder.cli.node_commands.output import add_output_flag, print_json, print_table, wants_json
from tinrudder.node.api.operators.resource_bodies import ResourceBody, ResourceListBody
from tinrudder.node.resources.model import Kind

HEADINGS = ("kind", "name", "generation", "accepted", "enforced", "message")


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("get", help="show resources with their status")
    parser.add_argument("kind", nargs="?", choices=[kind.value for kind in Kind])
    parser.add_argument("name", nargs="?")
    add_node_flags(parser)
    add_output_flag(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Show one resource, all of one kind, or all."""
    return run_with_node(arguments, _get)


def table_row(resource: ResourceBody) -> tuple[str, ...]:
    """Return a resource as a table row."""
    conditions = {condition.type: condition for condition in resource.conditions}
    accepted, enforced = conditions.get("Accepted"), conditions.get("Enforced")
    messages = [one.message for one in resource.conditions if not one.status and one.message]
    generation = f"{resource.accepted_generation}/{resource.observed_generation}"
    return (
        resource.kind,
        resource.name,
        generation,
        accepted.reason if accepted else "",
        enforced.message.partition(";")[0] if enforced else "",
        "; ".join(messages),
    )


async def _get(arguments: argparse.Namespace, client: NodeClient) -> ExitCode:
    if arguments.name is not None:
        path = f"/v1/resources/{arguments.kind}/{quote(arguments.name, safe='')}"
        resource = (await client.request("GET", path)).decode(ResourceBody)
        resources: tuple[ResourceBody, ...] = (resource,)
    else:
        path = "/v1/resources" + (f"?kind={arguments.kind}" if arguments.kind else "")
        resources = (await client.request("GET", path)).decode(ResourceListBody).resources
    if wants_json(arguments):
        print_json(resources[0] if arguments.name is not None else resources)
    else:
        print_table(HEADINGS, [table_row(resource) for resource in resources])
    return ExitCode.OK
