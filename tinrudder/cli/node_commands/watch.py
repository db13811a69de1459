"""``tinrudder watch``: print changes of resources until the node ends the stream.

Owns the text of an event.
"""

from __future__ import annotations

import argparse

import msgspec

from tinrudder.cli.exit_codes import CommandError, ExitCode
from tinrudder.cli.node_commands.connection import NodeClient, add_node_flags, run_with_node
from tinrudder.cli.node_commands.get import table_row
from tinrudder.cli.node_commands.output import add_output_flag, wants_json
from tinrudder.node.api.operators.resource_watch import WatchEvent
from tinrudder.node.resources.model import Kind


def add_parser(subparsers: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("watch", help="follow resources as they change")
    parser.add_argument("kind", nargs="?", choices=[kind.value for kind in Kind])
    parser.add_argument("--from-revision", type=int, default=0, help="resume after this revision")
    add_node_flags(parser)
    add_output_flag(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Print events until the node ends the stream."""
    return run_with_node(arguments, _watch)


def format_event(event: WatchEvent) -> str:
    """Format an event as one line of text."""
    if event.resource is not None:
        return f"{event.revision}  changed  " + "  ".join(table_row(event.resource))
    if event.enforcement is not None:
        lagging = ", ".join(event.enforcement.lagging)
        counts = f"{event.enforcement.enforcing} of {event.enforcement.nodes} nodes"
        return f"{event.revision}  enforced by {counts}" + (
            f"; lagging: {lagging}" if lagging else ""
        )
    return f"{event.revision}  {event.type}  {event.kind}  {event.name}".rstrip()


async def _watch(arguments: argparse.Namespace, client: NodeClient) -> ExitCode:
    path = f"/v1/resources/watch?from_revision={arguments.from_revision}"
    if arguments.kind:
        path += f"&kind={arguments.kind}"
    revision = arguments.from_revision
    async for line in client.lines(path):
        event = msgspec.json.decode(line, type=WatchEvent)
        revision = event.revision
        if wants_json(arguments):
            print(line.decode(), flush=True)
        elif event.type != "bookmark":
            print(format_event(event), flush=True)
    text = f"the node ended the watch; resume with --from-revision {revision} at another one"
    raise CommandError(ExitCode.UNREACHABLE, text)
