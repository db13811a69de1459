"""Requests and answers as bytes, and the tagged outcomes of one call to a back end.

Owns the types alone; bodies are held by whoever holds the message.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from msgspec import Struct

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]

CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; names are in lower case.

    >>> header_value(((b"a", b"1"), (b"b", b"2")), b"b")
    b'2'
    """
    for header, value in headers:
        if header == name:
            return value
    return None


def end_to_end_headers(headers: Headers, left_out: frozenset[bytes] = frozenset()) -> Headers:
    """Return the headers that do not concern one connection only.

    >>> end_to_end_headers(((b"connection", b"x-hop"), (b"x-hop", b"1"), (b"x-end", b"2")))
    ((b'x-end', b'2'),)
    """
    dropped = CONNECTION_HEADERS | left_out
    for name, value in headers:
        if name == b"connection":
            named = (part.strip().lower() for part in value.split(b","))
            dropped = dropped | frozenset(named)
    return tuple(header for header in headers if header[0] not in dropped)


class HttpRequest(Struct, frozen=True):
    """A whole request as a client sent it; header names are in lower case.

    :param target: path and query, unaltered.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool = True

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b"?")[0]


class HttpAnswer(Struct, frozen=True):
    """A whole answer; header names are in lower case."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes

    @property
    def successful(self) -> bool:
        """Tell whether the status is a 2xx."""
        return 200 <= self.status < 300


class LoadReport(Struct, frozen=True):
    """What a back end says of its own load.

    :param running: requests that hold a slot.
    :param waiting: requests that wait for one.
    :param slots: requests that it runs at the same time.
    :param slowdown: how long work takes there at this moment, 1 is usual; back ends share their
        machines with others, so this changes within half a second.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class Answered:
    """The back end ran the call and this is its whole answer, a failure of its own included."""

    answer: HttpAnswer


@dataclass(frozen=True, slots=True)
class Rejected:
    """The back end says that it did not run the call.

    :param wrong_backend: another back end has the address now.
    :param load: its load report, if the answer has one.
    """

    status: int
    wrong_backend: bool = False
    load: bytes | None = None


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the call left this process.

    :param refused: nobody listens at the back end's address: its process has ended.
    """

    detail: str = ""
    refused: bool = False


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The sender took the call back before any byte left; nothing is known of the back end."""


@dataclass(frozen=True, slots=True)
class Broken:
    """Bytes may have left and no usable answer came: the back end may have run the call.

    :param unanswered: the connection ended before a byte of the answer came, as it does when the
        back end's process ends; the back end had been sent the whole request.
    :param stood_still: this gateway did not read for so long that the other side may have ended the
        connection for that; it says nothing of the back end nor of the request.
    """

    detail: str = ""
    unanswered: bool = False
    stood_still: bool = False


CallOutcome = Answered | Rejected | NotSent | Withdrawn | Broken
AnswerListener = Callable[[CallOutcome], None]


def _nobody_listens(outcome: CallOutcome) -> None:
    """Take no notice: the call has ended."""


def _nothing_leaves() -> bytes | None:
    """Withdraw a call that has ended."""
    return None


class UpstreamCall(Struct, eq=False):
    """One call on its way to a back end.

    :param make_bytes: gives the request's bytes at the moment they leave, since the deadline that
        is handed on shrinks; ``None`` withdraws the call.
    :param body_expected: whether an answer may have a body.
    :param deadline: monotonic time after which the answer is of no use.
    :param repeatable: another may be sent if this one gets no answer; one that may not is sent
        only over a connection that has just been heard.
    :param body_bytes: size of a body that must find room at the back end; 0: it is too small.
    :param sent_at: monotonic time at which bytes left, ``None`` before.
    """

    make_bytes: Callable[[], bytes | None]
    request_id: bytes
    listener: AnswerListener
    deadline: float
    body_expected: bool = True
    repeatable: bool = True
    body_bytes: int = 0
    sent_at: float | None = None
    finished: bool = False
    carrier: object = None

    def finish(self, outcome: CallOutcome) -> None:
        """Report the outcome, once."""
        if self.finished:
            return
        listener = self.listener
        self.forget()
        listener(outcome)

    def forget(self) -> None:
        """Report nothing any more; let go of those who made the call, who know it too."""
        self.finished = True
        self.carrier = None
        self.listener = _nobody_listens
        self.make_bytes = _nothing_leaves
