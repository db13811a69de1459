"""``tinrudder nodes``: show the revision that each node enforces and any problems of the platform.

Owns the text of this report.
"""

from __future__ import annotations

import argparse

from tinrudder.cli.exit_codes import ExitCode
from tinrudder.cli.node_commands.connection import NodeClient, add_node_flags, run_with_node
from tinrudder.cli.node_commands.output import add_output_flag, print_json, print_table, wants_json
from tinrudder.node.api.operators.resource_bodies import NodesBody


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("nodes", help="show nodes and the revisions they enforce")
    add_node_flags(parser)
    add_output_flag(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Show nodes and the platform's problems."""
    return run_with_node(arguments, _nodes)


async def _nodes(arguments: argparse.Namespace, client: NodeClient) -> ExitCode:
    body = (await client.request("GET", "/v1/resources/nodes")).decode(NodesBody)
    if wants_json(arguments):
        print_json(body)
        return ExitCode.OK
    rows = [(one.name, one.zone, one.status, str(one.revision)) for one in body.nodes]
    print_table(("node", "zone", "status", "revision"), rows)
    enforcement = body.enforcement
    counts = f"{enforcement.enforcing} of {enforcement.nodes}"
    print(f"revision {enforcement.revision} is enforced by {counts} nodes, says {body.answered_by}")
    for condition in body.platform:
        if not condition.status:
            print(f"{condition.type} does not hold: {condition.reason}: {condition.message}")
    return ExitCode.OK
