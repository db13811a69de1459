"""``tinrudder apply FILE --wait``: write a file to the platform, then wait for every node.

Owns the sequence of validation, write and wait.  Nodes only read the platform, so the command
writes to the platform directly and polls a node for the result.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from pathlib import Path

import msgspec

from tinrudder.cli.exit_codes import CommandError, ExitCode
from tinrudder.cli.node_commands.connection import (
    NodeAnswer,
    NodeClient,
    add_node_flags,
    run_with_node,
)
from tinrudder.cli.node_commands.output import add_output_flag, print_json, print_table, wants_json
from tinrudder.cli.node_commands.resource_file import ResourceFile, load_resource_file
from tinrudder.cli.node_commands.validate import validate_at_node
from tinrudder.node.api.operators.resource_bodies import EnforcementBody, NodesBody, ResourceBody
from tinrudder.node.configuration_service.writer import (
    PlatformWriteError,
    PlatformWriter,
    ResourceWriter,
)
from tinrudder.node.resources.status import ConditionType

POLL_INTERVAL_S = 0.25
DEFAULT_TIMEOUT_S = 30.0


class ApplyResult(msgspec.Struct, frozen=True):
    """Result of an apply.

    :param refused: resources whose written generation was rejected, with the reason.
    """

    revision: int
    enforcement: EnforcementBody | None = None
    refused: tuple[str, ...] = ()


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("apply", help="write a file of resources to the platform")
    parser.add_argument("file", type=Path, help="TOML or JSON file of resources")
    parser.add_argument("--platform-url", required=True, help="base URL for writes to the platform")
    parser.add_argument("--wait", action="store_true", help="wait until every node enforces it")
    parser.add_argument("--timeout-s", type=float, default=DEFAULT_TIMEOUT_S)
    add_node_flags(parser)
    add_output_flag(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Validate the file at a node, write it and optionally wait for every node."""
    return run_with_node(arguments, _apply)


def open_writer(arguments: argparse.Namespace) -> ResourceWriter:
    """Return a writer for the platform's write address."""
    return PlatformWriter(arguments.platform_url)


async def _apply(arguments: argparse.Namespace, client: NodeClient) -> ExitCode:
    file = load_resource_file(arguments.file)
    validation = await validate_at_node(client, file.batch())
    if not validation.valid:
        lines = (f"{one.kind} {one.name}: {one.problem}" for one in validation.problems)
        raise CommandError(ExitCode.NEGATIVE, "nothing written: " + "; ".join(lines))
    revision = await _write(arguments, file)
    if not arguments.wait:
        return _report(arguments, ApplyResult(revision))
    enforcement = await _wait_until_enforced(client, revision, arguments.timeout_s)
    refused = await _rejected_resources(client, file) if enforcement.enforcing else ()
    return _report(arguments, ApplyResult(revision, enforcement, refused))


async def _write(arguments: argparse.Namespace, file: ResourceFile) -> int:
    writer = open_writer(arguments)
    try:
        return await writer.write(file.batch())
    except PlatformWriteError as error:
        raise CommandError(ExitCode.UNREACHABLE, str(error)) from error
    finally:
        await writer.close()


async def _wait_until_enforced(
    client: NodeClient, revision: int, timeout_s: float
) -> EnforcementBody:
    """Wait until every node enforces the revision or the timeout ends; return the last status."""
    deadline = time.monotonic() + timeout_s
    while True:
        answer = await client.request("GET", f"/v1/resources/nodes?revision={revision}")
        enforcement = answer.decode(NodesBody).enforcement
        is_everywhere = enforcement.nodes > 0 and enforcement.enforcing == enforcement.nodes
        if is_everywhere or time.monotonic() >= deadline:
            return enforcement
        await asyncio.sleep(POLL_INTERVAL_S)


async def _rejected_resources(client: NodeClient, file: ResourceFile) -> tuple[str, ...]:
    """Return the resources that were rejected after the write.

    Valid resources can be rejected if others were written in the meantime.
    """
    refused = []
    for resource in file.resources:
        path = f"/v1/resources/{resource.kind}/{resource.name}"
        answer: NodeAnswer = await client.request("GET", path)
        for condition in answer.decode(ResourceBody).conditions:
            if condition.type == ConditionType.ACCEPTED and not condition.status:
                refused.append(f"{resource.kind} {resource.name}: {condition.message}")
    return tuple(refused)


def _report(arguments: argparse.Namespace, result: ApplyResult) -> ExitCode:
    enforcement = result.enforcement
    if wants_json(arguments):
        print_json(result)
    elif enforcement is None:
        print(f"written at revision {result.revision}")
    else:
        counts = f"{enforcement.enforcing} of {enforcement.nodes}"
        lagging = ", ".join(enforcement.lagging) or "-"
        row = (str(result.revision), counts, lagging, "; ".join(result.refused) or "-")
        print_table(("revision", "nodes", "lagging", "refused"), [row])
    if enforcement is not None and enforcement.enforcing < enforcement.nodes:
        return ExitCode.LAGGING
    return ExitCode.NEGATIVE if result.refused else ExitCode.OK
