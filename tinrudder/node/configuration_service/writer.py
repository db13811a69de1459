"""Writes resources to the platform on an operator's behalf; only commands use it, never a node."""

from __future__ import annotations

from typing import Protocol

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError

STATUS_OK = 200
WRITE_HEADERS = {"Content-Type": "application/json"}


class PlatformWriteError(Exception):
    """The platform did not take the write; after a lost answer it may have."""


class ResourceWrite(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One resource as it is to be."""

    kind: str
    name: str
    spec: msgspec.Raw


class ResourceName(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A resource to delete."""

    kind: str
    name: str


class ResourceBatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Several writes that take effect together; repeating a batch changes nothing."""

    resources: tuple[ResourceWrite, ...] = ()
    delete: tuple[ResourceName, ...] = ()


class WriteAnswer(msgspec.Struct, frozen=True):
    """The platform's revision after a write."""

    revision: int


class ResourceWriter(Protocol):
    """Whatever takes writes."""

    async def write(self, batch: ResourceBatch) -> int:
        """Write and return the revision that holds the batch."""

    async def close(self) -> None:
        """Close connections."""


class PlatformWriter:
    """Writes to ``POST /v1/resources`` of the platform's write address."""

    def __init__(self, base_url: str) -> None:
        """Write to ``base_url``, e.g. ``http://127.0.0.1:7000``."""
        self._url = base_url.rstrip("/") + "/v1/resources"
        self._client: aiosonic.HTTPClient | None = None

    async def write(self, batch: ResourceBatch) -> int:
        """Write and return the revision that holds the batch.

        :raises PlatformWriteError: it was refused, or no answer came.
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
