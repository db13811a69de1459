"""Runs queries on this node: plans, fans out, and waits for the outcome.

Owns the queries in progress and their counters.  Relies on the planner, the admission gate and
``fan_out``, which does the work in callbacks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from tinrudder.node.outcomes import NotRun, NotRunReason, Outcome
from tinrudder.node.query.admission_gate import AdmissionGate
from tinrudder.node.query.dispatcher import Dispatcher
from tinrudder.node.query.fan_out import FanOut
from tinrudder.node.query.plan import Planner, QueryPlan
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.query.shard_progress import ShardProgress
from tinrudder.timers import Timers

FanOutObserver = Callable[[QueryPlan, Sequence[ShardProgress], Outcome, float, float], None]


class QueryRunner(Protocol):
    """Whatever can take a query to its outcome, here or on another node."""

    async def run(self, request: QueryRequest) -> Outcome:
        """Return the outcome; cancelling the task frees the query's work."""


@dataclass(slots=True)
class CoordinatorCounters:
    """What the fan-outs of this node took, since start.

    :param needed_shards: calls that one per needed shard would have taken.
    :param retries: calls sent after one for the same shard had failed.
    :param hedges: calls sent while one for the same shard was in flight.
    """

    needed_shards: int = 0
    retries: int = 0
    hedges: int = 0

    def add(self, shards: Sequence[ShardProgress]) -> None:
        """Count an ended fan-out, also one whose caller went away."""
        attempts = sum([shard.attempts for shard in shards])
        asked = sum([1 for shard in shards if shard.attempts])
        self.needed_shards += len(shards)
        self.retries += attempts - asked
        self.hedges += sum([shard.hedges for shard in shards])


class Coordinator:
    """Owns fan-outs on this node and counts those in progress."""

    def __init__(
        self, timers: Timers, dispatcher: Dispatcher, planner: Planner, gate: AdmissionGate
    ) -> None:
        """Plan by ``planner``, admit by ``gate`` and send through ``dispatcher``."""
        self._gate = gate
        self._timers = timers
        self._dispatcher = dispatcher
        self._planner = planner
        self.in_progress = 0
        self.counters = CoordinatorCounters()
        self.recorder: FanOutObserver | None = None

    async def run(self, request: QueryRequest) -> Outcome:
        """Run one query."""
        if self._timers.time() >= request.deadline:
            return NotRun(NotRunReason.DEADLINE, "deadline: has passed")
        plan = self._planner.plan(request)
        if not isinstance(plan, QueryPlan):
            return plan
        permit = self._gate.enter(plan)
        if isinstance(permit, NotRun):
            return permit
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        settle = partial(_settle, future)
        fan_out = FanOut(plan, self._dispatcher, self._timers, settle, self._planner, permit)
        self.in_progress += 1
        try:
            started = self._timers.time()
            fan_out.start()
            outcome = await future
            if self.recorder is not None:
                self.recorder(fan_out.plan, fan_out.shards, outcome, started, self._timers.time())
            return outcome
        except asyncio.CancelledError:
            future.cancel()
            fan_out.abandon()
            raise
        finally:
            self.in_progress -= 1
            self.counters.add(fan_out.shards)
            permit.close()


def _settle(future: asyncio.Future[Outcome], outcome: Outcome) -> None:
    """Tell the waiting task.

    An outcome can come between the caller's going away, which cancels the future at once, and
    the task's turn to abandon the query.
    """
    if not future.done():
        future.set_result(outcome)
