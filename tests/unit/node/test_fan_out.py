"""Fan-out: outcomes with late, duplicate, broken and refused calls."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from tests.support.fakes import ManualTimers, RecordingTransport
from tinrudder.node.backends.messages import Broken, Draining, NotSent, Shed
from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.fair_queue import StartTimeFairQueue
from tinrudder.node.decisions.replica_choice import LeastLoadedReplica
from tinrudder.node.decisions.service_routing import RoutingTable
from tinrudder.node.outcomes import (
    Complete,
    Failed,
    MayHaveRun,
    MissingReason,
    NotRun,
    Outcome,
    Partial,
)
from tinrudder.node.query.dispatcher import Dispatcher
from tinrudder.node.query.fan_out import FanOut
from tinrudder.node.query.plan import PlannedShard, QueryPlan
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.resources.model import QueryRuleSpec, ShardSpec

DEADLINE_S = 0.1


def request_of(**changes: object) -> QueryRequest:
    values = {
        "query_id": "q",
        "tenant": "acme",
        "index": "stock",
        "rule": "rule",
        "match": {},
        "order_by": "time",
        "descending": False,
        "limit": 10,
        "deadline": DEADLINE_S,
    }
    return QueryRequest(**{**values, **changes})


class NoOtherVersion:
    """A replanner that keeps every query on its version."""

    def record_version_gone(self, plan: QueryPlan, backend: BackendRecord) -> None:
        pass

    def replan(self, plan: QueryPlan) -> QueryPlan | None:
        return None


@dataclass
class Harness:
    """One fan-out over two shards that are served by the same back ends."""

    rule: QueryRuleSpec = field(default_factory=lambda: QueryRuleSpec(service="service"))
    slots: int = 5
    names: str = "ab"
    timers: ManualTimers = field(default_factory=ManualTimers)
    transport: RecordingTransport = field(default_factory=RecordingTransport)
    outcomes: list[Outcome] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.backends = tuple(
            BackendRecord(name, "127.0.0.1", 1, "zone", self.slots, self.slots)
            for name in self.names
        )
        self.dispatcher = Dispatcher(
            self.timers,
            self.transport,
            StartTimeFairQueue(self.timers.time),
            LeastLoadedReplica(),
        )
        shards = tuple(
            PlannedShard(
                ShardSpec(shard=name, owner="owner", backends=tuple(self.names)), self.backends
            )
            for name in ("s1", "s2")
        )
        routing = RoutingTable(self.timers.time, random.Random(1)).routing_of("service", {})
        plan = QueryPlan(request_of(), self.rule, 1, "service", 7, shards, routing)
        self.fan_out = FanOut(
            plan, self.dispatcher, self.timers, self.outcomes.append, NoOtherVersion()
        )
        self.fan_out.start()

    @property
    def outcome(self) -> Outcome:
        assert len(self.outcomes) == 1
        return self.outcomes[0]


def test_complete_merges_in_order() -> None:
    harness = Harness()
    first, second = harness.transport.calls
    harness.transport.answer(second, 2.0, 3.0)
    harness.transport.answer(first, 1.0, 4.0)
    assert isinstance(harness.outcome, Complete)
    assert [row.order for row in harness.outcome.answer.rows] == [1.0, 2.0, 3.0, 4.0]
    assert harness.outcome.answer.coverage.ratio == 1.0


def test_doubled_and_late_answers_change_nothing() -> None:
    harness = Harness()
    first, second = harness.transport.calls
    harness.transport.answer(first, 1.0)
    harness.transport.answer(first, 9.0)
    harness.transport.answer(second, 2.0)
    harness.transport.answer(second, 8.0)
    assert [row.order for row in harness.outcome.answer.rows] == [1.0, 2.0]


def test_answer_of_another_version_is_never_merged() -> None:
    harness = Harness(QueryRuleSpec(service="service", minimum_coverage=0.0))
    first, second = harness.transport.calls
    harness.transport.answer(first, 1.0)
    harness.transport.answer(second, 2.0, version=8)
    harness.transport.answer(harness.transport.calls[2], 2.0, version=8)
    assert isinstance(harness.outcome, Partial)
    missing = harness.outcome.answer.coverage.missing
    assert [shard.shard for shard in missing] == ["s2"]


def test_hard_deadline_states_what_is_missing() -> None:
    harness = Harness(QueryRuleSpec(service="service", minimum_coverage=0.5))
    harness.transport.answer(harness.transport.calls[0], 1.0)
    harness.timers.advance(DEADLINE_S)
    assert isinstance(harness.outcome, Partial)
    assert harness.outcome.answer.coverage.missing[0].reason is MissingReason.TIMED_OUT
    assert harness.transport.cancelled == [harness.transport.calls[1].call_id]


def test_coverage_below_the_rule_is_failed() -> None:
    harness = Harness()
    harness.transport.answer(harness.transport.calls[0], 1.0)
    harness.timers.advance(DEADLINE_S)
    assert isinstance(harness.outcome, Failed)


@pytest.mark.parametrize("reply", [Shed(), Draining(), NotSent()])
def test_refused_everywhere_is_not_run(reply: object) -> None:
    harness = Harness()
    answered = 0
    while answered < len(harness.transport.calls):
        harness.transport.reply(harness.transport.calls[answered], reply)
        answered += 1
    assert answered >= 2
    assert isinstance(harness.outcome, NotRun)


def test_broken_non_repeatable_call_is_not_sent_again() -> None:
    harness = Harness(QueryRuleSpec(service="service", repeatable=False))
    for call in tuple(harness.transport.calls):
        harness.transport.reply(call, Broken())
    assert len(harness.transport.calls) == 2
    assert isinstance(harness.outcome, MayHaveRun)


def test_timeout_after_sending_is_never_not_run() -> None:
    harness = Harness(QueryRuleSpec(service="service", repeatable=False))
    harness.timers.advance(DEADLINE_S)
    assert isinstance(harness.outcome, MayHaveRun)


def test_calls_still_waiting_for_a_connection_are_not_run() -> None:
    harness = Harness(QueryRuleSpec(service="service", repeatable=False))
    for call in harness.transport.calls:
        call.may_have_been_sent = False
    harness.timers.advance(DEADLINE_S)
    assert isinstance(harness.outcome, NotRun)


def test_waiting_calls_go_out_when_room_is_made() -> None:
    harness = Harness(slots=1)
    for backend in harness.backends:
        assert backend.in_flight == 1
    first, second = harness.transport.calls
    harness.transport.answer(first, 1.0)
    harness.transport.answer(second, 2.0)
    assert isinstance(harness.outcome, Complete)
    assert all(backend.in_flight == 0 for backend in harness.backends)


def test_abandoned_query_frees_its_places() -> None:
    harness = Harness()
    harness.fan_out.abandon()
    assert harness.outcomes == []
    assert all(backend.in_flight == 0 for backend in harness.backends)
    assert len(harness.transport.cancelled) == 2


def reply_in_sequence(replies: list[object]) -> tuple[int, Outcome]:
    """Reply to each call in turn; return the number of calls sent and the outcome."""
    harness = Harness(names="abc")
    done = 0
    while done < len(harness.transport.calls):
        harness.transport.reply(harness.transport.calls[done], replies[min(done, len(replies) - 1)])
        done += 1
    return done, harness.outcome


def test_a_query_that_breaks_every_call_is_sent_to_no_further_replica() -> None:
    sent, outcome = reply_in_sequence([Broken()])
    assert sent == 4
    assert isinstance(outcome, Failed | MayHaveRun)
