"""Stand-in for a back end: slots, a short queue, rejections that say so, and its own signature."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from stand_ins.http1 import Headers, Message, encode, read_message
from stand_ins.record import Record


@dataclass(frozen=True)
class BackendSpec:
    """What a back end tells of itself in the store, and how it works."""

    backend_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int = 2
    queue: int = 8
    work_s: float = 0.01

    def entry(self) -> dict[str, object]:
        """Return the back end's entry in the store."""
        return {
            "service": self.service,
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        }


class Backend:
    """Serves one request at a time on each connection."""

    def __init__(self, spec: BackendSpec, record: Record) -> None:
        """Record every request that arrives.

        :ivar repeats_answer: tells for each answer whether the back end sends it a second time,
            late, in the place where the next answer of the connection is due.
        """
        self.spec = spec
        self.repeats_answer: Callable[[], bool] = lambda: False
        self._record = record
        self._in_hand = 0
        self._slots = asyncio.Semaphore(spec.slots)
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._serving: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, self.spec.host, self.spec.port)

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._serving:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        surplus: bytes | None = None
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
                while True:
                    request = await read_message(reader)
                    if surplus is not None:
                        # A surplus answer turns up late, in the place where the next one is due.
                        self._note_surplus(request)
                        writer.write(surplus)
                        await writer.drain()
                    answer = await self._answer(request, reader)
                    if answer is None:
                        return
                    surplus = answer if self.repeats_answer() else None
                    writer.write(answer)
                    await writer.drain()
        finally:
            self._serving.discard(task)
            writer.close()

    async def _answer(self, request: Message, reader: asyncio.StreamReader) -> bytes | None:
        """Reject a request, or queue it and run it; drop it if its connection closes meanwhile."""
        spec = self.spec
        request_id = request.get("tinrudder-request-id") or ""
        echo: Headers = [("Tinrudder-Request-Id", request_id)]
        if request.get("tinrudder-expect-instance") not in (None, spec.backend_id):
            self._note(request, ran=False, note="421")
            return encode("HTTP/1.1 421 Misdirected", [*echo, ("Tinrudder-Instance", "other")])
        if not request_id:
            self._note(request, ran=False, note="400")
            return encode("HTTP/1.1 400 No id", [("Tinrudder-Not-Run", "1")])
        if self._in_hand >= spec.slots + spec.queue:
            self._note(request, ran=False, note="503 full")
            return encode("HTTP/1.1 503 Full", [*echo, ("Tinrudder-Not-Run", "1")])
        self._in_hand += 1
        try:
            async with self._slots:
                if reader.at_eof() or reader.exception() is not None:
                    return None
                self._note(request, ran=True)
                await asyncio.sleep(spec.work_s)
        finally:
            self._in_hand -= 1
        stamp = f"{spec.backend_id}.{next(self._numbers)}"
        headers = [*echo, ("Tinrudder-Server-Stamp", stamp)]
        return encode("HTTP/1.1 200 OK", headers, stamp.encode())

    def _note_surplus(self, request: Message) -> None:
        due = request.get("tinrudder-request-id")
        text = f"{self.spec.backend_id} sends a surplus answer where that to {due} is due"
        self._record.note(text)

    def _note(self, request: Message, *, ran: bool, note: str = "") -> None:
        tenants = request.all("tinrudder-tenant")
        tenant = ",".join(tenants) if tenants else None
        request_id = request.get("tinrudder-request-id") or "(none)"
        self._record.note_arrival(
            request_id, self.spec.backend_id, ran=ran, tenant=tenant, note=note
        )
