"""The fair queue against a model: no call lost or duplicated, weights obeyed, no class starved."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.call_queue import IncomingCalls
from tinrudder.node.decisions.load.fair_queue import SWEEP_SLACK, StartTimeFairQueue
from tinrudder.node.decisions.load.pending_calls import (
    COMPACTION_SLACK,
    MAX_SKIPS,
    PendingCall,
)
from tinrudder.node.resources.model import Priority

WEIGHTS = {"a": 1, "b": 2, "c": 8}


def backend_of(name: str) -> BackendRecord:
    return BackendRecord(name, "127.0.0.1", 1, "zone", 2, 2)


def call_of(
    tenant: str,
    *candidates: BackendRecord,
    weight: int = 1,
    priority: Priority = Priority.INTERACTIVE,
    cost: float = 1.0,
) -> PendingCall:
    return PendingCall(tenant, weight, priority, cost, candidates, 1.0, lambda backend: None)


class QueueAgainstOracle(RuleBasedStateMachine):
    """The model is a list of the waiting calls in order of arrival."""

    def __init__(self) -> None:
        super().__init__()
        self.backends = [backend_of(name) for name in "xyz"]
        self.queue = StartTimeFairQueue(lambda: 0.0, burst=4.0)
        self.waiting: list[PendingCall] = []

    @rule(
        tenant=st.sampled_from(sorted(WEIGHTS)),
        priority=st.sampled_from(list(Priority)),
        places=st.sets(st.integers(0, 2), min_size=1),
        cost=st.sampled_from([0.5, 1.0, 3.0]),
        direct=st.booleans(),
    )
    def arrive(
        self, tenant: str, priority: Priority, places: set[int], cost: float, direct: bool
    ) -> None:
        candidates = [self.backends[place] for place in sorted(places)]
        call = call_of(tenant, *candidates, weight=WEIGHTS[tenant], priority=priority, cost=cost)
        if direct and not candidates[0].waiting:
            self.queue.charge_unqueued(call, candidates[0])
            return
        self.queue.push(call)
        self.waiting.append(call)

    @rule(place=st.integers(0, 2))
    def take(self, place: int) -> None:
        backend = self.backends[place]
        call = self.queue.pop(backend)
        eligible = [waiting for waiting in self.waiting if backend in waiting.candidates]
        if call is None:
            assert not eligible
            return
        same_class = [w for w in eligible if (w.tenant, w.priority) == (call.tenant, call.priority)]
        assert call is same_class[0]
        self.waiting.remove(call)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def withdraw(self, data: st.DataObject) -> None:
        call = data.draw(st.sampled_from(self.waiting))
        self.queue.discard(call)
        self.queue.discard(call)
        self.waiting.remove(call)

    @invariant()
    def counts_agree(self) -> None:
        assert len(self.queue) == len(self.waiting)
        for backend in self.backends:
            here = [call for call in self.waiting if backend in call.candidates]
            assert backend.waiting == len(here)
            work = sum(call.cost / len(call.candidates) for call in here)
            nobody = IncomingCalls("nobody", 1, Priority.BATCH, 10_000.0, 2.0)
            expected = self.queue.expected_wait_s(backend, nobody)
            assert expected == pytest.approx(2.0 * (work + 10_000.0))


QueueAgainstOracle.TestCase.settings = settings(max_examples=60, stateful_step_count=60)
TestQueueAgainstOracle = QueueAgainstOracle.TestCase


@settings(max_examples=40)
@given(weights=st.lists(st.integers(1, 16), min_size=2, max_size=6), rounds=st.integers(1, 400))
def test_backlogged_tenants_share_by_weight(weights: list[int], rounds: int) -> None:
    queue = StartTimeFairQueue(lambda: 0.0)
    backend = backend_of("x")
    for number, weight in enumerate(weights):
        for _ in range(rounds):
            queue.push(call_of(f"t{number}", backend, weight=weight))
    taken = Counter(queue.pop(backend).tenant for _ in range(rounds))
    served = [taken[f"t{number}"] / weight for number, weight in enumerate(weights)]
    assert max(served) - min(served) <= 2 / min(weights)


def test_returning_tenant_goes_first_for_one_burst_only() -> None:
    queue = StartTimeFairQueue(lambda: 0.0, burst=5.0)
    backend = backend_of("x")
    for _ in range(100):
        queue.push(call_of("noisy", backend))
    queue.push(call_of("light", backend))
    for _ in range(50):
        queue.pop(backend)
    for _ in range(50):
        queue.push(call_of("light", backend))
    order = [queue.pop(backend).tenant for _ in range(15)]
    assert order[:5] == ["light"] * 5
    assert order[5:].count("noisy") == 5


def test_batch_is_passed_over_a_bounded_number_of_times() -> None:
    queue = StartTimeFairQueue(lambda: 0.0)
    backend = backend_of("x")
    queue.push(call_of("a", backend, priority=Priority.BATCH))
    queue.push(call_of("a", backend, priority=Priority.PLANNING))
    served = []
    for _ in range(MAX_SKIPS[2] + 1):
        queue.push(call_of("a", backend))
        served.append(queue.pop(backend).priority)
    assert served.index(Priority.PLANNING) == MAX_SKIPS[1]
    assert served.index(Priority.BATCH) <= MAX_SKIPS[2]


def test_calls_taken_elsewhere_do_not_pile_up() -> None:
    queue = StartTimeFairQueue(lambda: 0.0)
    stuck, lively = backend_of("stuck"), backend_of("lively")
    queue.push(call_of("a", stuck))
    for _ in range(1000):
        queue.push(call_of("a", stuck, lively))
        queue.pop(lively)
    flow = queue._lanes[stuck].flows["a"]
    assert flow.entries <= 2 * flow.waiting + COMPACTION_SLACK


def test_idle_tenants_are_forgotten() -> None:
    queue = StartTimeFairQueue(lambda: 0.0, burst=1.0)
    backend = backend_of("x")
    for number in range(2000):
        queue.push(call_of(f"t{number}", backend))
        queue.push(call_of("steady", backend))
        queue.pop(backend)
        queue.pop(backend)
    assert len(queue._lanes[backend].flows) <= 4 * SWEEP_SLACK


def test_a_tenants_wait_follows_the_pace_at_which_it_was_served() -> None:
    now = 0.0
    queue = StartTimeFairQueue(lambda: now)
    backend = backend_of("x")
    for _ in range(200):
        queue.push(call_of("slow", backend))
    for _ in range(100):
        now += 0.1
        queue.pop(backend)
        queue.charge_unqueued(call_of("favoured", backend), backend)
    incoming = IncomingCalls("slow", 1, Priority.INTERACTIVE, 1.0, 0.001)
    assert queue.expected_wait_s(backend, incoming) == pytest.approx(101 * 0.1)
