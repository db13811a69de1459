"""Owns streamed queries: pages of one index version sent as newline-delimited JSON.

Backpressure: the next page is queried only after the transport has accepted the previous one, so
a stream holds one page in memory, whatever its length and however slowly the caller reads.
The last line states the outcome of the whole stream; if it is missing, the stream was truncated.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import msgspec
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from tinrudder.node.api.cursor import PagePosition
from tinrudder.node.api.disconnect import CallerGoneError, run_unless_disconnected
from tinrudder.node.api.outcome_mapping import OutcomeBody, body_of, headers_of, status_of
from tinrudder.node.api.problems import JSON
from tinrudder.node.outcomes import (
    Answer,
    Complete,
    Coverage,
    Failed,
    FailedReason,
    MayHaveRun,
    MayHaveRunReason,
    MissingShard,
    NotRun,
    Outcome,
    Partial,
)

NDJSON = "application/x-ndjson"
WRITE_TIMEOUT_S = 30.0
"""Seconds that one write may wait for a caller that doesn't read."""
HEADERS = [(b"content-type", NDJSON.encode()), (b"cache-control", b"no-store")]

RunPage = Callable[[PagePosition | None], Awaitable[Outcome]]
EncodeCursor = Callable[[PagePosition], str]
OutcomeObserver = Callable[[Outcome], None]

_encoder = msgspec.json.Encoder()


class RowLine(msgspec.Struct, frozen=True):
    """A line with one row."""

    row: msgspec.Raw


class EndLine(msgspec.Struct, frozen=True):
    """The last line: outcome, coverage and size of the whole stream."""

    end: OutcomeBody
    rows: int
    pages: int


@dataclass(slots=True)
class StreamCoverage:
    """Coverage over all pages: a shard is included only if every page includes it."""

    shards: dict[str, None] = field(default_factory=dict)
    missing: dict[str, MissingShard] = field(default_factory=dict)

    def add(self, coverage: Coverage) -> None:
        """Add one page; a shard missing from several pages keeps its first reason."""
        self.shards.update(dict.fromkeys(coverage.included))
        for missing_shard in coverage.missing:
            self.shards.setdefault(missing_shard.shard)
            self.missing.setdefault(missing_shard.shard, missing_shard)

    def total(self) -> Coverage:
        """Return the coverage of all pages added so far."""
        included = tuple(shard for shard in self.shards if shard not in self.missing)
        return Coverage(included, tuple(self.missing.values()))


class QueryStream(Response):
    """The HTTP response to one streamed query."""

    media_type = NDJSON

    def __init__(
        self,
        query_id: str,
        position: PagePosition | None,
        run_page: RunPage,
        encode_cursor: EncodeCursor,
        on_end: OutcomeObserver,
    ) -> None:
        """Start at ``position``; call ``on_end`` once with the outcome of the whole stream."""
        super().__init__()
        self._query_id = query_id
        self._position = position
        self._run_page = run_page
        self._encode_cursor = encode_cursor
        self._on_end = on_end
        self._coverage = StreamCoverage()
        self._rows = 0
        self._pages = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send pages until one is the last or fails, or the caller disconnects or stops reading."""
        try:
            outcome = await run_unless_disconnected(receive, self._send_all(send))
        except TimeoutError:
            outcome = MayHaveRun(MayHaveRunReason.CANCELLED, "the caller stopped reading")
        except (CallerGoneError, OSError):
            outcome = MayHaveRun(MayHaveRunReason.CANCELLED, "the caller went away")
        self._on_end(outcome)

    async def _send_all(self, send: Send) -> Outcome:
        """Send all pages and the last line; return the outcome of the whole stream."""
        outcome = await self._run_page(self._position)
        if not isinstance(outcome, Complete | Partial):
            await self._send_plain_response(send, outcome)
            return outcome
        await send({"type": "http.response.start", "status": 200, "headers": HEADERS})
        while isinstance(outcome, Complete | Partial):
            answer = outcome.answer
            await self._send_page(send, answer)
            if answer.next_after is None:
                break
            self._position = PagePosition(answer.version, answer.next_after)
            outcome = await self._run_page(self._position)
        total = self._stream_outcome(outcome)
        await _write(send, self._end_line(total), more=False)
        return total

    async def _send_plain_response(self, send: Send, outcome: Outcome) -> None:
        """Answer like a plain query if the first page failed."""
        content = _encoder.encode(body_of(self._query_id, outcome, None))
        response = Response(content, status_of(outcome), headers_of(outcome), JSON)
        start = {"status": response.status_code, "headers": response.raw_headers}
        await send({"type": "http.response.start", **start})
        await _write(send, content, more=False)

    async def _send_page(self, send: Send, answer: Answer) -> None:
        """Send the rows of one page."""
        self._coverage.add(answer.coverage)
        self._rows += len(answer.rows)
        self._pages += 1
        lines = _encoder.encode_lines([RowLine(msgspec.Raw(row.payload)) for row in answer.rows])
        if lines:
            await _write(send, lines, more=True)

    def _stream_outcome(self, last: Outcome) -> Outcome:
        """Return the outcome of the whole stream.

        A later page that fails makes the stream ``Failed``, even if that page did not run: rows
        of the pages before were sent.
        """
        coverage = self._coverage.total()
        match last:
            case Complete(answer) | Partial(answer):
                total_answer = replace(answer, rows=(), coverage=coverage)
                return Partial(total_answer) if coverage.missing else Complete(total_answer)
            case NotRun(reason, detail):
                text = f"page {self._pages + 1}: {reason.value}: {detail}"
                return Failed(FailedReason.STREAM_CUT, text, coverage)
            case MayHaveRun(may_reason, detail):
                text = f"page {self._pages + 1}: {may_reason.value}: {detail}"
                return Failed(FailedReason.STREAM_CUT, text, coverage)
            case Failed(failed_reason, detail):
                text = f"page {self._pages + 1}: {failed_reason.value}: {detail}"
                return Failed(FailedReason.STREAM_CUT, text, coverage)

    def _end_line(self, outcome: Outcome) -> bytes:
        """Encode the last line; a failed stream includes a cursor to resume from, if it has one."""
        cursor = None
        if isinstance(outcome, Failed) and self._position is not None:
            cursor = self._encode_cursor(self._position)
        body = body_of(self._query_id, outcome, cursor)
        return _encoder.encode(EndLine(body, self._rows, self._pages)) + b"\n"


async def _write(send: Send, content: bytes, *, more: bool) -> None:
    """Write to the transport and wait while its buffer is full.

    :raises TimeoutError: if the wait exceeds ``WRITE_TIMEOUT_S``.
    """
    async with asyncio.timeout(WRITE_TIMEOUT_S):
        await send({"type": "http.response.body", "body": content, "more_body": more})
