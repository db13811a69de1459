"""Admission control: components of the expected wait; without waiting calls nothing is refused."""

from __future__ import annotations

import random

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.expected_wait_admission import (
    ExpectedWaitAdmission,
    Overload,
    QueryDemand,
)
from tinrudder.node.decisions.load.fair_queue import StartTimeFairQueue
from tinrudder.node.decisions.load.pending_calls import PendingCall
from tinrudder.node.resources.model import Priority

LATENCY_S = 0.01


class Harness:
    """Two back ends of two slots each, 10 ms a call."""

    def __init__(self) -> None:
        self.queue = StartTimeFairQueue(lambda: 0.0)
        self.backends = tuple(
            BackendRecord(name, "127.0.0.1", 1, "zone", 2, 2, latency_s=LATENCY_S) for name in "xy"
        )
        self.admission = ExpectedWaitAdmission(self.queue, random.Random(1))

    def wait(
        self, tenant: str, calls: int, priority: Priority = Priority.INTERACTIVE, weight: int = 1
    ) -> None:
        for _ in range(calls):
            call = PendingCall(
                tenant, weight, priority, 1.0, self.backends, 9.0, lambda backend: None
            )
            self.queue.push(call)

    def ask(
        self,
        tenant: str,
        left_s: float,
        priority: Priority = Priority.INTERACTIVE,
        shards: int = 4,
        needed: int | None = None,
    ) -> Overload | None:
        demand = QueryDemand(
            tenant, 1, priority, [self.backends] * shards, needed or shards, 5.0 + left_s
        )
        return self.admission.check(demand, 5.0)


def test_nothing_is_refused_while_nothing_waits() -> None:
    harness = Harness()
    assert harness.ask("a", 0.001) is None


def test_own_backlog_counts_in_full() -> None:
    harness = Harness()
    harness.wait("a", 200)
    assert harness.ask("a", 0.3) is not None
    assert harness.ask("a", 1.0) is None


def test_another_tenants_backlog_counts_only_by_share() -> None:
    harness = Harness()
    harness.wait("noisy", 1000)
    assert harness.ask("light", 0.1) is None
    assert harness.ask("noisy", 0.1) is not None


def test_own_batch_backlog_does_not_shut_out_interactive() -> None:
    harness = Harness()
    harness.wait("a", 1000, Priority.BATCH)
    assert harness.ask("a", 0.1, Priority.BATCH) is not None
    assert harness.ask("a", 0.1) is None


def test_shards_beyond_the_needed_coverage_do_not_refuse() -> None:
    harness = Harness()
    harness.wait("a", 10)
    slow = BackendRecord("slow", "127.0.0.1", 1, "zone", 1, 1, latency_s=9.0)
    replicas = [harness.backends] * 9 + [(slow,)]
    for needed, refused in ((9, False), (10, True)):
        demand = QueryDemand("a", 1, Priority.INTERACTIVE, replicas, needed, 5.4)
        assert (harness.admission.check(demand, 5.0) is not None) == refused


def test_retry_after_grows_with_the_backlog() -> None:
    harness = Harness()
    harness.wait("a", 200)
    first = harness.ask("a", 0.1)
    harness.wait("a", 2000)
    second = harness.ask("a", 0.1)
    assert first is not None and second is not None
    assert second.retry_after_s > 2 * first.retry_after_s
