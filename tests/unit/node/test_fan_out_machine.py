"""One fan-out under any order of late, duplicate, broken, refused and wrong replies."""

from __future__ import annotations

import random

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.support.fakes import ManualTimers, RecordingTransport
from tests.unit.node.test_fan_out import DEADLINE_S, request_of
from tinrudder.node.backends.messages import (
    Answered,
    BackendCall,
    Broken,
    Draining,
    NotSent,
    RowMessage,
    SearchAnswer,
    ShardRows,
    Shed,
    VersionGone,
)
from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.hedge_by_quantile import MAX_HEDGES_PER_SHARD, MINIMUM_OBSERVATIONS
from tinrudder.node.decisions.load.fair_queue import StartTimeFairQueue
from tinrudder.node.decisions.replica_choice import LeastLoadedReplica
from tinrudder.node.decisions.service_routing import RoutingTable
from tinrudder.node.outcomes import Complete, Failed, MissingReason, NotRun, Outcome, Partial
from tinrudder.node.query.dispatcher import Dispatcher
from tinrudder.node.query.fan_out import MAX_ATTEMPTS_PER_SHARD, FanOut
from tinrudder.node.query.plan import PlannedShard, QueryPlan
from tinrudder.node.resources.model import Preference, QueryRuleSpec, ShardSpec

OLD_VERSION = 7
NEW_VERSION = 8
LATENCY_S = 0.004
REFUSALS = (Shed(), Shed(0.01), Draining(), NotSent(), VersionGone())


