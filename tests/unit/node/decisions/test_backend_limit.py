"""Adaptive back-end limits: bounds against a model of the calls in flight, and convergence."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.backend_limit import AdaptiveLimit


def record_of(slots: int) -> BackendRecord:
    return BackendRecord("b", "127.0.0.1", 1, "zone", slots, slots)


class LimitAgainstOracle(RuleBasedStateMachine):
    """The model is the list of the times at which the calls in flight were sent."""

    @initialize(slots=st.integers(1, 12))
    def start(self, slots: int) -> None:
        self.policy = AdaptiveLimit()
        self.backend = record_of(slots)
        self.sent_at: list[float] = []
        self.now = 0.0

    @rule()
    def send_if_allowed(self) -> None:
        self.now += 0.001
        if self.backend.may_send():
            self.backend.in_flight += 1
            self.sent_at.append(self.now)

    @precondition(lambda self: self.sent_at)
    @rule(shed=st.booleans(), place=st.integers(0, 11))
    def end_a_call(self, shed: bool, place: int) -> None:
        self.now += 0.001
        sent_at = self.sent_at.pop(place % len(self.sent_at))
        if shed:
            self.policy.on_shed(self.backend, sent_at, self.now)
        else:
            self.policy.on_answer(self.backend)
        self.backend.in_flight -= 1

    @rule(share=st.integers(1, 12), headroom=st.sampled_from([1.0, 2.0]))
    def change_share(self, share: int, headroom: float) -> None:
        self.backend.set_share(share, headroom)

    @invariant()
    def stays_within_bounds(self) -> None:
        backend = self.backend
        assert 1.0 <= backend.limit <= backend.max_limit
        assert backend.in_flight == len(self.sent_at)
        assert backend.may_send() == (backend.in_flight < int(backend.limit))
        most = int(backend.limit * backend.headroom)
        assert backend.may_exceed_limit() == (backend.in_flight < most)


LimitAgainstOracle.TestCase.settings = settings(max_examples=60, stateful_step_count=50)
TestLimitAgainstOracle = LimitAgainstOracle.TestCase


@dataclass
class RoundSimulation:
    """Sends as many calls as allowed per round to a back end that sheds beyond its real slots."""

    backend: BackendRecord
    policy: AdaptiveLimit = field(default_factory=AdaptiveLimit)
    now: float = 0.0

    def run(self, slots: int, rounds: int) -> int:
        """Return the number of calls shed."""
        shed = 0
        for _ in range(rounds):
            sent_at, self.now = self.now, self.now + 1.0
            while self.backend.may_send():
                self.backend.in_flight += 1
            for place in range(self.backend.in_flight):
                if place < slots:
                    self.policy.on_answer(self.backend)
                else:
                    shed += 1
                    self.policy.on_shed(self.backend, sent_at, self.now)
                self.backend.in_flight -= 1
        return shed


def test_limit_finds_fewer_slots_than_configured_and_comes_back() -> None:
    rounds = RoundSimulation(record_of(8))
    rounds.run(slots=4, rounds=100)
    shed = rounds.run(slots=4, rounds=100)
    assert 2.0 <= rounds.backend.limit <= 5.0
    assert shed <= 10
    rounds.run(slots=8, rounds=300)
    assert rounds.backend.limit == 8


def test_one_round_of_refusals_lowers_the_limit_once() -> None:
    backend, policy = record_of(10), AdaptiveLimit()
    for _ in range(5):
        policy.on_shed(backend, 1.0, 2.0)
    assert backend.limit == 7.0
