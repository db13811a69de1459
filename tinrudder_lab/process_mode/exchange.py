"""One HTTP/1.1 request on a connection of its own, parsed by httptools.

A caller that goes away must close its connection, and none may be sent a request twice: a
pooling client promises neither.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import httptools

from tinrudder_lab.deployment import LOOPBACK

READ_BYTES = 65536


class ExchangeLostError(Exception):
    """No whole answer came."""


@dataclass(eq=False)
class HttpReply:
    """An answer while it is being read."""

    status: int = 0
    parts: list[bytes] = field(default_factory=list)
    complete: bool = False

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self.parts.append(body)

    def on_message_complete(self) -> None:
        """Note the end."""
        self.complete = True

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return b"".join(self.parts)


async def send_request(
    port: int, method: str, path: str, body: bytes = b"", authorization: str = ""
) -> HttpReply:
    """Send one request and read its answer; closes the connection however it ends.

    :raises ExchangeLostError: no connection, or it broke before the whole answer.
    """
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
    except OSError as error:
        raise ExchangeLostError(str(error)) from error
    try:
        writer.write(_head(method, path, len(body), authorization) + body)
        return await _read_reply(reader)
    except (OSError, httptools.HttpParserError) as error:
        raise ExchangeLostError(str(error)) from error
    finally:
        writer.close()


async def _read_reply(reader: asyncio.StreamReader) -> HttpReply:
    reply = HttpReply()
    parser = httptools.HttpResponseParser(reply)
    while not reply.complete:
        data = await reader.read(READ_BYTES)
        if not data:
            raise ExchangeLostError("closed before the whole answer")
        parser.feed_data(data)
    reply.status = parser.get_status_code()
    return reply


def _head(method: str, path: str, length: int, authorization: str) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {LOOPBACK}",
        "Connection: close",
        "Content-Type: application/json",
        f"Content-Length: {length}",
    ]
    if authorization:
        lines.append(f"Authorization: {authorization}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
