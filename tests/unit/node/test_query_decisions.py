"""Decisions of one query: hedges, owner precedence, replanning, operations and early ending."""

from __future__ import annotations

import random

import pytest

from tests.support.fakes import ManualTimers, RecordingTransport
from tests.unit.node.test_fan_out import DEADLINE_S, NoOtherVersion, request_of
from tinrudder.node.backends.messages import Broken, Draining, NotSent, Shed, VersionGone
from tinrudder.node.decisions.backend_table import BackendTable
from tinrudder.node.decisions.hedge_by_quantile import MINIMUM_OBSERVATIONS
from tinrudder.node.decisions.load.fair_queue import StartTimeFairQueue
from tinrudder.node.decisions.replica_choice import LeastLoadedReplica
from tinrudder.node.decisions.service_routing import RoutingTable
from tinrudder.node.outcomes import (
    Complete,
    Failed,
    FailedReason,
    MayHaveRun,
    MissingReason,
    NotRun,
    NotRunReason,
    Outcome,
)
from tinrudder.node.query.dispatcher import Dispatcher
from tinrudder.node.query.fan_out import FanOut
from tinrudder.node.query.plan import Planner, QueryPlan
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.model import (
    BackendSpec,
    IndexSpec,
    IndexVersionSpec,
    Preference,
    QueryRuleSpec,
    ServiceSpec,
    ShardSpec,
    TenantSpec,
)

SLOTS = 5
OLD_VERSION, NEW_VERSION = 1, 2


class OneService:
    """A service with two back ends, two index versions and a planner."""

    def __init__(self, shards: int = 8, *, warm: bool = True, **rule: object) -> None:
        self.timers = ManualTimers()
        self.transport = RecordingTransport()
        self.outcomes: list[Outcome] = []
        self.configuration = make_configuration(shards, rule)
        self.backends = BackendTable()
        self.backends.update(self.configuration.backends)
        table = RoutingTable(self.timers.time, random.Random(1))
        self.planner = Planner(self.timers, lambda: self.configuration, self.backends, table)
        self.routing = table.routing_of("service", {})
        for number in range(MINIMUM_OBSERVATIONS if warm else 0):
            self.routing.latency.observe(0.003 + number * 1e-5)
        self.dispatcher = Dispatcher(
            self.timers, self.transport, StartTimeFairQueue(self.timers.time), LeastLoadedReplica()
        )

    def start(self, replanner: object | None = None, **request: object) -> None:
        plan = self.planner.plan(request_of(**request))
        if not isinstance(plan, QueryPlan):
            self.outcomes.append(plan)
            return
        self.fan_out = FanOut(
            plan, self.dispatcher, self.timers, self.outcomes.append, replanner or self.planner
        )
        self.fan_out.start()

    def answer_all_but(self, *left_out: str) -> None:
        for call in tuple(self.transport.calls):
            if call.request.shards[0] not in left_out:
                self.transport.answer(call, 1.0)

    def reply_to_all(self, reply: object) -> None:
        answered = 0
        while answered < len(self.transport.calls):
            self.transport.reply(self.transport.calls[answered], reply)
            answered += 1

    @property
    def outcome(self) -> Outcome:
        assert len(self.outcomes) == 1
        return self.outcomes[0]


def make_configuration(shards: int, rule: dict[str, object]) -> Configuration:
    specs = tuple(
        ShardSpec(shard=f"s{number}", owner=f"owner{number % 4}", backends=("a", "b"))
        for number in range(shards)
    )
    versions = tuple(
        IndexVersionSpec(version=version, shards=specs) for version in (OLD_VERSION, NEW_VERSION)
    )
    backends = {
        name: BackendSpec(service="service", host="127.0.0.1", port=1, zone="z", slots=SLOTS)
        for name in "ab"
    }
    return Configuration(
        tenants={"acme": TenantSpec()},
        services={"service": ServiceSpec(region="r", tenants=("acme",))},
        backends=backends,
        indexes={"stock": IndexSpec(service="service", versions=versions)},
        rules={"rule": QueryRuleSpec(service="service", **rule)},
    )


def test_overdue_call_is_hedged_once_elsewhere_and_the_loser_cancelled() -> None:
    service = OneService()
    service.start()
    service.answer_all_but("s3")
    service.timers.advance(0.006)
    first, hedge = [c for c in service.transport.calls if c.request.shards == ("s3",)][:2]
    assert first.backend != hedge.backend
    service.transport.answer(hedge, 1.0)
    assert isinstance(service.outcome, Complete)
    assert first.call_id in service.transport.cancelled
    assert all(record.in_flight == 0 for record in service.backends.all_records())


@pytest.mark.parametrize("rule", [{"repeatable": False}, {"policies": {"hedge": "none"}}])
def test_no_hedge_for_what_must_not_repeat_or_where_the_rule_says_none(rule: dict) -> None:
    service = OneService(**rule)
    service.start()
    service.answer_all_but("s3")
    service.timers.advance(DEADLINE_S)
    assert len(service.transport.calls) == 8


