"""Reads and writes HTTP/1.1 messages whose bodies have a length."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

Headers = list[tuple[str, str]]


@dataclass
class Message:
    """One request or answer; header names are in lower case."""

    start_line: str
    headers: Headers
    body: bytes

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""
        return next((value for key, value in self.headers if key == name), None)

    def all(self, name: str) -> list[str]:
        """Return every value of a header."""
        return [value for key, value in self.headers if key == name]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message.

    :raises asyncio.IncompleteReadError: the connection ended before the message was complete.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers: Headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    message = Message(start_line, headers, b"")
    length = int(message.get("content-length") or 0)
    if length:
        message.body = await reader.readexactly(length)
    return message


def encode(start_line: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a message; its length is added."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
