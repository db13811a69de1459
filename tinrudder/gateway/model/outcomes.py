"""Tagged outcomes of a whole request, and their mapping to HTTP statuses.

Owns no state; used by runs, peers, logs and clients' answers.

A status 408, 421, 429 or 503 promises that the request has not run and never will; 502 and 504
promise nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

from tinrudder.gateway.model.http_messages import Headers, HttpAnswer

# HTTP statuses (RFC 9110 and 6585), and when a gateway sends each.
STATUS_BAD_REQUEST = 400  # the request breaks a rule of the protocol
STATUS_UNAUTHORIZED = 401  # no tenant has the key
STATUS_NOT_FOUND = 404  # no route
STATUS_TIMEOUT = 408  # the request was not received completely in time
STATUS_BODY_TOO_LARGE = 413  # a limit of the configuration
STATUS_TOO_MANY_REQUESTS = 429  # over the tenant's quota
STATUS_HEADER_TOO_LARGE = 431  # a limit of the configuration
STATUS_BAD_GATEWAY = 502  # a back end may have run it; no usable answer
STATUS_UNAVAILABLE = 503  # not run; Retry-After says when to retry
STATUS_GATEWAY_TIMEOUT = 504  # a back end may have run it; no answer in time
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(frozen=True, slots=True)
class Relayed:
    """A back end's answer, unaltered."""

    answer: HttpAnswer


@dataclass(frozen=True, slots=True)
class Merged:
    """The merged answers of the shards of one configuration.

    :param stamps: the back ends' signatures of the merged parts.
    :param missing: number of shards without an answer.
    """

    body: bytes
    stamps: tuple[bytes, ...]
    missing: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """No back end ran any part of the request, and none will.

    :param retry_after_s: delay after which a retry may succeed.
    """

    detail: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Unconfirmed(NotRun):
    """Not run, unless the settings are confirmed as of the arrival: the request may wait for it."""


@dataclass(frozen=True, slots=True)
class OverQuota:
    """The tenant has reached its limit; no part of the request has run, and none will.

    :param retry_after_s: delay for this caller, spread over the tenant's refused callers.
    """

    detail: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Unauthorized:
    """No tenant has the key in a configuration that is recent enough to decide it."""

    detail: str


@dataclass(frozen=True, slots=True)
class UnknownRoute:
    """No route of the configuration in force matches the request.

    :param detail: how current that configuration is known to be.
    """

    detail: str = ""


@dataclass(frozen=True, slots=True)
class Invalid:
    """The request breaks a rule of the protocol."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """A back end may have run the request, and no usable answer came."""

    detail: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """A back end may have run the request, and no answer came in time."""

    detail: str


RequestOutcome = (
    Relayed
    | Merged
    | NotRun
    | OverQuota
    | Unauthorized
    | UnknownRoute
    | Invalid
    | NoAnswer
    | TimedOut
)


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The answer sent to a client."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


def status_of(outcome: RequestOutcome) -> int:
    """Return the HTTP status of an outcome.

    >>> status_of(NotRun("", 0.1)), status_of(NoAnswer("")), status_of(TimedOut(""))
    (503, 502, 504)
    """
    match outcome:
        case Relayed(answer=answer):
            return answer.status
        case Merged():
            return 200
        case NotRun():
            return STATUS_UNAVAILABLE
        case OverQuota():
            return STATUS_TOO_MANY_REQUESTS
        case Unauthorized():
            return STATUS_UNAUTHORIZED
        case UnknownRoute():
            return STATUS_NOT_FOUND
        case Invalid(status=status):
            return status
        case NoAnswer():
            return STATUS_BAD_GATEWAY
        case TimedOut():
            return STATUS_GATEWAY_TIMEOUT
