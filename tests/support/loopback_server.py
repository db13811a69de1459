"""A stream server on loopback that leaves neither connections nor tasks behind."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable

from tinrudder.common.address import Address

HOST = "127.0.0.1"
StreamHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def loopback_server(
    handler: StreamHandler, tls: ssl.SSLContext | None = None
) -> AsyncIterator[Address]:
    """Serve connections on a free port; cancel the handlers and close the connections at the end.

    A stream writer that outlives its event loop raises an error when it is garbage-collected, in
    whichever test runs then.
    """
    tasks: set[asyncio.Task[None]] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            # asyncio's own callback of this task does not expect a cancellation.
            with contextlib.suppress(asyncio.CancelledError, EOFError, OSError):
                await handler(reader, writer)
        finally:
            tasks.discard(task)
            writer.close()

    server = await asyncio.start_server(serve, HOST, 0, ssl=tls)
    try:
        yield Address(*server.sockets[0].getsockname()[:2])
    finally:
        server.close()
        running = tuple(tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running)
