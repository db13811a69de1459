"""Builds and encodes the client's answer for a request's outcome.

Owns no state.  :func:`tinrudder.gateway.model.outcomes.status_of` maps outcomes to statuses.
"""

from __future__ import annotations

from tinrudder.gateway.model.configuration import HeaderNames
from tinrudder.gateway.model.http_messages import Header, end_to_end_headers
from tinrudder.gateway.model.outcomes import (
    REASONS,
    FinalAnswer,
    Merged,
    NotRun,
    OverQuota,
    Relayed,
    RequestOutcome,
    status_of,
)

RETRY_AFTER = b"retry-after"
STATUSES_WITHOUT_BODY = (204, 304)
"""No Content and Not Modified, sent here without a Content-Length (RFC 9110)."""


def build_answer(
    outcome: RequestOutcome, names: HeaderNames, request_id: bytes | None
) -> FinalAnswer:
    """Return the answer for ``outcome``."""
    status = status_of(outcome)
    if isinstance(outcome, Relayed):
        answer = outcome.answer
        relayed = end_to_end_headers(answer.headers, names.protected)
        return FinalAnswer(status, answer.reason, relayed, answer.body)
    headers: list[Header] = []
    body = b""
    if request_id is not None:
        headers.append((names.request_id, request_id))
    if isinstance(outcome, Merged):
        body = outcome.body
        headers.append((names.parts, b", ".join(outcome.stamps)))
        if outcome.missing:
            headers.append((names.missing_parts, str(outcome.missing).encode()))
    elif isinstance(outcome, NotRun | OverQuota):
        headers.append((RETRY_AFTER, f"{outcome.retry_after_s:.3f}".encode()))
    return FinalAnswer(status, REASONS.get(status, b"Error"), tuple(headers), body)


def encode_answer(answer: FinalAnswer, *, close: bool, head_only: bool) -> bytes:
    """Return the encoded answer.

    :param head_only: the request was a HEAD, whose answer has no body.
    """
    lines = [b"HTTP/1.1 %d %b" % (answer.status, answer.reason)]
    lines.extend(b"%b: %b" % header for header in answer.headers)
    if answer.status not in STATUSES_WITHOUT_BODY:
        lines.append(b"Content-Length: %d" % len(answer.body))
    if close:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if head_only else head + answer.body
