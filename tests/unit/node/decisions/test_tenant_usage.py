"""Tenant caps are never exceeded, and closed queries leave no usage behind."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tinrudder.node.decisions.load.tenant_usage import (
    Cap,
    QueryPermit,
    TenantCaps,
    TenantUsageTable,
)

CAPS = TenantCaps(queries=3, queue_places=6, buffered_bytes=100)


class UsageAgainstOracle(RuleBasedStateMachine):
    """The model records the bytes that every open query of both tenants holds."""

    def __init__(self) -> None:
        super().__init__()
        self.table = TenantUsageTable()
        self.open: list[tuple[str, QueryPermit]] = []
        self.held: dict[QueryPermit, int] = {}

    def held_by(self, tenant: str) -> int:
        return sum(self.held[permit] for name, permit in self.open if name == tenant)

    def queries_of(self, tenant: str) -> int:
        return sum(1 for name, _ in self.open if name == tenant)

    @rule(tenant=st.sampled_from("ab"), calls=st.integers(1, 8))
    def begin(self, tenant: str, calls: int) -> None:
        permit = self.table.begin(tenant, CAPS, calls)
        if self.queries_of(tenant) >= CAPS.queries:
            assert permit is Cap.QUERIES
        elif calls > CAPS.queue_places:
            assert permit is Cap.QUEUE_PLACES
        elif self.held_by(tenant) >= CAPS.buffered_bytes:
            assert permit is Cap.BUFFERED_BYTES
        else:
            assert isinstance(permit, QueryPermit)
            self.open.append((tenant, permit))
            self.held[permit] = 0

    @precondition(lambda self: self.open)
    @rule(place=st.integers(0, 5), size=st.integers(0, 70))
    def hold(self, place: int, size: int) -> None:
        tenant, permit = self.open[place % len(self.open)]
        fits = self.held_by(tenant) + size <= CAPS.buffered_bytes
        assert permit.reserve_bytes(size) == fits
        self.held[permit] += size if fits else 0

    @precondition(lambda self: self.open)
    @rule(place=st.integers(0, 5))
    def end(self, place: int) -> None:
        _, permit = self.open.pop(place % len(self.open))
        permit.close()
        permit.close()

    @invariant()
    def usage_is_what_open_queries_hold(self) -> None:
        for tenant in "ab":
            usage = self.table.of(tenant)
            assert (usage is None) == (self.queries_of(tenant) == 0)
            if usage is not None:
                assert usage.queries == self.queries_of(tenant)
                assert usage.buffered_bytes == self.held_by(tenant)


UsageAgainstOracle.TestCase.settings = settings(max_examples=60, stateful_step_count=50)
TestUsageAgainstOracle = UsageAgainstOracle.TestCase


def test_queue_places_are_capped_and_returned() -> None:
    table = TenantUsageTable()
    permit = table.begin("a", CAPS, 4)
    assert isinstance(permit, QueryPermit)
    assert [permit.usage.acquire_queue_place() for _ in range(7)] == [True] * 6 + [False]
    assert table.begin("a", CAPS, 1) is Cap.QUEUE_PLACES
    permit.usage.release_queue_place()
    assert isinstance(table.begin("a", CAPS, 1), QueryPermit)
