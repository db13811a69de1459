"""Runs queries on this node: plans, admits, fans out, and waits for the outcome.

Owns the queries in progress and their counters.  The fan-out itself runs in callbacks; see
``fan_out``.
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
    """Runs a query, on this node or on another."""

    async def run(self, request: QueryRequest) -> Outcome:
        """Return the outcome.  Cancelling the task cancels the query's calls."""


@dataclass(slots=True)
class CoordinatorCounters:
    """Totals over this node's fan-outs since it started.

    :param needed_shards: number of shards planned, which is the number of calls without retries
        and hedges.
    :param retries: calls sent after an earlier call for the same shard had failed.
    :param hedges: calls sent while another call for the same shard was in flight.
    """

    needed_shards: int = 0
    retries: int = 0
    hedges: int = 0

    def add(self, shards: Sequence[ShardProgress]) -> None:
        """Count a finished or cancelled fan-out."""
        attempts = sum([shard.attempts for shard in shards])
        asked = sum([1 for shard in shards if shard.attempts])
        self.needed_shards += len(shards)
        self.retries += attempts - asked
        self.hedges += sum([shard.hedges for shard in shards])


class Coordinator:
    """Runs this node's fan-outs and counts those in progress."""

    def __init__(
        self, timers: Timers, dispatcher: Dispatcher, planner: Planner, gate: AdmissionGate
    ) -> None:
        """Plan with ``planner``, admit with ``gate`` and send through ``dispatcher``."""
        self._gate = gate
        self._timers = timers
        self._dispatcher = dispatcher
        self._planner = planner
        self.in_progress = 0
        self.counters = CoordinatorCounters()
        self.recorder: FanOutObserver | None = None

    async def run(self, request: QueryRequest) -> Outcome:
        """Run one query and return its outcome."""
        if self._timers.time() >= request.deadline:
            return NotRun(NotRunReason.DEADLINE, "deadline: has passed")
        plan = self._planner.plan(request)
        if not isinstance(plan, QueryPlan):
            return plan
        permit = self._gate.admit(plan)
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
    """Set the result that the query's task awaits.

    The future may already be cancelled: an outcome can arrive after the task was cancelled and
    before the task runs again and abandons the fan-out.
    """
    if not future.done():
        future.set_result(outcome)
