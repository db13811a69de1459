"""A stub back end over HTTP/1.1: the back-end model behind a small asyncio server.

``python -m tinrudder_lab.backend_server --host H --backend NAME:PORT:SLOTS ...`` hosts several
back ends in one process, each on its own port.  ``POST /control`` changes
fields of the behaviour.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal

import httptools
import msgspec

from tinrudder.node.backends.messages import (
    Answered,
    BackendReply,
    Draining,
    SearchRequest,
    Shed,
    VersionGone,
)
from tinrudder_lab.backend_model import BackendBehaviour, BackendModel, ModelCall
from tinrudder_lab.datasets import ShardStore

CONTROL_PATH = b"/control"
COUNTERS_PATH = b"/counters"
_decoder = msgspec.json.Decoder(SearchRequest)
_encoder = msgspec.json.Encoder()


class ControlMessage(msgspec.Struct, frozen=True):
    """A change of the back end's behaviour; fields that are ``None`` stay unchanged."""

    draining: bool | None = None
    slowdown: float | None = None
    versions: tuple[int, ...] | None = None


class RefusalBody(msgspec.Struct, frozen=True):
    """The reason why a call was not started."""

    reason: str
    versions: tuple[int, ...] = ()


class BackendProtocol(asyncio.Protocol):
    """One connection from a node."""

    def __init__(self, model: BackendModel) -> None:
        """Serve ``model``."""
        self._model = model
        self._transport: asyncio.Transport | None = None
        self._call: ModelCall | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the connection's call."""
        self._transport = None
        if self._call is not None:
            self._model.cancel(self._call)

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser; abort the connection on a parse error."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._transport is not None:
                self._transport.abort()

    def on_url(self, url: bytes) -> None:
        """Start a new request."""
        self._url = url
        self._body = []

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Handle a complete request."""
        body = b"".join(self._body)
        if self._url == CONTROL_PATH:
            self._control(msgspec.json.decode(body, type=ControlMessage))
            return
        if self._url == COUNTERS_PATH:
            self._write(200, _encoder.encode(self._model.counters))
            return
        try:
            request = _decoder.decode(body)
        except msgspec.MsgspecError as error:
            self._write(400, _encoder.encode(RefusalBody(str(error))))
            return
        self._call = self._model.receive(request, self._respond)

    def _control(self, message: ControlMessage) -> None:
        behaviour = self._model.behaviour
        if message.draining is not None:
            behaviour.draining = message.draining
        if message.slowdown is not None:
            behaviour.slowdown = message.slowdown
        if message.versions is not None:
            behaviour.versions = frozenset(message.versions)
        self._write(200, b"{}")

    def _respond(self, reply: BackendReply) -> None:
        match reply:
            case Answered(answer):
                self._write(200, _encoder.encode(answer))
            case Shed(retry_after):
                header = f"Retry-After: {retry_after}\r\n"
                self._write(503, _encoder.encode(RefusalBody("shed")), header)
            case Draining():
                self._write(503, _encoder.encode(RefusalBody("draining")))
            case VersionGone(versions):
                self._write(410, _encoder.encode(RefusalBody("version_gone", versions)))
            case _:
                self._write(500, b"{}")

    def _write(self, status: int, body: bytes, headers: str = "") -> None:
        if self._transport is None:
            return
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._transport.write(head.encode() + body)


async def serve_model(model: BackendModel, host: str, port: int) -> asyncio.Server:
    """Start a server for one model."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: BackendProtocol(model), host, port)


async def _main(arguments: argparse.Namespace) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    servers = []
    for text in arguments.backend:
        name, port, slots = text.split(":")
        behaviour = BackendBehaviour(slots=int(slots), service_median_s=arguments.service_ms / 1000)
        model = BackendModel(name, loop, random.Random(name), ShardStore(), behaviour)
        servers.append(await serve_model(model, arguments.host, int(port)))
    await stop.wait()
    for server in servers:
        server.close()


def main() -> None:
    """Run until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--service-ms", type=float, default=4.0)
    parser.add_argument("--backend", action="append", required=True, metavar="NAME:PORT:SLOTS")
    asyncio.run(_main(parser.parse_args()))


if __name__ == "__main__":
    main()
