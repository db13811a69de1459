"""Reads the platform over HTTP.  Calls are rare here, so aiosonic serves as it comes."""

from __future__ import annotations

from typing import TypeVar

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from tinrudder.platform.messages import MemberList, PlatformUnavailableError, ResourceDocument

REQUEST_TIMEOUT_S = 2.0
STATUS_OK = 200
STATUS_NOT_MODIFIED = 304

Message = TypeVar("Message")


class PlatformClient:
    """The real :class:`tinrudder.environment.PlatformSource`."""

    def __init__(self, base_url: str) -> None:
        """Read from ``base_url``, e.g. ``http://127.0.0.1:7000``."""
        self._base_url = base_url.rstrip("/")
        self._client: aiosonic.HTTPClient | None = None

    async def fetch_resources(self, known_revision: int) -> ResourceDocument | None:
        """Return the document, ``None`` when it equals ``known_revision``."""
        body = await self._get(f"/v1/resources?known_revision={known_revision}")
        return None if body is None else _decode(body, ResourceDocument)

    async def fetch_members(self) -> MemberList:
        """Return the list of machines."""
        body = await self._get("/v1/members")
        return _decode(body or b"", MemberList)

    async def _get(self, path: str) -> bytes | None:
        """Return a body, ``None`` for not modified."""
        if self._client is None:
            self._client = aiosonic.HTTPClient()
        timeouts = Timeouts(sock_connect=REQUEST_TIMEOUT_S, sock_read=REQUEST_TIMEOUT_S)
        try:
            response = await self._client.get(self._base_url + path, timeouts=timeouts)
            body: bytes = await response.content()
        except (OSError, EOFError, AiosonicError) as error:
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


def _decode(body: bytes, message_type: type[Message]) -> Message:
    """Decode an answer of the platform."""
    try:
        return msgspec.json.decode(body, type=message_type)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailableError(f"unreadable answer: {error}") from error
