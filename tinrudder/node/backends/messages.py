"""Calls to back ends and the types of their replies.

Values only.  ``docs/BACKENDS.md`` has the HTTP form of each message; ``tinrudder.node.backends``
converts status codes to these types, so its users do not depend on HTTP.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from tinrudder.node.decisions.backend_record import DEFAULT_MAX_CONNECTIONS


class SearchRequest(msgspec.Struct, frozen=True):
    """Body of one call: a search or an operation on shards of one index version.

    :param after: return only rows after this (order, row id).
    :param deadline_ms: time until the answer is no longer useful, milliseconds from receipt.
    :param operation: name of an at-most-once operation, ``None`` for a search.
    :param request_key: ``TENANT/KEY`` of such an operation, the same for all its submissions.
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
    """A row as sent by a back end: order value, row id, and the undecoded payload."""

    order: float
    row_id: str
    payload: msgspec.Raw


class ShardRows(msgspec.Struct, frozen=True):
    """Rows of one shard, sorted as requested; ``more`` is set if the limit truncated them."""

    shard: str
    rows: tuple[RowMessage, ...]
    more: bool = False


class BackendLoad(msgspec.Struct, frozen=True):
    """Load as reported by the back end itself; it may be stale or wrong."""

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
    :param deadline: monotonic time after which the answer is no longer useful.
    :param max_connections: number of connections that this node may hold to the back end.
    :param may_have_been_sent: bytes of the call may have left this process.  True by default; only
        a transport that is certain that none have clears it.
    :param may_still_send: called by the transport immediately before it writes the call; if it
        returns false, the reply is :class:`NotSent`.
    :param transport_state: private to the transport: the queue entry or connection of the call.
    """

    call_id: int
    backend: str
    host: str
    port: int
    request: SearchRequest
    deadline: float
    tls: bool = False
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    may_have_been_sent: bool = True
    may_still_send: Callable[[], bool] | None = None
    transport_state: object = None


@dataclass(frozen=True, slots=True)
class Answered:
    """The back end ran the call.

    :param size_bytes: encoded size of the answer, which stays in memory while any row is held.
    """

    answer: SearchAnswer
    size_bytes: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class Shed:
    """The back end refused the call before starting it because of load."""

    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Draining:
    """The back end refused the call before starting it because it is draining."""


@dataclass(frozen=True, slots=True)
class VersionGone:
    """The back end did not start the call because it does not serve the requested version."""

    versions: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the call left this process."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class Broken:
    """The call may have been sent and has no usable answer: the back end may have run it."""

    detail: str = ""


BackendReply = Answered | Shed | Draining | VersionGone | NotSent | Broken
