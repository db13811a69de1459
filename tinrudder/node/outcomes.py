"""The outcomes of a query, as one closed union of types.

Owns the outcome and reason types used from the query coordinator up to the caller.  Back-end calls
have reply types of their own (see ``tinrudder.node.backends.messages``), which
``tinrudder.node.query`` converts to these.  The most important distinction is between
:class:`NotRun` and :class:`MayHaveRun`: a request that was not run can be retried safely.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class MissingReason(enum.StrEnum):
    """Why a shard's rows are missing from an answer.

    ``NOT_ASKED``: no call for the shard left this node.  ``GIVEN_UP``: the call was cancelled
    because the query could no longer meet its rule.
    """

    NO_REPLICA = "no_replica"
    TIMED_OUT = "timed_out"
    REFUSED = "refused"
    BROKEN = "broken"
    VERSION_GONE = "version_gone"
    NOT_ASKED = "not_asked"
    TENANT_LIMIT = "tenant_limit"
    GIVEN_UP = "given_up"


class NotRunReason(enum.StrEnum):
    """Why no back end ran any part of the request."""

    OVERLOADED = "overloaded"
    TENANT_LIMIT = "tenant_limit"
    DEADLINE = "deadline"
    NO_BACKEND = "no_backend"
    UNKNOWN_RESOURCE = "unknown_resource"
    INVALID_REQUEST = "invalid_request"
    STOPPING = "stopping"
    NO_QUORUM = "no_quorum"
    CANCELLED = "cancelled"


class MayHaveRunReason(enum.StrEnum):
    """Why it is unknown whether the request ran."""

    NO_ANSWER = "no_answer"
    RELAY_LOST = "relay_lost"
    ALREADY_CLAIMED = "already_claimed"
    EARLIER_SUBMISSION = "earlier_submission"
    CANCELLED = "cancelled"


class FailedReason(enum.StrEnum):
    """Why a request that started has no usable answer."""

    COVERAGE_TOO_LOW = "coverage_too_low"
    BACKEND_ERROR = "backend_error"
    VERSION_GONE = "version_gone"
    STREAM_CUT = "stream_cut"


@dataclass(frozen=True, slots=True)
class MissingShard:
    """A shard that is missing from the answer, with its owner and the reason."""

    shard: str
    owner: str
    reason: MissingReason


@dataclass(frozen=True, slots=True)
class Coverage:
    """The shards that an answer includes and those that are missing.

    >>> missing = (MissingShard("s2", "acme", MissingReason.BROKEN),)
    >>> Coverage(included=("s1",), missing=missing).ratio
    0.5
    """

    included: tuple[str, ...]
    missing: tuple[MissingShard, ...] = ()

    @property
    def ratio(self) -> float:
        """Included shards divided by needed shards; 1.0 if the query needed none."""
        total = len(self.included) + len(self.missing)
        return len(self.included) / total if total else 1.0


@dataclass(frozen=True, slots=True)
class Row:
    """One row of an answer.

    :param order: the value by which rows are merged.
    :param row_id: unique within an index version; breaks ties in ``order``.
    :param payload: the row as encoded JSON.
    """

    order: float
    row_id: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """Merged rows of one index version, with their coverage.

    :param next_after: position (order, row id) after which the next page starts, ``None`` on the
        last page.
    """

    version: int
    rows: tuple[Row, ...]
    coverage: Coverage
    next_after: tuple[float, str] | None = None


@dataclass(frozen=True, slots=True)
class Complete:
    """The answer includes every needed shard."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class Partial:
    """The answer includes enough shards for the rule; its coverage lists the missing ones."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class NotRun:
    """No back end ran any part of the request, so a retry is safe.

    :param retry_after_s: suggested delay before a retry, seconds.
    """

    reason: NotRunReason
    detail: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """A back end may have run the request, so a retry may run it twice."""

    reason: MayHaveRunReason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran but has no usable answer, e.g. its coverage is too low for the rule."""

    reason: FailedReason
    detail: str = ""
    coverage: Coverage = field(default_factory=lambda: Coverage(()))


Outcome = Complete | Partial | NotRun | MayHaveRun | Failed


def reason_of(outcome: Outcome) -> str:
    """Return the reason of an outcome without an answer, otherwise an empty string."""
    if isinstance(outcome, NotRun | MayHaveRun | Failed):
        return outcome.reason.value
    return ""