class FanOutMachine(RuleBasedStateMachine):
    """Drives one fan-out and checks it against sets of ended, delivered and started calls."""

    @initialize(
        shards=st.integers(1, 5),
        slots=st.integers(1, 3),
        preference=st.sampled_from(Preference),
        minimum=st.sampled_from((0.0, 0.5, 1.0)),
        repeatable=st.booleans(),
        may_replan=st.booleans(),
        warm=st.booleans(),
    )
    def begin(
        self,
        shards: int,
        slots: int,
        preference: Preference,
        minimum: float,
        repeatable: bool,
        may_replan: bool,
        warm: bool,
    ) -> None:
        self.timers = ManualTimers()
        self.transport = RecordingTransport()
        self.outcomes: list[Outcome] = []
        self.ended: dict[int, bool] = {}
        self.delivered: set[tuple[int, str]] = set()
        self.may_have_run: set[str] = set()
        self.draining_backends: set[str] = set()
        self.checked = 0
        self.abandoned = False
        self.may_replan = may_replan
        self.repeatable = repeatable
        self.backends = [
            BackendRecord(name, "127.0.0.1", 1, "zone", slots, slots) for name in "abc"
        ]
        self.rule = QueryRuleSpec(
            service="service",
            preference=preference,
            minimum_coverage=minimum,
            repeatable=repeatable,
            soft_deadline_ms=40,
        )
        self.routing = RoutingTable(self.timers.time, random.Random(1)).routing_of("service", {})
        for _ in range(MINIMUM_OBSERVATIONS if warm else 0):
            self.routing.latency.observe(LATENCY_S)
        self.names = [f"s{number}" for number in range(shards)]
        dispatcher = Dispatcher(
            self.timers, self.transport, StartTimeFairQueue(self.timers.time), LeastLoadedReplica()
        )
        self.fan_out = FanOut(
            self.plan(OLD_VERSION), dispatcher, self.timers, self.outcomes.append, self
        )
        self.fan_out.start()

    def plan(self, version: int) -> QueryPlan:
        planned = tuple(
            PlannedShard(
                ShardSpec(shard=name, owner=f"owner{number % 2}", backends=("a", "b")),
                (self.backends[number % 3], self.backends[(number + 1) % 3]),
            )
            for number, name in enumerate(self.names)
        )
        return QueryPlan(request_of(), self.rule, 1, "service", version, planned, self.routing)

    def record_version_gone(self, plan: QueryPlan, backend: BackendRecord) -> None:
        pass

    def replan(self, plan: QueryPlan) -> QueryPlan | None:
        if not self.may_replan or not plan.repeatable:
            return None
        return self.plan(NEW_VERSION)

    def open_calls(self) -> list[BackendCall]:
        cancelled = set(self.transport.cancelled)
        return [
            call
            for call in self.transport.calls
            if call.call_id not in self.ended and call.call_id not in cancelled
        ]

    def end(self, call: BackendCall, *, may_have_run: bool) -> None:
        self.ended[call.call_id] = may_have_run
        if may_have_run:
            self.may_have_run.add(call.request.shards[0])

    @precondition(lambda self: self.open_calls())
    @rule(pick=st.integers(0, 99))
    def answer(self, pick: int) -> None:
        call = self.open_calls()[pick % len(self.open_calls())]
        self.end(call, may_have_run=True)
        self.delivered.add((call.request.version, call.request.shards[0]))
        self.transport.reply(call, answer_to(call, call.request.version, call.request.shards[0]))

    @precondition(lambda self: self.open_calls())
    @rule(pick=st.integers(0, 99), wrong_version=st.booleans())
    def answer_wrongly(self, pick: int, wrong_version: bool) -> None:
        call = self.open_calls()[pick % len(self.open_calls())]
        self.end(call, may_have_run=True)
        shard = call.request.shards[0]
        wrong = answer_to(call, 6, shard) if wrong_version else answer_to(call, 7, "other")
        self.transport.reply(call, wrong)

    @precondition(lambda self: self.open_calls())
    @rule(pick=st.integers(0, 99), refusal=st.sampled_from(REFUSALS))
    def refuse(self, pick: int, refusal: object) -> None:
        call = self.open_calls()[pick % len(self.open_calls())]
        self.end(call, may_have_run=False)
        if isinstance(refusal, Draining):
            self.draining_backends.add(call.backend)
        self.transport.reply(call, refusal)

    @precondition(lambda self: self.open_calls())
    @rule(pick=st.integers(0, 99))
    def break_off(self, pick: int) -> None:
        call = self.open_calls()[pick % len(self.open_calls())]
        self.end(call, may_have_run=True)
        self.transport.reply(call, Broken())

    @precondition(lambda self: self.transport.calls)
    @rule(pick=st.integers(0, 99))
    def repeat_late(self, pick: int) -> None:
        """Answer a call that has already ended or was cancelled."""
        call = self.transport.calls[pick % len(self.transport.calls)]
        if call not in self.open_calls():
            self.transport.reply(call, answer_to(call, call.request.version, "late"))

    @rule(milliseconds=st.integers(1, 30))
    def wait(self, milliseconds: int) -> None:
        self.timers.advance(milliseconds / 1000)

    @precondition(lambda self: not self.outcomes)
    @rule()
    def abandon(self) -> None:
        self.abandoned = True
        self.fan_out.abandon()

    @invariant()
    def is_reported_once(self) -> None:
        if not hasattr(self, "timers"):
            return
        assert len(self.outcomes) <= 1
        if self.abandoned:
            assert not self.outcomes
        if self.outcomes or self.abandoned:
            assert not self.open_calls()
            assert all(backend.in_flight == 0 for backend in self.backends)
            assert all(backend.waiting == 0 for backend in self.backends)
        else:
            in_flight = sum(backend.in_flight for backend in self.backends)
            assert in_flight == len(self.open_calls())

    @invariant()
    def sends_within_the_rules(self) -> None:
        if not hasattr(self, "timers"):
            return
        for call in self.transport.calls[self.checked :]:
            shard = call.request.shards[0]
            copies = [c for c in self.transport.calls if c.request.shards[0] == shard]
            versions = {c.request.version for c in copies}
            assert len(copies) <= len(versions) * (MAX_ATTEMPTS_PER_SHARD + MAX_HEDGES_PER_SHARD)
            if not self.repeatable:
                assert len([c for c in copies if self.ended.get(c.call_id, True)]) == 1
                assert versions == {OLD_VERSION}
        self.checked = len(self.transport.calls)

    @invariant()
    def outcome_is_true(self) -> None:
        if not hasattr(self, "timers") or not self.outcomes:
            return
        match self.outcomes[0]:
            case Complete(answer) | Partial(answer):
                self.check_rows(answer)
                ratio = answer.coverage.ratio
                assert (ratio == 1.0) == isinstance(self.outcomes[0], Complete)
                assert ratio >= self.rule.minimum_coverage
            case Failed(coverage=coverage):
                assert self.repeatable or coverage.included
            case NotRun():
                assert not self.may_have_run
                cancelled = set(self.transport.cancelled)
                assert all(call.call_id not in cancelled for call in self.transport.calls)

    def check_rows(self, answer: object) -> None:
        coverage = answer.coverage
        missing = [shard.shard for shard in coverage.missing]
        assert sorted([*coverage.included, *missing]) == sorted(self.names)
        rows = {row.row_id for row in answer.rows}
        assert rows == {f"{answer.version}/{shard}" for shard in coverage.included}
        assert all((answer.version, shard) in self.delivered for shard in coverage.included)
        asked = {call.request.shards[0] for call in self.transport.calls}
        for shard in coverage.missing:
            assert shard.shard in asked or shard.reason in (
                MissingReason.NOT_ASKED,
                MissingReason.NO_REPLICA,
            )

    def teardown(self) -> None:
        if not hasattr(self, "timers"):
            return
        self.timers.advance(DEADLINE_S)
        assert len(self.outcomes) == (0 if self.abandoned else 1)
        self.is_reported_once()
        self.outcome_is_true()


def answer_to(call: BackendCall, version: int, shard: str) -> Answered:
    """Return an answer with one row whose id contains its version and shard."""
    row = RowMessage(1.0, f"{version}/{shard}", msgspec.Raw(b"{}"))
    return Answered(SearchAnswer(call.call_id, version, (ShardRows(shard, (row,)),)))


TestFanOut = FanOutMachine.TestCase
TestFanOut.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)
