"""Outcomes of operations that this node ran or is running, kept for duplicates.

Owns these outcomes.  They are bounded by the claim window, by number per tenant and in total, and
by size.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from tinrudder.cluster.claims.claims import (
    AnswerQuestion,
    AnswerStatus,
    ClaimKey,
    ProposerId,
    StoredAnswer,
)
from tinrudder.node.outcomes import NotRun, Outcome
from tinrudder.node.wire.relay_codec import RelayCodecError, encode_outcome

MAX_OPERATIONS_PER_TENANT = 5_000
"""Maximum number of operations of one tenant held in one window; further ones are refused.  Bounds
memory and prevents one tenant from using up the total."""
MAX_OPERATIONS = 20_000
"""Maximum number of operations held for all tenants."""
MAX_OUTCOME_BYTES = 64 * 1024
"""Maximum size in bytes of an outcome kept for duplicates on other nodes."""
MAX_TOTAL_BYTES = 16 * 1024 * 1024
"""Maximum total size in bytes of the outcomes kept; the oldest are dropped first."""


@dataclass(slots=True, eq=False)
class OperationAttempt:
    """One attempt of this node to run an operation.

    :param content: digest of the request; a different request does not get this outcome.
    :param expires_at: wall-clock time in seconds at which the attempt is dropped.
    :param settled: the outcome of this attempt.
    :param finished: the outcome of its submission, which may be that of another attempt.
    :param proposers: proposer ids under which votes were requested.
    :param encoded: the encoded outcome, empty if it is unknown, too large or dropped.
    """

    key: ClaimKey
    tenant: str
    content: bytes
    expires_at: float
    settled: asyncio.Future[Outcome]
    finished: asyncio.Future[Outcome]
    proposers: list[ProposerId] = field(default_factory=list)
    encoded: bytes = b""


class OperationOutcomes:
    """This node's operations by key and by proposer."""

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        """Create an empty table that expires attempts by ``wall_clock``."""
        self._wall_clock = wall_clock
        self._by_key: dict[ClaimKey, OperationAttempt] = {}
        self._by_proposer: dict[ProposerId, OperationAttempt] = {}
        self._by_age: deque[OperationAttempt] = deque()
        self._with_outcome: deque[OperationAttempt] = deque()
        self._count_by_tenant: dict[str, int] = {}
        self._bytes = 0

    def __len__(self) -> int:
        """Return the number of operations held."""
        return len(self._by_age)

    def find(self, key: ClaimKey) -> OperationAttempt | None:
        """Return the latest attempt for a key, ``None`` if there is none."""
        self._drop_expired()
        return self._by_key.get(key)

    def begin(
        self, key: ClaimKey, tenant: str, content: bytes, expires_at: float
    ) -> OperationAttempt | None:
        """Add a new attempt; ``None`` if the tenant or this node has reached its limit."""
        if self._count_by_tenant.get(tenant, 0) >= MAX_OPERATIONS_PER_TENANT:
            return None
        if len(self._by_age) >= MAX_OPERATIONS:
            return None
        loop = asyncio.get_running_loop()
        attempt = OperationAttempt(
            key, tenant, content, expires_at, loop.create_future(), loop.create_future()
        )
        self._by_key[key] = attempt
        self._by_age.append(attempt)
        self._count_by_tenant[tenant] = self._count_by_tenant.get(tenant, 0) + 1
        return attempt

    def register_proposer(self, attempt: OperationAttempt, proposer: ProposerId) -> None:
        """Register a proposer id under which other nodes can look up the attempt."""
        attempt.proposers.append(proposer)
        self._by_proposer[proposer] = attempt

    def settle(self, attempt: OperationAttempt, outcome: Outcome) -> None:
        """Set the outcome of an attempt, for duplicates on other nodes."""
        if not attempt.settled.done():
            attempt.settled.set_result(outcome)
            self._encode(attempt, outcome)

    def finish(self, attempt: OperationAttempt, outcome: Outcome) -> None:
        """Set the outcome of a submission; ``NotRun`` frees the key for another attempt."""
        if attempt.finished.done():
            return
        self.settle(attempt, outcome)
        attempt.finished.set_result(outcome)
        if isinstance(outcome, NotRun) and self._by_key.get(attempt.key) is attempt:
            del self._by_key[attempt.key]

    async def answer(self, question: AnswerQuestion) -> StoredAnswer:
        """Return the outcome of an attempt to another node, waiting until it is known."""
        attempt = self._by_proposer.get(question.proposer)
        if attempt is None or attempt.key != question.key:
            return StoredAnswer(AnswerStatus.UNKNOWN)
        if attempt.content != question.content:
            return StoredAnswer(AnswerStatus.OTHER_REQUEST)
        outcome = await asyncio.shield(attempt.settled)
        if isinstance(outcome, NotRun):
            return StoredAnswer(AnswerStatus.NOT_RUN)
        return StoredAnswer(AnswerStatus.RAN, attempt.encoded)

    def _encode(self, attempt: OperationAttempt, outcome: Outcome) -> None:
        """Store the encoded outcome; drop the oldest ones above the total size limit."""
        try:
            encoded = encode_outcome(outcome)
        except RelayCodecError:
            return
        if len(encoded) > MAX_OUTCOME_BYTES:
            return
        attempt.encoded = encoded
        self._with_outcome.append(attempt)
        self._bytes += len(encoded)
        while self._bytes > MAX_TOTAL_BYTES:
            self._drop_bytes(self._with_outcome.popleft())

    def _drop_bytes(self, attempt: OperationAttempt) -> None:
        self._bytes -= len(attempt.encoded)
        attempt.encoded = b""

    def _drop_expired(self) -> None:
        """Drop the attempts whose window has passed, oldest first."""
        now = self._wall_clock()
        while self._by_age and self._by_age[0].expires_at <= now:
            attempt = self._by_age.popleft()
            self._count_by_tenant[attempt.tenant] -= 1
            if not self._count_by_tenant[attempt.tenant]:
                del self._count_by_tenant[attempt.tenant]
            if self._by_key.get(attempt.key) is attempt:
                del self._by_key[attempt.key]
            for proposer in attempt.proposers:
                del self._by_proposer[proposer]
            self._drop_bytes(attempt)
        while self._with_outcome and not self._with_outcome[0].encoded:
            self._with_outcome.popleft()
