"""Tagged outcomes of a query: one closed family from the back-end call up to the caller.

The families below the query have their own tags (see ``tinrudder.node.backends.messages``);
``tinrudder.query`` turns those into these.  The distinction that matters most is between
:class:`NotRun` and :class:`MayHaveRun`: a caller that reads "not run" may safely ask again.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class MissingReason(enum.StrEnum):
    """Why a shard's rows are not part of an answer.

    ``NOT_ASKED``: no call for the shard left this node.  ``GIVEN_UP``: its call was withdrawn
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
    """Why a request that did start has no usable answer."""

    COVERAGE_TOO_LOW = "coverage_too_low"
    BACKEND_ERROR = "backend_error"
    VERSION_GONE = "version_gone"
    STREAM_CUT = "stream_cut"


@dataclass(frozen=True, slots=True)
class MissingShard:
    """A shard that the answer does not include, its owner and the reason."""

    shard: str
    owner: str
    reason: MissingReason


@dataclass(frozen=True, slots=True)
class Coverage:
    """Which shards an answer includes and which it does not.

    >>> missing = (MissingShard("s2", "acme", MissingReason.BROKEN),)
    >>> Coverage(included=("s1",), missing=missing).ratio
    0.5
    """

    included: tuple[str, ...]
    missing: tuple[MissingShard, ...] = ()

    @property
    def ratio(self) -> float:
        """Included shards over all shards the query needed; 1.0 when it needed none."""
        total = len(self.included) + len(self.missing)
        return len(self.included) / total if total else 1.0


@dataclass(frozen=True, slots=True)
class Row:
    """One row of an answer.

    :param order: the value rows are merged by.
    :param row_id: breaks ties; unique within an index version.
    :param payload: the row itself, as encoded JSON.
    """

    order: float
    row_id: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """Rows of one index version, merged in order, with their coverage.

    :param next_after: where the next page starts, ``None`` on the last page.
    """

    version: int
    rows: tuple[Row, ...]
    coverage: Coverage
    next_after: tuple[float, str] | None = None


@dataclass(frozen=True, slots=True)
class Complete:
    """Every needed shard is included."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class Partial:
    """Enough shards for the rule are included; the coverage names those that are not."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class NotRun:
    """No back end ran any part of the request; asking again is safe.

    :param retry_after_s: when asking again is worth it, seconds from now.
    """

    reason: NotRunReason
    detail: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Some back end may have run the request; it must not be repeated blindly."""

    reason: MayHaveRunReason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran, but its answer does not meet the rule."""

    reason: FailedReason
    detail: str = ""
    coverage: Coverage = field(default_factory=lambda: Coverage(()))


Outcome = Complete | Partial | NotRun | MayHaveRun | Failed


def reason_of(outcome: Outcome) -> str:
    """Return the reason of an outcome without an answer, else an empty text."""
    if isinstance(outcome, NotRun | MayHaveRun | Failed):
        return outcome.reason.value
    return ""
