"""The entry: which coordinator gets a query, and the outcome when relays are lost."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import async_solipsism
import pytest

from tests.support.fakes import ManualTimers
from tinrudder.cluster.view import Member
from tinrudder.node.decisions.coordinator_ranking import CoordinatorRanking
from tinrudder.node.decisions.coordinator_set import CoordinatorSet
from tinrudder.node.outcomes import (
    Answer,
    Complete,
    Coverage,
    MayHaveRun,
    MayHaveRunReason,
    NotRun,
    NotRunReason,
    Outcome,
)
from tinrudder.node.query.coordinator_prober import CoordinatorProber
from tinrudder.node.query.entry import Entry
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.model import IndexSpec, IndexVersionSpec, QueryRuleSpec, ShardSpec
from tinrudder.peers import PeerAddress, PeerLostError, PeerNotSentError

LOCAL = Complete(Answer(1, (), Coverage(("local",))))
REMOTE = Complete(Answer(1, (), Coverage(("remote",))))
REFUSED = NotRun(NotRunReason.OVERLOADED)
STOPPING = NotRun(NotRunReason.STOPPING)
NOT_SENT = PeerNotSentError("refused")
LOST = PeerLostError("reset")
SILENT = PeerLostError("no answer")
DEADLINE_S = 1.0

Reaction = Outcome | Exception


def member(name: str, zone: str = "far") -> Member:
    return Member(name, 1, zone, "r", PeerAddress(name, 1))


@dataclass
class Harness:
    """An entry in zone ``near`` whose coordinators react as scripted."""

    reactions: dict[str, Reaction] = field(default_factory=dict)
    repeatable: bool = True
    local: Outcome = LOCAL
    step_s: float = 0.0
    delay_s: float = 0.0
    probes_time_out: bool = False
    timers: ManualTimers = field(default_factory=ManualTimers)
    asked: list[str] = field(default_factory=list)
    probed: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    local_runs: int = 0
    forwarded: int = 0

    def __post_init__(self) -> None:
        shard = ShardSpec(shard="s", owner="o", backends=("b",))
        version = IndexVersionSpec(version=1, shards=(shard,))
        index = IndexSpec(service="service", versions=(version,))
        rule = QueryRuleSpec(service="service", repeatable=self.repeatable)
        self.configuration = Configuration(1, indexes={"index": index}, rules={"rule": rule})
        self.members = tuple(member(name) for name in self.reactions)
        self.ranking = CoordinatorRanking("me", "near", self.timers)
        self.entry = Entry(
            "me",
            self.timers,
            _Runner(self),
            _Relay(self),
            self.ranking,
            CoordinatorProber(_Relay(self), self.ranking, self.timers),
            self._set,
            lambda: self.configuration,
        )

    def _set(self, service: str) -> CoordinatorSet:
        names = frozenset(entry.name for entry in self.members)
        return CoordinatorSet(service, self.members, names)

    def run(self, relayed: bool = False, forwarded: bool = False) -> Outcome:
        deadline = self.timers.time() + DEADLINE_S
        request = QueryRequest("q", "t", "index", "rule", {}, "time", False, 1, deadline)

        async def run_and_settle() -> Outcome:
            if relayed:
                outcome = await self.entry.run_relayed(request, forwarded)
            else:
                outcome = await self.entry.run(request)
            await asyncio.sleep(0)
            return outcome

        loop = async_solipsism.EventLoop()
        try:
            return loop.run_until_complete(run_and_settle())
        finally:
            loop.close()


@dataclass
class _Runner:
    harness: Harness

    async def run(self, request: QueryRequest) -> Outcome:
        self.harness.local_runs += 1
        return self.harness.local


@dataclass
class _Relay:
    harness: Harness

    async def run(
        self, coordinator: PeerAddress, request: QueryRequest, *, forwarded: bool = False
    ) -> Outcome:
        self.harness.forwarded += forwarded
        self.harness.asked.append(coordinator.host)
        self.harness.timers.advance(self.harness.step_s)
        reaction = self.harness.reactions[coordinator.host]
        try:
            await asyncio.sleep(DEADLINE_S if reaction is SILENT else self.harness.delay_s)
        except asyncio.CancelledError:
            self.harness.cancelled.append(coordinator.host)
            raise
        if isinstance(reaction, Exception):
            raise reaction
        return reaction

    async def probe(self, coordinator: PeerAddress, timeout_s: float) -> None:
        self.harness.probed.append(coordinator.host)
        reaction = self.harness.reactions[coordinator.host]
        if isinstance(reaction, Exception):
            raise reaction
        if self.harness.probes_time_out:
            raise SILENT


def test_coordinator_runs_its_own_queries() -> None:
    harness = Harness({"a": REMOTE, "me": REMOTE})
    assert harness.run() == LOCAL
    assert harness.asked == []


def test_own_zone_is_asked_first() -> None:
    harness = Harness({"a": REMOTE, "b": REMOTE, "c": REMOTE})
    harness.members = (member("a"), member("b", "near"), member("c"))
    assert harness.run() == REMOTE
    assert harness.asked == ["b"]


@pytest.mark.parametrize("first", [NOT_SENT, STOPPING])
@pytest.mark.parametrize("repeatable", [True, False])
def test_untouched_query_goes_on_to_the_next(first: Reaction, repeatable: bool) -> None:
    harness = Harness({"a": first, "b": REMOTE}, repeatable=repeatable)
    harness.members = (member("a", "near"), member("b"))
    assert harness.run() == REMOTE
    assert harness.asked == ["a", "b"]


def test_refusal_for_load_is_not_taken_elsewhere() -> None:
    harness = Harness({"a": REFUSED, "b": REFUSED})
    assert harness.run() == REFUSED
    assert len(harness.asked) == 1


def test_lost_non_repeatable_query_may_have_run() -> None:
    harness = Harness({"a": LOST, "b": REMOTE}, repeatable=False)
    harness.members = (member("a", "near"), member("b"))
    outcome = harness.run()
    assert isinstance(outcome, MayHaveRun)
    assert outcome.reason is MayHaveRunReason.RELAY_LOST
    assert harness.asked == ["a"]
    assert harness.local_runs == 0


def test_lost_query_is_asked_again_once_at_most() -> None:
    harness = Harness({"a": LOST, "b": LOST, "c": LOST})
    outcome = harness.run()
    assert isinstance(outcome, MayHaveRun)
    assert len(harness.asked) == 2
    assert harness.local_runs == 0


def test_not_run_is_never_reported_after_a_lost_relay() -> None:
    harness = Harness({"a": LOST, "b": REFUSED})
    harness.members = (member("a", "near"), member("b"))
    assert isinstance(harness.run(), MayHaveRun)
    harness = Harness({"a": LOST}, local=REFUSED)
    assert isinstance(harness.run(), MayHaveRun)


def test_lost_at_the_deadline_is_not_asked_again() -> None:
    harness = Harness({"a": LOST, "b": REMOTE}, step_s=DEADLINE_S)
    assert isinstance(harness.run(), MayHaveRun)
    assert len(harness.asked) == 1


def test_unreachable_coordinators_leave_the_work_to_the_entry() -> None:
    harness = Harness({"a": NOT_SENT, "b": NOT_SENT}, repeatable=False)
    assert harness.run() == LOCAL
    assert harness.run() == LOCAL
    assert len(harness.asked) == 2, "a failed coordinator got another query within its back-off"


def test_failed_coordinator_gets_no_query_before_a_probe_has_succeeded() -> None:
    harness = Harness({"a": NOT_SENT})
    assert harness.run() == LOCAL
    harness.timers.advance(60.0)
    assert harness.run() == LOCAL
    assert harness.probed == ["a"]
    harness.timers.advance(60.0)
    harness.reactions["a"] = REMOTE
    assert harness.run() == LOCAL
    assert harness.run() == REMOTE
    assert harness.probed == ["a", "a"]


def test_silent_coordinator_is_given_up_while_there_is_time() -> None:
    harness = Harness({"a": SILENT})
    assert harness.run() == LOCAL
    assert harness.probed == ["a"]
    harness = Harness({"a": SILENT}, repeatable=False)
    assert isinstance(harness.run(), MayHaveRun)
    assert harness.probed == []


@pytest.mark.parametrize(("late", "expected"), [(REMOTE, REMOTE), (REFUSED, REFUSED)])
def test_slow_coordinator_is_awaited_before_not_run_is_reported(
    late: Outcome, expected: Outcome
) -> None:
    harness = Harness({"a": late}, local=REFUSED, delay_s=0.9, probes_time_out=True)
    assert harness.run() == expected
    assert harness.local_runs == 1
    harness = Harness({"a": late}, delay_s=0.9, probes_time_out=True)
    assert harness.run() == LOCAL
    assert harness.cancelled == ["a"]


def test_relayed_query_of_a_coordinator_that_answers_is_forwarded_once() -> None:
    harness = Harness({"a": REMOTE})
    assert harness.run(relayed=True) == REMOTE
    assert (harness.asked, harness.forwarded) == (["a"], 1)
    assert harness.run(relayed=True, forwarded=True) == LOCAL
    assert harness.asked == ["a"]


def test_relayed_query_of_a_coordinator_that_does_not_answer_is_run() -> None:
    harness = Harness({"a": NOT_SENT})
    assert harness.run(relayed=True) == LOCAL
    assert (harness.probed, harness.asked) == (["a"], [])
