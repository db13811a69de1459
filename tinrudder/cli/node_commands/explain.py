"""``tinrudder explain QUERY-ID``: show how a finished query was run.

Owns the text of an explanation.
"""

from __future__ import annotations

import argparse
from urllib.parse import quote

from tinrudder.cli.exit_codes import ExitCode
from tinrudder.cli.node_commands.connection import NodeClient, add_node_flags, run_with_node
from tinrudder.cli.node_commands.output import add_output_flag, print_json, print_table, wants_json
from tinrudder.node.query.explanations.explain import CallExplanation, QueryExplanation

HEADINGS = ("shard", "owner", "sent to", "hedges", "waited ms", "candidates", "missing")


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("explain", help="explain how a finished query was run")
    parser.add_argument("query_id")
    add_node_flags(parser)
    add_output_flag(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Show the explanation."""
    return run_with_node(arguments, _explain)


async def _explain(arguments: argparse.Namespace, client: NodeClient) -> ExitCode:
    answer = await client.request("GET", f"/v1/explain/{quote(arguments.query_id, safe='')}")
    explanation = answer.decode(QueryExplanation)
    if wants_json(arguments):
        print_json(explanation)
        return ExitCode.OK
    print(f"query {explanation.query_id} of {explanation.tenant} at {explanation.node}")
    print(f"{explanation.outcome} {explanation.reason}".strip() + f", {explanation.elapsed_ms} ms")
    print(f"{explanation.index} version {explanation.version} by rule {explanation.rule}")
    print(f"replicas chosen by {explanation.choice}")
    print_table(HEADINGS, [_row(shard) for shard in explanation.shards])
    return ExitCode.OK


def _row(call: CallExplanation) -> tuple[str, ...]:
    waited = "-" if call.waited_ms is None else f"{call.waited_ms:.2f}"
    backends = ", ".join(call.backends) or "-"
    candidates = ", ".join(call.candidates)
    missing = call.missing or "-"
    return (call.shard, call.owner, backends, str(call.hedges), waited, candidates, missing)
