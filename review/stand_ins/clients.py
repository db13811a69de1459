"""Stand-in for a client: one kept connection to a gateway, one request at a time."""

from __future__ import annotations

import asyncio
import contextlib
import os

from stand_ins.http1 import Headers, Message, encode, read_message
from stand_ins.record import Record

DEADLINE_S = 4.0


class Client:
    """Keeps a connection as long as the gateway lets it, and opens another one after that."""

    def __init__(self, record: Record, gateway: str, address: tuple[str, int]) -> None:
        """Send requests to the gateway at ``address``."""
        self._record = record
        self._gateway = gateway
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self, method: str, host: str, path: str, headers: Headers, body: bytes = b"", note: str = ""
    ) -> Message | None:
        """Send one request; return its answer, ``None`` if there was none."""
        request_id = os.urandom(8).hex()
        all_headers = [
            ("Host", host),
            ("Tinrudder-Request-Id", request_id),
            ("Tinrudder-Deadline-Ms", str(int(DEADLINE_S * 1000))),
            *headers,
        ]
        data = encode(f"{method} {path} HTTP/1.1", all_headers, body)
        try:
            reader, writer = await self._connection()
        except OSError:
            return None
        sent = self._record.note_sent(request_id, self._gateway, note)
        answer: Message | None = None
        with contextlib.suppress(asyncio.IncompleteReadError, OSError, TimeoutError):
            async with asyncio.timeout(DEADLINE_S + 1.0):
                writer.write(data)
                await writer.drain()
                answer = await read_message(reader)
        status = None if answer is None else int(answer.start_line.split(" ")[1])
        self._record.note_answered(sent, status)
        if answer is None or (answer.get("connection") or "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        return self._streams
