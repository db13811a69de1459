"""Back ends with canned responses, which depend only on the call id and the shards of a request.

``python -m bench.canned_backend --ports 20`` prints the ports it listens on and serves until its
standard input closes, so that it exits with the benchmark.
"""

from __future__ import annotations

import argparse
import asyncio
import sys

import msgspec

HOST = "127.0.0.1"
ANSWER_BYTES = 200
HEAD_END = b"\r\n\r\n"
LENGTH_HEADER = b"Content-Length: "
INDEX_VERSION = 1


class RequestFields(msgspec.Struct, frozen=True):
    """Request fields that the canned response depends on."""

    call_id: int
    shards: tuple[str, ...]


_decoder = msgspec.json.Decoder(RequestFields)


def response_body(call_id: int, shards: tuple[str, ...]) -> bytes:
    """Return a response body with one row per shard, padded to ``ANSWER_BYTES``.

    ``docs/BACKENDS.md`` describes the format.

    >>> len(response_body(7, ("s001",)))
    200
    """
    rows = ",".join(
        f'{{"shard":"{shard}","rows":[[{number}.5,"{shard}-0001",{{"amount":12}}]],"more":false}}'
        for number, shard in enumerate(shards)
    )
    load = '"load":{"in_flight":1,"slots":5}'
    body = f'{{"call_id":{call_id},"version":{INDEX_VERSION},"shards":[{rows}],{load}}}'
    return body.ljust(ANSWER_BYTES).encode()


def answer(body: bytes) -> bytes:
    """Return the complete HTTP response to a request body."""
    request = _decoder.decode(body)
    encoded_body = response_body(request.call_id, request.shards)
    head = (
        f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(encoded_body)}"
    )
    return head.encode() + HEAD_END + encoded_body


class CannedProtocol(asyncio.Protocol):
    """Server side of one connection from the measured client."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._transport: asyncio.Transport | None = None
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Respond to every complete request in the buffer."""
        self._buffer += data
        while True:
            head_end = self._buffer.find(HEAD_END)
            if head_end < 0:
                return
            body_start = head_end + len(HEAD_END)
            body_end = body_start + _content_length(self._buffer[:head_end])
            if len(self._buffer) < body_end:
                return
            body = self._buffer[body_start:body_end]
            self._buffer = self._buffer[body_end:]
            assert self._transport is not None
            self._transport.write(answer(body))


def _content_length(head: bytes) -> int:
    """Return the body length from a request's head; the header's case does not matter."""
    start = head.lower().index(LENGTH_HEADER.lower()) + len(LENGTH_HEADER)
    return int(head[start:].split(b"\r\n", 1)[0])


async def _serve(port_count: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(CannedProtocol, HOST, 0) for _ in range(port_count)]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    print(" ".join(map(str, ports)), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


def main() -> None:
    """Serve until standard input closes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ports", type=int, required=True)
    asyncio.run(_serve(parser.parse_args().ports))


if __name__ == "__main__":
    main()
