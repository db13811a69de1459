"""``tinrudder query``: run one query as a tenant.

Owns the mapping from outcomes to exit codes.
"""

from __future__ import annotations

import argparse

import msgspec

from tinrudder.cli.exit_codes import CommandError, ExitCode
from tinrudder.cli.node_commands.connection import (
    DENIED_STATUSES,
    NodeClient,
    add_node_flags,
    run_with_node,
)
from tinrudder.cli.node_commands.output import add_output_flag, print_json, print_table, wants_json
from tinrudder.node.api.outcome_mapping import OutcomeBody
from tinrudder.node.api.query_body import DEFAULT_LIMIT, QueryBody

EXIT_CODES = {
    "complete": ExitCode.OK,
    "partial": ExitCode.QUERY_PARTIAL,
    "not_run": ExitCode.QUERY_NOT_RUN,
    "may_have_run": ExitCode.QUERY_MAY_HAVE_RUN,
    "failed": ExitCode.QUERY_FAILED,
}


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("query", help="run one query as a tenant")
    parser.add_argument("index")
    parser.add_argument("rule")
    parser.add_argument("--match", action="append", default=[], metavar="FIELD=VALUE")
    parser.add_argument("--order-by", default="time")
    parser.add_argument("--descending", action="store_true")
    parser.add_argument("--limit", type=int, default=DEFAULT_LIMIT)
    parser.add_argument("--deadline-ms", type=int)
    parser.add_argument("--cursor", help="cursor from a previous page")
    add_node_flags(parser)
    add_output_flag(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the query."""
    return run_with_node(arguments, _query)


def query_body(arguments: argparse.Namespace) -> QueryBody:
    """Build the query from the arguments.

    :raises CommandError: an argument is invalid; the message names it.
    """
    match = {}
    for entry in arguments.match:
        field, equals, value = entry.partition("=")
        if not field or not equals:
            raise CommandError(ExitCode.USAGE, f"--match: must be FIELD=VALUE, got {entry!r}")
        match[field] = value
    return QueryBody(
        arguments.index,
        arguments.rule,
        match,
        arguments.order_by,
        arguments.descending,
        arguments.limit,
        arguments.deadline_ms,
        arguments.cursor,
    )


async def _query(arguments: argparse.Namespace, client: NodeClient) -> ExitCode:
    content = msgspec.json.encode(query_body(arguments))
    answer = await client.request("POST", "/v1/query", content)
    if answer.status in DENIED_STATUSES:
        raise answer.error()
    body = answer.decode_any(OutcomeBody)
    if wants_json(arguments):
        print(answer.body.decode(), flush=True)
    else:
        _print(body)
    return EXIT_CODES.get(body.outcome, ExitCode.QUERY_FAILED)


def _print(body: OutcomeBody) -> None:
    rows = [msgspec.json.decode(row, type=dict[str, object]) for row in body.rows]
    if rows:
        headings = sorted({field for row in rows for field in row})
        print_table(headings, [[str(row.get(field, "")) for field in headings] for row in rows])
    print(f"{body.outcome} {body.reason} {body.detail}".strip() + f" (query {body.query_id})")
    if body.coverage is not None:
        print(f"coverage {body.coverage.ratio:.4f} of version {body.version}")
        for owner, coverage in sorted(body.coverage.missing_by_owner.items()):
            shards = ", ".join(f"{one.shard} ({one.reason})" for one in coverage.missing)
            print(f"missing of {owner}: {shards}")
    if body.cursor is not None:
        print_json({"cursor": body.cursor})
