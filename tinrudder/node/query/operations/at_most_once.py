"""Runs operations at most once: claims the key, sends the call, and reports what is known.

Owns the running attempts.  A call is never repeated once a back end may have started it.
docs/CLAIMS.md explains why this is safe; docs/API.md explains what a caller should do after each
outcome.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import xxhash

from tinrudder.cluster.claims.claim import Claim
from tinrudder.cluster.claims.claim_proposer import DispatchWindow
from tinrudder.cluster.claims.claims import (
    AnswerStatus,
    ClaimKey,
    ProposerId,
    StoredAnswer,
    make_claim_key,
)
from tinrudder.cluster.claims.claims_service import ClaimsService
from tinrudder.node.outcomes import (
    Failed,
    MayHaveRun,
    MayHaveRunReason,
    NotRun,
    NotRunReason,
    Outcome,
)
from tinrudder.node.query.admission_gate import AdmissionGate
from tinrudder.node.query.dispatcher import Dispatcher
from tinrudder.node.query.operations.operation_call import LATE_ANSWER_TIMEOUT_S, OperationCall
from tinrudder.node.query.operations.operation_outcomes import OperationAttempt, OperationOutcomes
from tinrudder.node.query.operations.operation_request import OperationRequest
from tinrudder.node.query.plan import Planner, QueryPlan
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.model import IndexSpec
from tinrudder.node.wire.relay_codec import RelayCodecError, decode_outcome
from tinrudder.timers import Timers, WallClock

CLAIM_TIME_SHARE = 0.5
"""Fraction of the remaining time that collecting votes may take; the rest is for the back end."""

ORDER_BY = "time"
"""Field by which a back end sorts its rows; the body of an operation does not specify one."""
RETRY_AFTER_S = 1.0
"""``Retry-After`` in seconds for a submission that did not get a majority of votes."""
CLAIM_LOST = NotRun(
    NotRunReason.NO_QUORUM,
    "other submissions of this key were made at the same time, and none got a majority",
    RETRY_AFTER_S,
)


class OperationRunner:
    """Runs the operations that this node receives."""

    def __init__(
        self,
        timers: Timers,
        wall_clock: WallClock,
        claims: ClaimsService,
        outcomes: OperationOutcomes,
        dispatcher: Dispatcher,
        planner: Planner,
        gate: AdmissionGate,
        configuration: Callable[[], Configuration],
        accepts_work: Callable[[], bool],
    ) -> None:
        """Create a runner that reads ``configuration()`` for every operation."""
        self._timers = timers
        self._wall_clock = wall_clock
        self._claims = claims
        self._outcomes = outcomes
        self._dispatcher = dispatcher
        self._planner = planner
        self._gate = gate
        self._configuration = configuration
        self._accepts_work = accepts_work
        self._running: set[asyncio.Task[None]] = set()
        self.needed_calls = 0

    @property
    def in_progress(self) -> int:
        """Return the number of operations without a final outcome."""
        return len(self._running)

    async def run(self, request: OperationRequest) -> Outcome:
        """Return the outcome of one submission.

        ``NotRun`` applies to this submission only.  For one marked as a resubmission it becomes
        ``MayHaveRun``, because an earlier submission may have run.
        """
        outcome = await self._run(request)
        if request.resubmission and isinstance(outcome, NotRun):
            detail = (
                f"this submission did not run ({outcome.reason.value}); an earlier one may have"
            )
            return MayHaveRun(MayHaveRunReason.EARLIER_SUBMISSION, detail)
        return outcome

    async def _run(self, request: OperationRequest) -> Outcome:
        """Join the attempt that this node holds for the key, or begin one."""
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        key = make_claim_key(request.tenant, request.request_key)
        attempt = self._outcomes.find(key)
        if attempt is not None:
            return await self._join(attempt, request)
        plan = self._plan(request)
        if isinstance(plan, NotRun):
            return plan
        return await self._begin(request, key, plan)

    def _refusal(self, request: OperationRequest) -> NotRun | None:
        """Return why a submission is refused before planning, ``None`` if it is not.

        Checks that the node is not stopping, the deadline and ``valid_until``.
        """
        if not self._accepts_work():
            return NotRun(NotRunReason.STOPPING, "this node is stopping")
        if self._timers.time() >= request.deadline:
            return NotRun(NotRunReason.DEADLINE, "deadline: has passed")
        remaining_s = request.valid_until - self._wall_clock()
        if remaining_s <= 0:
            return NotRun(NotRunReason.INVALID_REQUEST, "valid_until: has passed")
        window_s = self._claims.limits.window_s
        if remaining_s > window_s:
            detail = f"valid_until: at most {window_s:g} s ahead, got {remaining_s:.3f}"
            return NotRun(NotRunReason.INVALID_REQUEST, detail)
        return None

    def _plan(self, request: OperationRequest) -> QueryPlan | NotRun:
        """Plan one call to one shard of the newest index version."""
        configuration = self._configuration()
        rule = configuration.rules.get(request.rule)
        index = configuration.indexes.get(request.index)
        version, shards = _shard_of(request, index) if index is not None else (None, ())
        query = QueryRequest(
            request.query_id,
            request.tenant,
            request.index,
            request.rule,
            request.match,
            ORDER_BY,
            False,
            rule.max_rows if rule is not None else 1,
            request.deadline,
            version=version,
            operation=request.operation,
            shards=shards,
        )
        plan = self._planner.plan(query)
        if isinstance(plan, Failed):
            return NotRun(NotRunReason.NO_BACKEND, plan.detail)
        if isinstance(plan, QueryPlan) and plan.rule.repeatable:
            detail = "rule: is for queries that may be repeated"
            return NotRun(NotRunReason.INVALID_REQUEST, detail)
        return plan

    async def _begin(self, request: OperationRequest, key: ClaimKey, plan: QueryPlan) -> Outcome:
        """Run an attempt in its own task, because duplicates may also wait for its outcome."""
        expires_at = request.valid_until + self._claims.limits.clock_skew_s + LATE_ANSWER_TIMEOUT_S
        attempt = self._outcomes.begin(key, request.tenant, request.content(), expires_at)
        if attempt is None:
            detail = "the cap on operations in one window is reached"
            return NotRun(NotRunReason.TENANT_LIMIT, detail, self._claims.limits.window_s)
        reported: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(self._attempt(request, plan, attempt, reported))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return await asyncio.shield(reported)

    async def _attempt(
        self,
        request: OperationRequest,
        plan: QueryPlan,
        attempt: OperationAttempt,
        reported: asyncio.Future[Outcome],
    ) -> None:
        """Run one attempt to its final outcome.

        :param reported: receives the caller's outcome, possibly before the final one is known.
        """
        outcome: Outcome = MayHaveRun(MayHaveRunReason.NO_ANSWER, "the attempt ended early")
        permit = self._gate.admit(plan)
        try:
            if isinstance(permit, NotRun):
                outcome = permit
                return
            claim = await self._claim(request, plan, attempt)
            if not claim.won and await self._may_claim_again(request, claim, attempt):
                claim = await self._claim(request, plan, attempt)
            if claim.won:
                outcome = await self._send(request, plan, claim, reported)
            else:
                outcome = await self._resolve_lost_claim(request, claim, attempt)
        finally:
            if not isinstance(permit, NotRun):
                permit.close()
            self._outcomes.finish(attempt, outcome)
            if not reported.done():
                reported.set_result(outcome)

    async def _claim(
        self, request: OperationRequest, plan: QueryPlan, attempt: OperationAttempt
    ) -> Claim:
        """Claim the key; both clocks are read before the first vote is requested."""
        now = self._timers.time()
        remaining_s = request.deadline - now
        wall_until = min(request.valid_until, self._wall_clock() + remaining_s)
        window = DispatchWindow(request.deadline, wall_until)
        region = self._configuration().services[plan.service].region
        return await self._claims.claim(
            region,
            attempt.key,
            request.valid_until,
            window,
            remaining_s * CLAIM_TIME_SHARE,
            lambda proposer: self._outcomes.register_proposer(attempt, proposer),
        )

    async def _send(
        self,
        request: OperationRequest,
        plan: QueryPlan,
        claim: Claim,
        reported: asyncio.Future[Outcome],
    ) -> Outcome:
        """Send the operation's call; release the claim if no back end started it."""
        self.needed_calls += 1
        call = OperationCall(request, plan, claim, self._dispatcher, self._timers)
        call.start()
        interim = await call.reported
        if not call.final.done():
            reported.set_result(interim)
        outcome = await call.final
        if isinstance(outcome, NotRun):
            claim.give_up()
        return outcome

    async def _may_claim_again(
        self, request: OperationRequest, claim: Claim, attempt: OperationAttempt
    ) -> bool:
        """Return whether duplicates split the votes and this submission may claim once more.

        Only the proposer with the lowest name waits for the others to give up.  They give up
        before they wait for it, so there is no deadlock.
        """
        if not claim.holders or min(claim.holders) < claim.proposer.proposer:
            return False
        for holder in claim.holders:
            answer = await self._ask_holder(request, holder, attempt)
            if answer.status is not AnswerStatus.NOT_RUN:
                return False
        return True

    async def _ask_holder(
        self, request: OperationRequest, holder: ProposerId, attempt: OperationAttempt
    ) -> StoredAnswer:
        timeout_s = max(0.0, request.deadline - self._timers.time())
        return await self._claims.ask_holder(attempt.key, holder, attempt.content, timeout_s)

    async def _resolve_lost_claim(
        self, request: OperationRequest, claim: Claim, attempt: OperationAttempt
    ) -> Outcome:
        """Return the outcome of a submission that did not get the key.

        Settles this attempt before asking the other holders for their outcome: duplicates that
        split the votes would otherwise wait for each other.
        """
        self._outcomes.settle(attempt, CLAIM_LOST)
        if not claim.holders:
            detail = "no majority of voters on this key could be reached"
            return NotRun(NotRunReason.NO_QUORUM, detail, RETRY_AFTER_S)
        for holder in claim.holders:
            answer = await self._ask_holder(request, holder, attempt)
            if answer.status is not AnswerStatus.NOT_RUN:
                return _outcome_of(answer)
        return CLAIM_LOST

    async def _join(self, attempt: OperationAttempt, request: OperationRequest) -> Outcome:
        """Wait for the outcome of an attempt that this node is running or has run."""
        if attempt.content != request.content():
            return _outcome_of(StoredAnswer(AnswerStatus.OTHER_REQUEST))
        remaining_s = request.deadline - self._timers.time()
        try:
            async with asyncio.timeout(remaining_s):
                return await asyncio.shield(attempt.finished)
        except TimeoutError:
            detail = "another submission of this key has no outcome yet"
            return MayHaveRun(MayHaveRunReason.ALREADY_CLAIMED, detail)


def _shard_of(request: OperationRequest, index: IndexSpec) -> tuple[int, tuple[str, ...]]:
    """Return the newest version and its shard selected by a hash of the request key."""
    newest = max(index.versions, key=lambda spec: spec.version)
    names = sorted(shard.shard for shard in newest.shards)
    chosen = xxhash.xxh3_64_intdigest(request.request_key.encode()) % len(names)
    return newest.version, (names[chosen],)


def _outcome_of(answer: StoredAnswer) -> Outcome:
    """Convert the answer of a key's holder to the duplicate's outcome."""
    match answer.status:
        case AnswerStatus.OTHER_REQUEST:
            detail = "the key belongs to another request"
            return MayHaveRun(MayHaveRunReason.ALREADY_CLAIMED, detail)
        case AnswerStatus.RAN if answer.payload:
            try:
                return decode_outcome(answer.payload)
            except RelayCodecError:
                pass
    detail = "already claimed by another submission, whose answer is not available"
    return MayHaveRun(MayHaveRunReason.ALREADY_CLAIMED, detail)
