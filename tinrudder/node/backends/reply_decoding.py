"""Decodes the status, headers and body of an HTTP answer to a reply type.

Owns the mapping from HTTP to :data:`BackendReply`, which docs/BACKENDS.md describes.
"""

from __future__ import annotations

import httptools
import msgspec

from tinrudder.node.backends.messages import (
    Answered,
    BackendCall,
    BackendReply,
    Broken,
    Draining,
    SearchAnswer,
    Shed,
    VersionGone,
)

STATUS_OK = 200
STATUS_GONE = 410
STATUS_UNAVAILABLE = 503
REFUSAL_STATUSES = (STATUS_GONE, STATUS_UNAVAILABLE)
RETRY_AFTER_HEADER = b"retry-after"
DRAINING_REASON = "draining"
MAX_RETRY_AFTER_S = 3600.0
"""Longest accepted Retry-After, in seconds; a longer or negative one is ignored."""


class Refusal(msgspec.Struct, frozen=True):
    """Body of a 503 or 410: the reason why the back end did not start the call."""

    reason: str
    versions: tuple[int, ...] = ()


_answer_decoder = msgspec.json.Decoder(SearchAnswer)
_refusal_decoder = msgspec.json.Decoder(Refusal)


def decode_answer(call: BackendCall, body: bytes) -> BackendReply:
    """Return the reply for an answer with status 200."""
    try:
        answer = _answer_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Broken(f"unreadable answer: {error}")
    if answer.call_id != call.call_id:
        return Broken("answer to another call")
    return Answered(answer, len(body))


def decode_refusal(status: int, body: bytes, answer_head: bytes) -> BackendReply:
    """Return the reply for an answer with any other status.

    :param answer_head: raw bytes of the answer, at least up to the end of its headers.
    """
    if status not in REFUSAL_STATUSES:
        return Broken(f"status {status}")
    try:
        refusal = _refusal_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Broken(f"unreadable refusal: {error}")
    if status == STATUS_GONE:
        return VersionGone(refusal.versions)
    if refusal.reason == DRAINING_REASON:
        return Draining()
    return Shed(read_retry_after(answer_head))


class _RetryAfterReader:
    """Extracts the Retry-After header."""

    def __init__(self) -> None:
        self.retry_after: float | None = None

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == RETRY_AFTER_HEADER:
            self.retry_after = _parse_seconds(value)


def read_retry_after(answer_head: bytes) -> float | None:
    """Return the seconds of a Retry-After header, ``None`` without a usable one.

    Headers are parsed for refusals only: the connection's parser has no header callback, which
    saves its cost on every other answer.

    >>> read_retry_after(b"HTTP/1.1 503 X\\r\\nRetry-After: 0.05\\r\\nServer: b\\r\\n\\r\\n")
    0.05
    """
    reader = _RetryAfterReader()
    try:
        httptools.HttpResponseParser(reader).feed_data(answer_head)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return None
    return reader.retry_after


def _parse_seconds(value: bytes) -> float | None:
    """Parse a number of seconds; return ``None`` for a date or a value out of range."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0.0 <= seconds <= MAX_RETRY_AFTER_S else None
