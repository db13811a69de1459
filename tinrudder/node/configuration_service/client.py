"""Reads configuration and members from the platform over HTTP.

Owns the HTTP client and the last member list.  Reads are rare, so the cost of aiosonic per call
does not matter here.
"""

from __future__ import annotations

import zlib
from typing import TypeVar

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from tinrudder.node.configuration_service.messages import (
    MemberList,
    PlatformUnavailableError,
    ResourceDocument,
)

REQUEST_TIMEOUT_S = 2.0
"""Seconds to connect and to wait for data; one whole read may take twice as long."""
MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Bytes of the largest accepted answer: twice the largest accepted document."""
READ_HEADERS = {"Accept-Encoding": "gzip"}
STATUS_OK = 200
STATUS_NOT_MODIFIED = 304

Message = TypeVar("Message")


class PlatformClient:
    """The :class:`tinrudder.node.environment.PlatformSource` over HTTP."""

    def __init__(self, base_url: str) -> None:
        """Read from ``base_url``, e.g. ``http://127.0.0.1:7000``."""
        self._base_url = base_url.rstrip("/")
        self._client: aiosonic.HTTPClient | None = None
        self._members: MemberList | None = None

    async def fetch_resources(self, known_revision: int) -> ResourceDocument | None:
        """Return the document, ``None`` if its revision is ``known_revision``."""
        body = await self._get(f"/v1/resources?known_revision={known_revision}")
        return None if body is None else _decode(body, ResourceDocument)

    async def fetch_members(self) -> MemberList:
        """Return the list of machines, from the cache if the platform reports it as unchanged."""
        known_revision = self._members.revision if self._members is not None else 0
        body = await self._get(f"/v1/members?known_revision={known_revision}")
        if body is not None:
            self._members = _decode(body, MemberList)
        if self._members is None:
            raise PlatformUnavailableError("/v1/members: status 304, but no list is cached")
        return self._members

    async def _get(self, path: str) -> bytes | None:
        """Return the body of an answer, ``None`` for a 304."""
        if self._client is None:
            self._client = aiosonic.HTTPClient()
        timeouts = Timeouts(
            sock_connect=REQUEST_TIMEOUT_S,
            sock_read=REQUEST_TIMEOUT_S,
            request_timeout=2 * REQUEST_TIMEOUT_S,
        )
        try:
            response = await self._client.get(
                self._base_url + path, headers=READ_HEADERS, timeouts=timeouts
            )
            body = await _read_bounded(response)
        except (OSError, EOFError, ValueError, AiosonicError, zlib.error) as error:
            raise PlatformUnavailableError(f"{path}: {error!r}") from error
        if response.status_code == STATUS_NOT_MODIFIED:
            return None
        if response.status_code != STATUS_OK:
            raise PlatformUnavailableError(f"{path}: status {response.status_code}")
        return body

    async def close(self) -> None:
        """Close the connections."""
        if self._client is not None:
            await self._client.aclose()


async def _read_bounded(response: aiosonic.HttpResponse) -> bytes:
    """Return the decompressed body of an answer.

    :raises PlatformUnavailableError: it is larger than ``MAX_ANSWER_BYTES``.
    """
    body: bytes = await response.content()
    if len(body) > MAX_ANSWER_BYTES:
        raise PlatformUnavailableError(f"answer: more than {MAX_ANSWER_BYTES} bytes")
    return body


def _decode(body: bytes, message_type: type[Message]) -> Message:
    """Decode the body of an answer.

    :raises PlatformUnavailableError: it cannot be decoded.
    """
    try:
        return msgspec.json.decode(body, type=message_type)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailableError(f"unreadable answer: {error}") from error
