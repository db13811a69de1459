"""Calls to the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from tinrudder.gateway.fetch import FetchError, fetch
from tinrudder.gateway.messages import HttpAnswer
from tinrudder.gateway.model import Address
from tinrudder.gateway.stored_values import (
    HistoryForgottenError,
    Reading,
    StoredValue,
    StoreUnavailableError,
    Topic,
)
from tinrudder.gateway.upstream_connection import accept_any_answer
from tinrudder.gateway.upstream_pool import UpstreamPool
from tinrudder.platform.documents import BACKENDS_PREFIX, OPERATOR_PREFIX

RANGE_PATH = "/v1/kv-range"
WATCH_PATH = "/v1/kv-watch"
READ_TIMEOUT_S = 2.5
WATCH_SLACK_S = 1.5
MAX_PAGES = 100
MAX_CONNECTIONS = 2
"""For each topic: a watch holds one for seconds, during which a read may be needed."""
OK = 200
HISTORY_FORGOTTEN = 410
MILLISECONDS = 1000


class _Item(msgspec.Struct):
    key: str
    rev: int
    value: str = ""
    gone: bool = False


class _RangeAnswer(msgspec.Struct):
    items: list[_Item]
    at: int
    more: bool = False


class _WatchAnswer(msgspec.Struct):
    events: list[_Item]
    at: int


PREFIXES = {Topic.OPERATOR: OPERATOR_PREFIX, Topic.BACKENDS: BACKENDS_PREFIX}

_range_decoder = msgspec.json.Decoder(_RangeAnswer)
_watch_decoder = msgspec.json.Decoder(_WatchAnswer)


class StoreClient:
    """Reads the store over one connection for each topic, and another while a watch waits."""

    def __init__(self, address: Address, count_call: Callable[[], None]) -> None:
        """Talk to ``address``; ``count_call`` counts what is priced."""
        self._address = address
        self._count_call = count_call
        self._pools = {
            topic: UpstreamPool(address, accept_any_answer, lambda: None) for topic in Topic
        }
        for pool in self._pools.values():
            pool.max_connections = MAX_CONNECTIONS

    async def read(self, topic: Topic) -> Reading:
        """Read every value of a topic; see :class:`MetadataStore`.

        Changes between pages lie behind the first page's revision.
        """
        values: list[StoredValue] = []
        revision = 0
        after = ""
        for _ in range(MAX_PAGES):
            parameters = {"path_prefix": PREFIXES[topic]}
            if after:
                parameters["after"] = after
            path = f"{RANGE_PATH}?{urlencode(parameters)}"
            answer = await self._call(topic, path, READ_TIMEOUT_S)
            _check_status(answer)
            document = _decode(_range_decoder, answer.body)
            values.extend(_values(document.items))
            revision = revision or document.at
            if not document.more or not document.items:
                return Reading(tuple(values), revision)
            after = document.items[-1].key
        raise StoreUnavailableError(f"more than {MAX_PAGES} pages")

    async def watch(self, topic: Topic, after: int, wait_s: float) -> Reading:
        """Wait for changes; see :class:`MetadataStore`."""
        wait_ms = int(wait_s * MILLISECONDS)
        query = urlencode({"path_prefix": PREFIXES[topic], "after": after, "wait_ms": wait_ms})
        answer = await self._call(topic, f"{WATCH_PATH}?{query}", wait_s + WATCH_SLACK_S)
        if answer.status == HISTORY_FORGOTTEN:
            raise HistoryForgottenError(f"after {after}")
        _check_status(answer)
        document = _decode(_watch_decoder, answer.body)
        return Reading(_values(document.events), document.at)

    async def _call(self, topic: Topic, target: str, timeout_s: float) -> HttpAnswer:
        """Send one GET."""
        self._count_call()
        request = f"GET {target} HTTP/1.1\r\nHost: {self._address}\r\n\r\n".encode()
        try:
            return await fetch(self._pools[topic], request, timeout_s)
        except FetchError as error:
            raise StoreUnavailableError(str(error)) from error


def _check_status(answer: HttpAnswer) -> None:
    """Refuse whatever is not a plain answer."""
    if answer.status != OK:
        raise StoreUnavailableError(f"status {answer.status}")


Document = TypeVar("Document")


def _decode(decoder: msgspec.json.Decoder[Document], body: bytes) -> Document:
    """Decode an answer's body."""
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(f"unreadable answer: {error}") from error


def _values(items: list[_Item]) -> tuple[StoredValue, ...]:
    """Turn items and events into values."""
    return tuple(StoredValue(item.key, item.rev, _value_of(item)) for item in items)


def _value_of(item: _Item) -> bytes | None:
    """Decode a value; ``None`` for a removal."""
    if item.gone:
        return None
    try:
        return base64.b64decode(item.value, validate=True)
    except binascii.Error as error:
        raise StoreUnavailableError(f"{item.key}: {error}") from error
