"""Model-based test of the accepted state: it depends only on the set of documents seen.

Guards against states that differ between nodes, or revert, when documents arrive out of order, are
repeated or missed, or come from a platform restored to an older revision.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.support.documents import document, tenant
from tinrudder.node.configuration_service.messages import ResourceDocument
from tinrudder.node.resources.accepted import join_states
from tinrudder.node.resources.store import ConfigurationStore
from tinrudder.node.resources.validation import state_of_document, version_of

TENANT_NAMES = ("a", "b", "c")
STORE_COUNT = 3


@dataclass
class TrackedStore:
    """A store and, for the oracle, all documents that it received directly or from other stores."""

    store: ConfigurationStore = field(default_factory=ConfigurationStore)
    seen: list[ResourceDocument] = field(default_factory=list)


def expected_weights(seen: list[ResourceDocument]) -> dict[str, int]:
    """Oracle: the expected weights, found by searching all documents from newest to oldest."""
    ordered = sorted(seen, key=version_of, reverse=True)
    weights = {}
    for name in (raw.name for raw in ordered[0].resources) if ordered else ():
        for older in ordered:
            raw = next((raw for raw in older.resources if raw.name == name), None)
            if raw is None:
                break
            weight = msgspec.json.decode(raw.spec)["weight"]
            if weight > 0:
                weights[name] = weight
                break
    return weights


documents = st.builds(
    lambda revision, weights: document(
        revision, *(tenant(name, weight=weight) for name, weight in weights.items())
    ),
    st.integers(1, 6),
    st.dictionaries(st.sampled_from(TENANT_NAMES), st.integers(0, 3)),
)
store_numbers = st.integers(0, STORE_COUNT - 1)


class AcceptanceMachine(RuleBasedStateMachine):
    """Stores that exchange states and read a platform with repeated and reused revisions."""

    def __init__(self) -> None:
        super().__init__()
        self.tracked_stores = [TrackedStore() for _ in range(STORE_COUNT)]
        self.highest_revisions = [0] * STORE_COUNT

    @rule(number=store_numbers, offered=documents)
    def read_platform(self, number: int, offered: ResourceDocument) -> None:
        self.tracked_stores[number].store.merge_document(offered)
        self.tracked_stores[number].seen.append(offered)

    @rule(number=store_numbers, offered=documents)
    def read_partial_document(self, number: int, offered: ResourceDocument) -> None:
        partial = document(offered.revision + 10, *offered.resources, count=99)
        assert not self.tracked_stores[number].store.merge_document(partial)

    @rule(source=store_numbers, destination=store_numbers)
    def exchange(self, source: int, destination: int) -> None:
        self.tracked_stores[destination].store.merge(self.tracked_stores[source].store.state)
        self.tracked_stores[destination].seen.extend(self.tracked_stores[source].seen)

    @rule(number=store_numbers)
    def restart(self, number: int) -> None:
        self.tracked_stores[number] = TrackedStore()
        self.highest_revisions[number] = 0

    @invariant()
    def matches_the_oracle(self) -> None:
        for tracked in self.tracked_stores:
            specs = tracked.store.current.tenants
            assert {name: spec.weight for name, spec in specs.items()} == expected_weights(
                tracked.seen
            )

    @invariant()
    def revision_is_never_lowered(self) -> None:
        for number, tracked in enumerate(self.tracked_stores):
            revision = tracked.store.current.revision
            assert revision >= self.highest_revisions[number]
            self.highest_revisions[number] = revision

    def teardown(self) -> None:
        """Joining all states in two different orders gives the same digest."""
        states = [tracked.store.state for tracked in self.tracked_stores]
        forward = join_states(join_states(states[0], states[1]), states[2])
        backward = join_states(states[2], join_states(states[1], states[0]))
        assert forward.digest == backward.digest
        assert forward.bucket_digests == backward.bucket_digests


AcceptanceMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=25, deadline=None
)
TestAcceptance = AcceptanceMachine.TestCase


def test_restored_platform_reverts_nothing_and_is_reported() -> None:
    store = ConfigurationStore()
    store.merge_document(document(9, tenant("a", 5, weight=7)))
    assert not store.merge_document(document(3, tenant("a", 2, weight=2)))
    assert (store.current.revision, store.current.tenants["a"].weight) == (9, 7)
    assert store.platform.behind


def test_reused_revision_is_settled_alike_in_any_order() -> None:
    first = document(9, tenant("a", weight=1))
    second = document(9, tenant("a", weight=2))
    stores = [ConfigurationStore(), ConfigurationStore()]
    for store, order in zip(stores, ((first, second), (second, first)), strict=True):
        for offered in order:
            store.merge_document(offered)
    assert stores[0].state.digest == stores[1].state.digest
    assert stores[0].platform.reused or stores[1].platform.reused


def test_deleted_tenant_is_not_restored_by_a_refused_generation() -> None:
    store = ConfigurationStore()
    store.merge_document(document(1, tenant("a", weight=1)))
    store.merge_document(document(2))
    store.merge_document(document(3, tenant("a", 2, weight=0)))
    lagging_store = ConfigurationStore()
    lagging_store.merge_document(document(1, tenant("a", weight=1)))
    lagging_store.merge_document(document(3, tenant("a", 2, weight=0)))
    lagging_store.merge(store.state)
    assert "a" not in store.current.tenants
    assert "a" not in lagging_store.current.tenants


def test_key_given_to_another_tenant_goes_with_the_more_recent_decision() -> None:
    store = ConfigurationStore()
    store.merge_document(document(1, tenant("a", key="k")))
    store.merge_document(document(2, tenant("a", 2, weight=0, key="k"), tenant("b", key="k")))
    assert store.current.credentials["k"].tenant == "b"


@pytest.mark.parametrize("count", [1, 2])
def test_former_objects_are_kept_where_nothing_changed(count: int) -> None:
    offered = document(count, tenant("a"), tenant("b", count, weight=count))
    state = state_of_document(document(9, tenant("a"), tenant("b")))
    again = state_of_document(offered, previous_state=state)
    same = [again.resources[key] is state.resources[key] for key in sorted(state.resources)]
    assert same == [True, count == 1]
