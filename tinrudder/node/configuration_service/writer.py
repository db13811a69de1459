"""Writes resources to the platform on behalf of an operator.

Owns the messages and the HTTP client of writes; only commands use it, never a node.
"""

from __future__ import annotations

from typing import Protocol

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError

STATUS_OK = 200
WRITE_HEADERS = {"Content-Type": "application/json"}


class PlatformWriteError(Exception):
    """The platform rejected the write, or its answer was lost and the write may be in force."""


class ResourceWrite(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A resource to create or replace."""

    kind: str
    name: str
    spec: msgspec.Raw


class ResourceName(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A resource to delete."""

    kind: str
    name: str


class ResourceBatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Writes that take effect atomically; repeating a batch changes nothing."""

    resources: tuple[ResourceWrite, ...] = ()
    delete: tuple[ResourceName, ...] = ()


class WriteAnswer(msgspec.Struct, frozen=True):
    """The platform's revision after a write."""

    revision: int


class ResourceWriter(Protocol):
    """Accepts batches of writes."""

    async def write(self, batch: ResourceBatch) -> int:
        """Write a batch and return the revision that contains it."""

    async def close(self) -> None:
        """Close connections."""


class PlatformWriter:
    """Writes to ``POST /v1/resources`` of the platform's write address."""

    def __init__(self, base_url: str) -> None:
        """Write to ``base_url``, e.g. ``http://127.0.0.1:7000``."""
        self._url = base_url.rstrip("/") + "/v1/resources"
        self._client: aiosonic.HTTPClient | None = None

    async def write(self, batch: ResourceBatch) -> int:
        """Write a batch and return the revision that contains it.

        :raises PlatformWriteError: the write was rejected, or no usable answer was received.
        """
        if self._client is None:
            self._client = aiosonic.HTTPClient()
        content = msgspec.json.encode(batch)
        try:
            response = await self._client.post(self._url, headers=WRITE_HEADERS, data=content)
            body = await response.content()
            if response.status_code != STATUS_OK:
                text = body.decode(errors="replace")[:300]
                raise PlatformWriteError(f"{self._url}: status {response.status_code}: {text}")
            return msgspec.json.decode(body, type=WriteAnswer).revision
        except (OSError, EOFError, AiosonicError, msgspec.MsgspecError) as error:
            raise PlatformWriteError(f"{self._url}: {error!r}") from error

    async def close(self) -> None:
        """Close the connections."""
        if self._client is not None:
            await self._client.aclose()
