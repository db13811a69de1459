"""Reads the platform over HTTP.  Calls are rare here, so aiosonic serves as it comes."""

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
"""Seconds for one read of the platform.  Chosen, not measured."""
MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Largest answer that is read: twice the largest document that is accepted."""
READ_HEADERS = {"Accept-Encoding": "gzip"}
STATUS_OK = 200
STATUS_NOT_MODIFIED = 304

Message = TypeVar("Message")


class PlatformClient:
    """The real :class:`tinrudder.node.environment.PlatformSource`."""

    def __init__(self, base_url: str) -> None:
        """Read from ``base_url``, e.g. ``http://127.0.0.1:7000``."""
        self._base_url = base_url.rstrip("/")
        self._client: aiosonic.HTTPClient | None = None
        self._members: MemberList | None = None

    async def fetch_resources(self, known_revision: int) -> ResourceDocument | None:
        """Return the document, ``None`` when it equals ``known_revision``."""
        body = await self._get(f"/v1/resources?known_revision={known_revision}")
        return None if body is None else _decode(body, ResourceDocument)

    async def fetch_members(self) -> MemberList:
        """Return the list of machines, the former one if the platform says it is unchanged."""
        known = self._members.revision if self._members is not None else 0
        body = await self._get(f"/v1/members?known_revision={known}")
        if body is not None:
            self._members = _decode(body, MemberList)
        if self._members is None:
            raise PlatformUnavailableError("/v1/members: not modified, but never read")
        return self._members

    async def _get(self, path: str) -> bytes | None:
        """Return a body, ``None`` for not modified."""
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
    """Return a body, unpacked if it was compressed.

    :raises PlatformUnavailableError: it is larger than allowed.
    """
    body: bytes = await response.content()
    if len(body) > MAX_ANSWER_BYTES:
        raise PlatformUnavailableError(f"answer: more than {MAX_ANSWER_BYTES} bytes")
    return body


def _decode(body: bytes, message_type: type[Message]) -> Message:
    """Decode an answer of the platform."""
    try:
        return msgspec.json.decode(body, type=message_type)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailableError(f"unreadable answer: {error}") from error
