"""From an HTTP answer's status and body to its tagged reply; see docs/BACKENDS.md."""

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
"""Longest Retry-After, in seconds, that is taken for one; a longer or negative one is ignored."""


class Refusal(msgspec.Struct, frozen=True):
    """Body of a 503 or 410: why the back end did not start the call."""

    reason: str
    versions: tuple[int, ...] = ()


_answer_decoder = msgspec.json.Decoder(SearchAnswer)
_refusal_decoder = msgspec.json.Decoder(Refusal)


def decode_answer(call: BackendCall, body: bytes) -> BackendReply:
    """Return the reply of a 200."""
    try:
        answer = _answer_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Broken(f"unreadable answer: {error}")
    if answer.call_id != call.call_id:
        return Broken("answer to another call")
    return Answered(answer, len(body))


def decode_refusal(status: int, body: bytes, answer_head: bytes) -> BackendReply:
    """Return the reply of any other status.

    :param answer_head: the answer as it came, at least up to the end of its head.
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


class _HeaderReader:
    """Picks one header out of a head."""

    def __init__(self) -> None:
        self.retry_after: float | None = None

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == RETRY_AFTER_HEADER:
            self.retry_after = _seconds(value)


def read_retry_after(answer_head: bytes) -> float | None:
    """Return the seconds of a Retry-After header, ``None`` when there is no usable one.

    Only refusals pay for reading headers: the parser of the call path has no header callback.

    >>> read_retry_after(b"HTTP/1.1 503 X\\r\\nRetry-After: 0.05\\r\\nServer: b\\r\\n\\r\\n")
    0.05
    """
    reader = _HeaderReader()
    try:
        httptools.HttpResponseParser(reader).feed_data(answer_head)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return None
    return reader.retry_after


def _seconds(value: bytes) -> float | None:
    """Read a number of seconds; a date or an absurd value counts as absent."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0.0 <= seconds <= MAX_RETRY_AFTER_S else None
