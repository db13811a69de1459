"""A client of the emulated site: sends one request on one connection and reads the answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tinrudder.gateway.backends.answer_reader import AnswerReader, ReadState
from tinrudder_lab.emulator.ledger import Ledger
from tinrudder_lab.emulator.records import ClientResult, SentRequest

NO_ANSWER = 0


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request that a client sends.

    :param disconnects_after_s: the client closes its connection after this time, answered or not.
    :param key: API key of the tenant; if empty, the request carries no key.
    """

    request_id: str
    target: str
    host: str
    deadline_ms: int
    services: tuple[str, ...]
    method: str = "GET"
    body: bytes = b""
    repeatable: bool = True
    top_records: int = 0
    minimum_share: float = 0.0
    disconnects_after_s: float | None = None
    key: str = ""

    def encode(self) -> bytes:
        """Return the request as HTTP/1.1 bytes."""
        lines = [
            f"{self.method} {self.target} HTTP/1.1",
            f"Host: {self.host}",
            f"Tinrudder-Request-Id: {self.request_id}",
            f"Tinrudder-Deadline-Ms: {self.deadline_ms}",
        ]
        if self.key:
            lines.append(f"Authorization: Token {self.key}")
            lines.append("Tinrudder-Tenant: said-by-the-client")
        if self.body:
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


async def send_request(
    request: PlannedRequest, address: tuple[str, int], ledger: Ledger
) -> ClientResult:
    """Send one request and record its result in ``ledger``."""
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    ledger.sent[request.request_id] = SentRequest(request.key, sent_at, address[0])
    wait_s = request.deadline_ms / 1000
    if request.disconnects_after_s is not None:
        wait_s = min(wait_s, request.disconnects_after_s)
    reader = AnswerReader(body_expected=request.method != "HEAD")
    try:
        async with asyncio.timeout(wait_s):
            await _exchange(request, address, reader)
    except (OSError, TimeoutError):
        pass
    complete = reader.state is ReadState.COMPLETE
    answer = reader.answer
    result = ClientResult(
        request_id=request.request_id,
        target=request.target,
        sent_at=sent_at,
        ended_at=loop.time(),
        status=answer.status if complete else NO_ANSWER,
        headers={name.decode(): value.decode() for name, value in answer.headers},
        body=answer.body,
        repeatable=request.repeatable,
        services=request.services,
        top_records=request.top_records,
        minimum_share=request.minimum_share,
        disconnected_early=request.disconnects_after_s is not None,
        patience_s=wait_s,
    )
    ledger.results.append(result)
    return result


async def _exchange(
    request: PlannedRequest, address: tuple[str, int], reader: AnswerReader
) -> None:
    """Write the request and feed the reader until the answer is complete."""
    stream, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request.encode())
        while reader.state is ReadState.READING:
            data = await stream.read(65536)
            if not data:
                reader.end_of_stream()
                return
            reader.feed(data)
    finally:
        writer.close()
