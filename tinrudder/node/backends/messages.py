"""Calls to back ends and their tagged replies.

The HTTP form of each message is in ``docs/BACKENDS.md``; ``tinrudder.node.backends.http_transport``
turns status codes into these tags, so that nothing above knows about HTTP.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from tinrudder.node.decisions.backend_record import DEFAULT_MAX_CONNECTIONS


class SearchRequest(msgspec.Struct, frozen=True):
    """One call's body: which rows of which shards, at one index version.

    :param after: only rows behind this (order, row id) are wanted.
    :param deadline_ms: how long the answer is useful to us, milliseconds from receipt.
    :param operation: what to do, for a request that must not be repeated; ``None`` for a search.
    :param request_key: ``TENANT/KEY`` of such a request, the same for all its submissions.
    """

    call_id: int
    index: str
    version: int
    shards: tuple[str, ...]
    match: dict[str, str]
    order_by: str
    descending: bool
    limit: int
    deadline_ms: int
    after: tuple[float, str] | None = None
    operation: str | None = None
    query_id: str = ""
    request_key: str | None = None


class RowMessage(msgspec.Struct, frozen=True, array_like=True):
    """A row as sent by a back end: order value, row id, and the undecoded rest."""

    order: float
    row_id: str
    payload: msgspec.Raw


class ShardRows(msgspec.Struct, frozen=True):
    """Rows of one shard, sorted as asked; ``more`` tells that the limit cut them."""

    shard: str
    rows: tuple[RowMessage, ...]
    more: bool = False


class BackendLoad(msgspec.Struct, frozen=True):
    """A back end's own report; it may lag or mislead."""

    in_flight: int
    slots: int


class SearchAnswer(msgspec.Struct, frozen=True):
    """A back end's answer to one call."""

    call_id: int
    version: int
    shards: tuple[ShardRows, ...]
    load: BackendLoad | None = None
    draining: bool = False


@dataclass(slots=True, eq=False)
class BackendCall:
    """One call to one back end.

    :param host: the back end's IP address; :param port: its TCP port.
    :param deadline: monotonic time after which the answer is of no use.
    :param max_connections: connections this node may hold to the back end.
    :param may_have_left: bytes of the call may have left this process; only a transport that
        knows better clears it.
    :param may_leave: asked by the transport immediately before bytes leave; when it says no the
        reply is :class:`NotSent`.
    :param carrier: what carries the call now, for the transport's own use.
    """

    call_id: int
    backend: str
    host: str
    port: int
    request: SearchRequest
    deadline: float
    tls: bool = False
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    may_have_left: bool = True
    may_leave: Callable[[], bool] | None = None
    carrier: object = None


@dataclass(frozen=True, slots=True)
class Answered:
    """The back end ran the call.

    :param size_bytes: encoded size of the answer, which it keeps in memory while rows are held.
    """

    answer: SearchAnswer
    size_bytes: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class Shed:
    """The back end refused before starting, for load."""

    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Draining:
    """The back end refused before starting: it is leaving."""


@dataclass(frozen=True, slots=True)
class VersionGone:
    """The back end does not serve this version; it did not start."""

    versions: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the call left this process."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class Broken:
    """Bytes may have left and no usable answer came: the back end may have run the call."""

    detail: str = ""


BackendReply = Answered | Shed | Draining | VersionGone | NotSent | Broken
