"""The connection between commands and a node: flags, credential, typed errors.

Owns the node client and the conversion of errors to exit codes.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import ssl
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from tinrudder.cli.exit_codes import CommandError, ExitCode
from tinrudder.node.api.operators.resource_bodies import ErrorBody

NODE_URL_VARIABLE = "TINRUDDER_NODE_URL"
CREDENTIAL_VARIABLE = "TINRUDDER_CREDENTIAL"
REQUEST_TIMEOUT_S = 10.0
WATCH_READ_TIMEOUT_S = 60.0
DENIED_STATUSES = (401, 403)
NOT_FOUND = 404
OK = 200

Message = TypeVar("Message")


@dataclass(frozen=True, slots=True)
class NodeAnswer:
    """Status and body of a node's answer."""

    status: int
    body: bytes

    def decode(self, message_type: type[Message]) -> Message:
        """Return the body of a successful answer.

        :raises CommandError: the node answered with an error, or the body cannot be decoded.
        """
        if self.status != OK:
            raise self.error()
        return self.decode_any(message_type)

    def decode_any(self, message_type: type[Message]) -> Message:
        """Return the body, whatever the status.

        :raises CommandError: the body cannot be decoded.
        """
        try:
            return msgspec.json.decode(self.body, type=message_type)
        except msgspec.MsgspecError as error:
            raise CommandError(ExitCode.UNREACHABLE, f"unreadable answer: {error}") from error

    def error(self) -> CommandError:
        """Return the answer as an error with its exit code."""
        try:
            error_body = msgspec.json.decode(self.body, type=ErrorBody)
            text = f"{error_body.error}: {error_body.detail}"
        except msgspec.MsgspecError:
            text = self.body.decode(errors="replace")[:300] or "empty response body"
        codes = {NOT_FOUND: ExitCode.NOT_FOUND}
        codes.update(dict.fromkeys(DENIED_STATUSES, ExitCode.DENIED))
        return CommandError(codes.get(self.status, ExitCode.USAGE), f"status {self.status}: {text}")


class NodeClient(Protocol):
    """Sends a command's requests to a node."""

    async def request(self, method: str, path: str, body: bytes = b"") -> NodeAnswer:
        """Return the answer to one request.

        :raises CommandError: the node cannot be reached.
        """

    def lines(self, path: str) -> AsyncIterator[bytes]:
        """Yield the lines of a stream."""

    async def close(self) -> None:
        """Close connections."""


class HttpNodeClient:
    """The :class:`NodeClient` over HTTP."""

    def __init__(self, url: str, credential: str, authority: str) -> None:
        """Connect to ``url``; ``authority`` is a PEM file that verifies its certificate."""
        self._url = url.rstrip("/")
        self._headers = {"Content-Type": "application/json"}
        if credential:
            self._headers["Authorization"] = f"Bearer {credential}"
        self._tls = ssl.create_default_context(cafile=authority) if authority else None
        self._client = aiosonic.HTTPClient()

    async def request(self, method: str, path: str, body: bytes = b"") -> NodeAnswer:
        """Return the answer to one request."""
        try:
            response = await self._send(method, path, body, REQUEST_TIMEOUT_S)
            return NodeAnswer(response.status_code, await response.content())
        except (OSError, EOFError, AiosonicError) as error:
            raise self._unreachable(error) from error

    async def lines(self, path: str) -> AsyncIterator[bytes]:
        """Yield the lines of a stream until it ends."""
        try:
            response = await self._send("GET", path, b"", WATCH_READ_TIMEOUT_S)
            if response.status_code != OK:
                raise NodeAnswer(response.status_code, await response.content()).error()
            partial_line = b""
            async for chunk in response.read_chunks():
                *complete_lines, partial_line = (partial_line + chunk).split(b"\n")
                for line in complete_lines:
                    yield line
        except (OSError, EOFError, AiosonicError) as error:
            raise self._unreachable(error) from error

    async def close(self) -> None:
        """Close connections."""
        await self._client.aclose()

    async def _send(
        self, method: str, path: str, body: bytes, read_timeout_s: float
    ) -> aiosonic.HttpResponse:
        timeouts = Timeouts(sock_read=read_timeout_s, request_timeout=None)
        return await self._client.request(
            self._url + path,
            method,
            headers=self._headers,
            data=body or None,
            ssl=self._tls,
            timeouts=timeouts,
        )

    def _unreachable(self, error: Exception) -> CommandError:
        return CommandError(ExitCode.UNREACHABLE, f"{self._url}: {error!r}")


NodeCommand = Callable[[argparse.Namespace, NodeClient], Awaitable[ExitCode]]


def add_node_flags(parser: argparse.ArgumentParser) -> None:
    """Add the flags that select a node and authenticate to it."""
    parser.add_argument(
        "--node-url",
        default=os.environ.get(NODE_URL_VARIABLE, ""),
        help=f"a node's URL for callers, e.g. http://127.0.0.1:8080; default: ${NODE_URL_VARIABLE}",
    )
    parser.add_argument(
        "--credential",
        default=os.environ.get(CREDENTIAL_VARIABLE, ""),
        help=f"KEY_ID.SECRET of an operator or a tenant; preferably in ${CREDENTIAL_VARIABLE}",
    )
    parser.add_argument("--authority", default="", help="PEM file that verifies the node")


def open_node_client(arguments: argparse.Namespace) -> NodeClient:
    """Return a client for the node selected by the flags.

    :raises CommandError: no node is given, or the authority cannot be read.
    """
    if not arguments.node_url:
        text = f"--node-url: needed, as flag or as ${NODE_URL_VARIABLE}"
        raise CommandError(ExitCode.USAGE, text)
    try:
        return HttpNodeClient(arguments.node_url, arguments.credential, arguments.authority)
    except (OSError, ssl.SSLError) as error:
        raise CommandError(ExitCode.USAGE, f"--authority: {error}") from error


def run_with_node(arguments: argparse.Namespace, command: NodeCommand) -> int:
    """Run a command against a node; print its error and return its exit code."""

    async def run_command() -> ExitCode:
        client = open_node_client(arguments)
        try:
            return await command(arguments, client)
        finally:
            await client.close()

    return run_reporting(arguments, run_command)


def run_reporting(arguments: argparse.Namespace, command: Callable[[], Awaitable[ExitCode]]) -> int:
    """Run a command; print its error and return its exit code."""

    async def run_awaitable() -> ExitCode:
        return await command()

    try:
        return int(asyncio.run(run_awaitable()))
    except CommandError as error:
        print(f"tinrudder {arguments.command}: {error}", file=sys.stderr)
        return int(error.code)
    except KeyboardInterrupt:
        return int(ExitCode.OK)
    except BrokenPipeError:
        # The reader closed the pipe; redirect stdout so that Python's flush at exit does not fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(ExitCode.OK)
