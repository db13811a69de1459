"""Owns reading a caller's body within a size limit and a timeout."""

from __future__ import annotations

import asyncio

from starlette.requests import ClientDisconnect, Request

from tinrudder.node.api.problems import JSON, ProblemReason, RequestProblemError

MAX_BODY_BYTES = 64 * 1024
BODY_TIMEOUT_S = 5.0
"""Seconds to receive the whole body."""


async def read_json_body(request: Request) -> bytes:
    """Return the undecoded body.

    :raises RequestProblemError: if its type is not JSON, or it is too large, too slow or truncated.
    """
    _check_content_type(request.headers.get("content-type"))
    _check_content_length(request.headers.get("content-length"))
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await _read(request)
    except TimeoutError as error:
        rule = f"must arrive within {BODY_TIMEOUT_S:g} s"
        raise RequestProblemError(ProblemReason.BODY_TOO_SLOW, "body", rule) from error
    except ClientDisconnect as error:
        rule = "must arrive whole"
        raise RequestProblemError(ProblemReason.INVALID_REQUEST, "body", rule) from error


async def _read(request: Request) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise _too_large()
        parts.append(part)
    return b"".join(parts)


def _check_content_type(content_type: str | None) -> None:
    """Refuse a type other than JSON; a missing type is treated as JSON."""
    if content_type is None or content_type.split(";", 1)[0].strip().lower() == JSON:
        return
    rule = f"must be {JSON}"
    raise RequestProblemError(ProblemReason.UNSUPPORTED_CONTENT, "content-type", rule)


def _check_content_length(length: str | None) -> None:
    """Refuse a body by its ``Content-Length``, before any of it is read."""
    if length is not None and length.isdecimal() and int(length) > MAX_BODY_BYTES:
        raise _too_large()


def _too_large() -> RequestProblemError:
    rule = f"at most {MAX_BODY_BYTES} bytes"
    return RequestProblemError(ProblemReason.BODY_TOO_LARGE, "body", rule)
