"""Caps and early refusal: no call of a refused query is sent, and all slots are released."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.support.fakes import ManualTimers, RecordingTransport
from tests.unit.node.test_fan_out import DEADLINE_S, request_of
from tinrudder.node.backends.messages import Answered, SearchAnswer, ShardRows, Shed
from tinrudder.node.decisions.backend_table import BackendTable
from tinrudder.node.decisions.load.backend_limit import AdaptiveLimit
from tinrudder.node.decisions.load.expected_wait_admission import ExpectedWaitAdmission
from tinrudder.node.decisions.load.fair_queue import StartTimeFairQueue
from tinrudder.node.decisions.load.tenant_usage import TenantUsageTable
from tinrudder.node.decisions.replica_choice import LeastLoadedReplica
from tinrudder.node.decisions.service_routing import RoutingTable
from tinrudder.node.outcomes import Complete, MissingReason, NotRun, NotRunReason, Partial
from tinrudder.node.query.admission_gate import AdmissionGate
from tinrudder.node.query.coordinator import Coordinator
from tinrudder.node.query.dispatcher import MAXIMUM_HANDOVER_S, Dispatcher
from tinrudder.node.query.plan import Planner
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.model import (
    BackendSpec,
    IndexSpec,
    IndexVersionSpec,
    QueryRuleSpec,
    ServiceSpec,
    ShardSpec,
    TenantSpec,
)

LATENCY_S = 0.01


class Harness:
    """A coordinator with one back end that has one slot; each query has two shards."""

    def __init__(self, **tenant: int) -> None:
        self.timers = ManualTimers()
        self.transport = RecordingTransport()
        self.queue = StartTimeFairQueue(self.timers.time)
        self.usage = TenantUsageTable()
        self.backends = BackendTable()
        self.dispatcher = Dispatcher(
            self.timers,
            self.transport,
            self.queue,
            LeastLoadedReplica(),
            AdaptiveLimit(),
            self.usage,
        )
        source = random.Random(1)
        admission = ExpectedWaitAdmission(self.queue, source)
        self.configuration = make_configuration(TenantSpec(**tenant))
        self.backends.update(self.configuration.backends)
        self.record = self.backends.all_records()[0]
        self.record.latency_s = LATENCY_S
        gate = AdmissionGate(self.timers, admission, self.usage, lambda: self.configuration, source)
        routing = RoutingTable(self.timers.time, source)
        planner = Planner(self.timers, lambda: self.configuration, self.backends, routing)
        self.coordinator = Coordinator(self.timers, self.dispatcher, planner, gate)

    async def ask(self, **changes: object) -> asyncio.Task:
        changes.setdefault("deadline", self.timers.now + DEADLINE_S)
        task = asyncio.create_task(self.coordinator.run(request_of(**changes)))
        await asyncio.sleep(0)
        return task

    def assert_nothing_held(self) -> None:
        assert len(self.queue) == 0
        assert len(self.usage) == 0
        assert self.record.in_flight == 0
        assert self.record.waiting == 0


def make_configuration(tenant: TenantSpec) -> Configuration:
    shards = tuple(ShardSpec(shard=name, owner="o", backends=("b",)) for name in ("s1", "s2"))
    index = IndexSpec(service="service", versions=(IndexVersionSpec(version=7, shards=shards),))
    names = ("acme", "other")
    return Configuration(
        tenants={name: tenant for name in names},
        services={"service": ServiceSpec(region="r", tenants=names)},
        backends={"b": BackendSpec(service="service", host="127.0.0.1", port=1, zone="z", slots=1)},
        indexes={"stock": index},
        rules={"rule": QueryRuleSpec(service="service", minimum_coverage=0.5)},
    )


async def outcome_of(task: asyncio.Task) -> object:
    return await asyncio.wait_for(task, 1.0)


@pytest.mark.parametrize(
    ("caps", "queries_let_in"),
    [({"max_concurrent_queries": 2}, 2), ({"max_queued_calls": 3}, 2)],
)
def test_a_cap_refuses_at_once_and_only_its_tenant(
    caps: dict[str, int], queries_let_in: int
) -> None:
    async def scenario() -> None:
        harness = Harness(**caps)
        running = [await harness.ask() for _ in range(queries_let_in)]
        sent = len(harness.transport.calls)
        refused = await outcome_of(await harness.ask())
        assert isinstance(refused, NotRun)
        assert refused.reason is NotRunReason.TENANT_LIMIT
        assert refused.retry_after_s is not None
        assert len(harness.transport.calls) == sent
        other = await harness.ask(tenant="other")
        assert not other.done()
        for task in (*running, other):
            task.cancel()
        await asyncio.gather(*running, other, return_exceptions=True)
        harness.assert_nothing_held()

    asyncio.run(scenario())


def test_query_that_would_miss_its_deadline_is_refused_unsent() -> None:
    async def scenario() -> None:
        harness = Harness()
        running = []
        while not running or not running[-1].done():
            running.append(await harness.ask())
            assert len(running) < 50
        refused = await outcome_of(running[-1])
        assert isinstance(refused, NotRun)
        assert refused.reason is NotRunReason.OVERLOADED
        assert refused.retry_after_s is not None
        assert len(harness.transport.calls) == 1
        harness.timers.advance(DEADLINE_S)
        outcomes = [await outcome_of(task) for task in running]
        assert sum(isinstance(outcome, NotRun) for outcome in outcomes) == len(running) - 1
        assert len(harness.transport.calls) == 1
        harness.assert_nothing_held()

    asyncio.run(scenario())


def test_waiting_calls_that_are_too_late_are_not_sent() -> None:
    async def scenario() -> None:
        harness = Harness()
        first = await harness.ask()
        second = await harness.ask(tenant="other")
        harness.timers.advance(DEADLINE_S - LATENCY_S / 4)
        harness.transport.answer(harness.transport.calls[0], 1.0)
        assert isinstance(await outcome_of(first), Partial)
        assert isinstance(await outcome_of(second), NotRun)
        assert len(harness.transport.calls) == 1
        harness.assert_nothing_held()

    asyncio.run(scenario())


def test_many_late_queries_end_without_recursion() -> None:
    async def scenario() -> None:
        harness = Harness()
        harness.record.latency_s = 0.0
        tasks = [await harness.ask() for _ in range(250)]
        harness.record.latency_s = DEADLINE_S
        harness.timers.now = DEADLINE_S * 0.9
        harness.transport.answer(harness.transport.calls[0], 1.0)
        for task in tasks:
            await outcome_of(task)
        harness.assert_nothing_held()

    asyncio.run(scenario())


def test_answers_beyond_the_byte_cap_are_dropped_and_named() -> None:
    async def scenario() -> None:
        harness = Harness(max_buffered_bytes=1024)
        task = await harness.ask()
        for number, size in enumerate((1000, 1000)):
            call = harness.transport.calls[number]
            rows = (ShardRows(call.request.shards[0], ()),)
            answer = SearchAnswer(call.call_id, 7, rows)
            harness.transport.reply(call, Answered(answer, size))
        outcome = await outcome_of(task)
        assert isinstance(outcome, Partial)
        assert [missing_shard.reason for missing_shard in outcome.answer.coverage.missing] == [
            MissingReason.TENANT_LIMIT
        ]
        harness.assert_nothing_held()

    asyncio.run(scenario())


def test_a_back_end_that_asks_for_a_pause_gets_one() -> None:
    async def scenario() -> None:
        harness = Harness()
        task = await harness.ask()
        harness.transport.reply(harness.transport.calls[0], Shed(0.02))
        assert len(harness.transport.calls) == 1
        harness.timers.advance(0.03)
        assert len(harness.transport.calls) == 2
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        harness.assert_nothing_held()

    asyncio.run(scenario())


def test_waiting_calls_use_a_raised_share() -> None:
    async def scenario() -> None:
        harness = Harness()
        task = await harness.ask()
        harness.backends.on_update = lambda: harness.dispatcher.dispatch_waiting(harness.record)
        harness.backends.update(harness.configuration.backends, lambda name, spec: 2)
        for call in harness.transport.calls:
            harness.transport.answer(call, 1.0)
        assert isinstance(await outcome_of(task), Complete)
        harness.assert_nothing_held()

    asyncio.run(scenario())


def test_the_last_answer_may_come_in_the_turn_in_which_the_caller_goes_away() -> None:
    async def scenario() -> None:
        harness = Harness()
        task = await harness.ask()
        harness.transport.answer(harness.transport.calls[0], 1.0)
        task.cancel()
        harness.transport.answer(harness.transport.calls[1], 2.0)
        with pytest.raises(asyncio.CancelledError):
            await task
        harness.assert_nothing_held()

    asyncio.run(scenario())


def test_a_share_that_shrinks_is_kept_while_calls_wait_and_not_for_long() -> None:
    async def scenario() -> None:
        harness = Harness()
        harness.backends.on_update = lambda: harness.dispatcher.apply_share_change(harness.record)
        harness.backends.update(harness.configuration.backends, lambda name, spec: 3)
        tasks = [await harness.ask() for _ in range(3)]
        assert len(harness.transport.calls) == 3
        harness.backends.update(harness.configuration.backends, lambda name, spec: 1)
        harness.transport.answer(harness.transport.calls[0], 1.0)
        assert harness.record.in_flight == 3
        harness.timers.advance(MAXIMUM_HANDOVER_S)
        assert harness.record.limit == 1
        await asyncio.gather(*tasks)
        harness.assert_nothing_held()

    asyncio.run(scenario())