def test_hedges_stop_when_every_back_end_is_slow() -> None:
    service = OneService()
    service.start()
    service.timers.advance(0.05)
    assert len(service.transport.calls) == 8


def test_coverage_first_hedges_the_missing_owner_first_when_one_hedge_is_left() -> None:
    service = OneService(preference=Preference.COVERAGE)
    service.start()
    service.answer_all_but("s1", "s3", "s7")
    budget = service.routing.hedge._budget
    budget.tokens = 1.0
    service.timers.advance(0.0061)
    hedged = [call.request.shards[0] for call in service.transport.calls[8:]]
    assert hedged == ["s3"], "owner3 lacks both s3 and s7, while owner1 still has s5"


def test_latency_first_returns_as_soon_as_coverage_suffices_after_the_soft_deadline() -> None:
    service = OneService(minimum_coverage=0.5, soft_deadline_ms=20, policies={"hedge": "none"})
    service.start()
    service.answer_all_but("s0", "s1", "s2", "s3", "s4")
    service.timers.advance(0.03)
    assert service.outcomes == []
    service.transport.answer(service.transport.calls[0], 1.0)
    assert service.outcome.answer.coverage.ratio == 0.5


def test_query_moves_as_a_whole_to_the_version_that_is_still_served() -> None:
    service = OneService(shards=3)
    service.start()
    assert {call.request.version for call in service.transport.calls} == {NEW_VERSION}
    service.transport.answer(service.transport.calls[0], 1.0)
    for _ in range(2):
        call = next(c for c in service.transport.calls[::-1] if c.request.shards == ("s1",))
        service.transport.reply(call, VersionGone((OLD_VERSION,)))
    replanned = [c for c in service.transport.calls if c.request.version == OLD_VERSION]
    assert len(replanned) == 3
    for call in replanned:
        service.transport.answer(call, 2.0)
    assert service.outcome.answer.version == OLD_VERSION
    assert {row.order for row in service.outcome.answer.rows} == {2.0}


def test_refusals_after_replanning_are_no_longer_not_run() -> None:
    service = OneService(shards=2)
    service.start()
    service.transport.answer(service.transport.calls[0], 1.0)
    for _ in range(2):
        call = next(c for c in service.transport.calls[::-1] if c.request.shards == ("s1",))
        service.transport.reply(call, VersionGone())
    for call in [c for c in service.transport.calls if c.request.version == OLD_VERSION]:
        service.transport.reply(call, Draining())
    while not service.outcomes:
        service.transport.reply(service.transport.calls[-1], Draining())
    assert isinstance(service.outcome, Failed)


def test_later_page_stays_on_its_version_and_says_when_it_is_gone() -> None:
    service = OneService(shards=2)
    service.start(version=OLD_VERSION)
    service.reply_to_all(VersionGone())
    assert isinstance(service.outcome, Failed)
    assert service.outcome.reason is FailedReason.VERSION_GONE
    unknown = OneService(shards=2)
    unknown.start(version=9)
    assert unknown.outcome.reason is FailedReason.VERSION_GONE


@pytest.mark.parametrize("reply", [Shed(), Draining(), NotSent(), VersionGone()])
def test_operation_refused_everywhere_is_not_run(reply: object) -> None:
    service = OneService()
    service.start(operation="purchase", shards=("s1",))
    service.reply_to_all(reply)
    assert isinstance(service.outcome, NotRun)


@pytest.mark.parametrize("broken", [True, False])
def test_operation_that_may_have_left_is_sent_once(broken: bool) -> None:
    service = OneService()
    service.start(operation="purchase", shards=("s1",))
    if broken:
        service.reply_to_all(Broken())
    service.timers.advance(DEADLINE_S)
    assert len(service.transport.calls) == 1
    assert isinstance(service.outcome, MayHaveRun)


def test_operation_names_exactly_one_shard() -> None:
    service = OneService()
    service.start(operation="purchase")
    assert service.outcome.reason is NotRunReason.INVALID_REQUEST


def test_query_that_cannot_meet_its_rule_ends_at_once() -> None:
    service = OneService(warm=False)
    service.start(NoOtherVersion())
    service.transport.answer(service.transport.calls[0], 1.0)
    shard = service.transport.calls[1].request.shards
    while not service.outcomes:
        call = next(c for c in service.transport.calls[::-1] if c.request.shards == shard)
        service.transport.reply(call, Broken())
    assert service.timers.now == 0.0
    missing = {
        missing_shard.shard: missing_shard.reason
        for missing_shard in service.outcome.coverage.missing
    }
    assert missing[shard[0]] is MissingReason.BROKEN
    assert MissingReason.GIVEN_UP in missing.values()
    assert all(record.in_flight == 0 for record in service.backends.all_records())
