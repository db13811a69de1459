"""Client of the platform's metadata store.

Owns the connections to it and the names in its answers; decodes keys and revisions, but no values.
The platform calls an epoch of the store its era.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, TypeVar
from urllib.parse import urlencode

import msgspec

from tinrudder.common.address import Address
from tinrudder.gateway.backends.http_fetch import FetchError, fetch
from tinrudder.gateway.backends.upstream_connection import accept_any_answer
from tinrudder.gateway.backends.upstream_pool import UpstreamPool
from tinrudder.gateway.clients.held_bytes import HeldBytes
from tinrudder.gateway.model.http_messages import Headers, header_value
from tinrudder.gateway.store.store_revision import NO_REVISION, StoreRevision
from tinrudder.gateway.store.stored_values import (
    HistoryForgottenError,
    Reading,
    StoredValue,
    StoreUnavailableError,
    Topic,
)
from tinrudder.platform.documents import (
    BACKENDS_PREFIX,
    MILLISECONDS_PER_S,
    OPERATOR_PREFIX,
    UNREADABLE,
)
from tinrudder.platform.headers import STORE_EPOCH

RANGE_PATH = "/v1/kv-range"
WATCH_PATH = "/v1/kv-watch"
READ_TIMEOUT_S = 2.5
"""Timeout in seconds until a page begins to arrive: peers read meanwhile, and share the result."""
WATCH_MARGIN_S = 0.6
"""Seconds added to a watch's wait for its timeout: allows a store sixty times slower than usual."""
MAX_PAGES = 100
"""Maximum pages of one read: ends a read whose store always reports more."""
MAX_CONNECTIONS = 2
"""Connections for each topic: a watch holds one for seconds, and a read may be needed meanwhile."""
OK = 200
"""HTTP status of a successful answer."""
MAX_EPOCH_DIGITS = 9
"""Longer epochs are ignored: the epoch rises by one with each restore and stays far below."""
HISTORY_FORGOTTEN = 410
"""HTTP status of a watch from a revision whose history is gone; a complete read is needed."""

RevisionNumber = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Document = TypeVar("Document")


class _KeyRevision(msgspec.Struct):
    key: str
    rev: RevisionNumber


class _Item(_KeyRevision):
    value: bytes = b""
    # The key was removed at this revision.
    gone: bool = False


class _RangeAnswer(msgspec.Struct):
    items: list[msgspec.Raw]
    # The store's revision when the page was read.
    at: RevisionNumber
    more: bool = False


class _WatchAnswer(msgspec.Struct):
    events: list[msgspec.Raw]
    # All changes up to this revision are included; the next watch begins there.
    at: RevisionNumber


PREFIXES = {Topic.OPERATOR: OPERATOR_PREFIX, Topic.BACKENDS: BACKENDS_PREFIX}

_range_decoder = msgspec.json.Decoder(_RangeAnswer)
_watch_decoder = msgspec.json.Decoder(_WatchAnswer)
_key_revision_decoder = msgspec.json.Decoder(_KeyRevision)
_item_decoder = msgspec.json.Decoder(_Item)


class StoreClient:
    """Reads the store over one connection for each topic, and another while a watch waits."""

    def __init__(self, address: Address, count_call: Callable[[], None], memory: HeldBytes) -> None:
        """Count calls, which are charged for, and bound answers being received by ``memory``."""
        self._address = address
        self._count_call = count_call
        self._pools = {
            topic: UpstreamPool(address, accept_any_answer, lambda: None, memory) for topic in Topic
        }
        for pool in self._pools.values():
            pool.max_connections = MAX_CONNECTIONS

    async def read(self, topic: Topic) -> Reading:
        """Read every value of a topic; see :class:`MetadataStore`.

        Changes between pages have revisions after that of the first page.
        """
        values: list[StoredValue] = []
        revision: StoreRevision | None = None
        after = ""
        for _ in range(MAX_PAGES):
            parameters = {"path_prefix": PREFIXES[topic]}
            if after:
                parameters["after"] = after
            path = f"{RANGE_PATH}?{urlencode(parameters)}"
            document, epoch = await self._call(topic, path, READ_TIMEOUT_S, _range_decoder)
            revision = revision or StoreRevision(epoch, document.at)
            if epoch != revision.epoch:
                raise StoreUnavailableError(f"pages of epochs {revision.epoch} and {epoch}")
            page = [_value(item, epoch) for item in document.items]
            values.extend(page)
            after = max((value.key for value in page), default="")
            if not document.more or not after:
                return Reading(tuple(values), revision)
        raise StoreUnavailableError(f"read has more than {MAX_PAGES} pages")

    async def watch(self, topic: Topic, after: StoreRevision, wait_s: float) -> Reading:
        """Wait for changes; see :class:`MetadataStore`."""
        wait_ms = int(wait_s * MILLISECONDS_PER_S)
        parameters = {"path_prefix": PREFIXES[topic], "after": after.number, "wait_ms": wait_ms}
        target = f"{WATCH_PATH}?{urlencode(parameters)}"
        document, epoch = await self._call(topic, target, wait_s + WATCH_MARGIN_S, _watch_decoder)
        values = tuple(_value(event, epoch) for event in document.events)
        return Reading(values, StoreRevision(epoch, document.at))

    async def _call(
        self, topic: Topic, target: str, timeout_s: float, decoder: msgspec.json.Decoder[Document]
    ) -> tuple[Document, int]:
        """Send one GET; return its decoded answer and the store's epoch."""
        self._count_call()
        request = f"GET {target} HTTP/1.1\r\nHost: {self._address}\r\n\r\n".encode()
        try:
            answer = await fetch(self._pools[topic], request, timeout_s)
        except FetchError as error:
            raise StoreUnavailableError(str(error)) from error
        if answer.status == HISTORY_FORGOTTEN:
            raise HistoryForgottenError(target)
        if answer.status != OK:
            raise StoreUnavailableError(f"status {answer.status}")
        try:
            return decoder.decode(answer.body), _epoch(answer.headers)
        except UNREADABLE as error:
            raise StoreUnavailableError(f"unreadable answer: {error}") from error


def _epoch(headers: Headers) -> int:
    """Return the store's epoch; 0 if the answer has no valid one.

    >>> _epoch(((b"store-era", b"3"),)), _epoch(()), _epoch(((b"store-era", b"-1"),))
    (3, 0, 0)
    """
    text = header_value(headers, STORE_EPOCH) or b""
    return int(text) if text.isdigit() and len(text) <= MAX_EPOCH_DIGITS else 0


def _value(raw: msgspec.Raw, epoch: int) -> StoredValue:
    """Convert one item of an epoch; its unreadable parts are left empty."""
    try:
        key_revision = _key_revision_decoder.decode(raw)
    except UNREADABLE:
        return StoredValue("", NO_REVISION, b"")
    revision = StoreRevision(epoch, key_revision.rev)
    try:
        item = _item_decoder.decode(raw)
    except UNREADABLE:
        return StoredValue(key_revision.key, revision, b"")
    return StoredValue(item.key, revision, None if item.gone else item.value)
