"""HTTP requests and answers as bytes, and the tagged outcomes of one call to a back end.

Owns the types alone; each message holds its body.
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


def end_to_end_headers(headers: Headers, protected: frozenset[bytes]) -> Headers:
    """Return the end-to-end headers of a message that was received.

    Call it before any header is added: the sender's ``Connection`` would drop the added one too.

    :param protected: headers that concern every recipient, so that ``Connection`` cannot drop them.

    >>> received = ((b"connection", b"x-hop, host"), (b"x-hop", b"1"), (b"host", b"h"))
    >>> end_to_end_headers(received, frozenset((b"host",)))
    ((b'host', b'h'),)
    """
    dropped = CONNECTION_HEADERS
    for name, value in headers:
        if name == b"connection":
            named = (part.strip().lower() for part in value.split(b","))
            dropped = dropped | (frozenset(named) - protected)
    return without_headers(headers, dropped)


def without_headers(headers: Headers, names: frozenset[bytes]) -> Headers:
    """Return the headers whose name is none of ``names``."""
    return tuple(header for header in headers if header[0] not in names)


class HttpRequest(Struct, frozen=True):
    """A complete request as a client sent it; header names are in lower case.

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
    """A complete answer; header names are in lower case."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes

    @property
    def successful(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300


class LoadReport(Struct, frozen=True):
    """A back end's report of its own load.

    :param running: requests that hold a slot.
    :param waiting: requests that wait for a slot.
    :param slots: requests that it runs concurrently.
    :param slowdown: current factor on the duration of work, 1 is usual; back ends share their
        machines with others, so it changes within half a second.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class Answered:
    """The back end ran the call; its complete answer, which may report a failure."""

    answer: HttpAnswer


@dataclass(frozen=True, slots=True)
class Rejected:
    """The back end answered that it did not run the call.

    :param wrong_backend: another back end now has the address.
    :param load: its encoded load report, if the answer has one.
    """

    status: int
    wrong_backend: bool = False
    load: bytes | None = None


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the call was sent.

    :param refused: the connection was refused, so the back end's process has ended.
    """

    detail: str = ""
    refused: bool = False


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The caller cancelled the call before any byte was sent; no evidence about the back end."""


@dataclass(frozen=True, slots=True)
class Broken:
    """Bytes may have been sent and no usable answer came: the back end may have run the call.

    :param unanswered: the whole request was sent, and the connection ended before the first byte of
        the answer, as it does when the back end's process ends.
    :param stood_still: this gateway was paused for so long that the back end may have closed the
        connection for that reason; no evidence about the back end or the request.
    """

    detail: str = ""
    unanswered: bool = False
    stood_still: bool = False


CallOutcome = Answered | Rejected | NotSent | Withdrawn | Broken
AnswerListener = Callable[[CallOutcome], None]


def _ignore_outcome(outcome: CallOutcome) -> None:
    """Ignore the outcome: the call has ended."""


def _no_bytes() -> bytes | None:
    """Return no bytes: the call has ended."""
    return None


class UpstreamCall(Struct, eq=False):
    """One call to a back end, queued or in flight.

    :param make_bytes: returns the request's bytes when they are sent, since the remaining time that
        they carry shrinks; ``None`` cancels the call.
    :param listener: called once with the outcome.
    :param deadline: monotonic time after which the answer is of no use.
    :param body_expected: whether an answer may have a body.
    :param repeatable: whether the call may be sent again if it gets no answer; if not, it is sent
        only over a connection on which data has just been received.
    :param body_bytes: size of a body that counts against the limit of body bytes in transit to the
        back end; 0: too small to count.
    :param sent_at: monotonic time at which bytes were sent, ``None`` before.
    :param finished: whether the outcome was reported, or will not be.
    :param carrier: the pool in which the call waits, or the connection over which it was sent.
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
        """Report the outcome; later calls have no effect."""
        if self.finished:
            return
        listener = self.listener
        self.detach()
        listener(outcome)

    def detach(self) -> None:
        """Report no outcome, and drop references to the caller, which also refers to this call."""
        self.finished = True
        self.carrier = None
        self.listener = _ignore_outcome
        self.make_bytes = _no_bytes
