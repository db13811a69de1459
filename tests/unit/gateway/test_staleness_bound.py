"""The staleness bound never claims knowledge that is more recent than it is."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.support.store_revisions import at
from tinrudder.gateway.store.staleness_bound import StalenessBound
from tinrudder.gateway.store.store_revision import NO_REVISION, StoreRevision
from tinrudder.gateway.store.stored_values import Topic
from tinrudder.gateway.store.topic_history import TopicHistory

NODES = st.integers(0, 2)


@dataclass
class FakeState:
    """The part of the shared state that the bound uses."""

    known: TopicHistory = field(default_factory=lambda: TopicHistory(lambda: 0.0))
    may_lack_lost_writes: bool = False
    listeners: list[object] = field(default_factory=list)

    def history(self, topic: Topic) -> TopicHistory:
        return self.known

    def subscribe(self, listener: object) -> None:
        self.listeners.append(listener)

    def learn(self, revision: StoreRevision) -> None:
        if revision > self.known.revision:
            self.known.observe(revision)
            for listener in self.listeners:
                listener()  # type: ignore[operator]


@dataclass
class PendingRequest:
    """A request to the store or to a gateway; answered at some moment, then delivered or lost."""

    asker: int
    sent_at: float
    answered: bool = False
    revision: StoreRevision = NO_REVISION
    age_s: float | None = None


class KnowledgeMachine(RuleBasedStateMachine):
    """Three gateways and a store: messages take any time, and may be duplicated or lost.

    A pause of a gateway is a time without any delivery to it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.changes: list[float] = []
        self.states = [FakeState() for _ in range(3)]
        self.known = [StalenessBound(state, lambda: self.now) for state in self.states]  # type: ignore[arg-type]
        self.reads: list[PendingRequest] = []
        self.probes: list[tuple[PendingRequest, int]] = []

    @rule(seconds=st.floats(0.001, 4.0))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def operator_changes_something(self) -> None:
        self.changes.append(self.now)

    @rule(asker=NODES)
    def ask_store(self, asker: int) -> None:
        self.reads.append(PendingRequest(asker, self.now))

    @rule(which=st.integers(0, 5))
    def store_answers(self, which: int) -> None:
        waiting = [read for read in self.reads if not read.answered]
        if waiting:
            read = waiting[which % len(waiting)]
            read.answered = True
            read.revision = at(len(self.changes))

    @rule(which=st.integers(0, 5))
    def store_answer_arrives(self, which: int) -> None:
        answered = [read for read in self.reads if read.answered]
        if answered:
            read = answered[which % len(answered)]
            self.states[read.asker].learn(read.revision)
            self.known[read.asker].prove(read.sent_at)

    @rule(asker=NODES, answerer=NODES)
    def ask_peer(self, asker: int, answerer: int) -> None:
        self.probes.append((PendingRequest(asker, self.now), answerer))

    @rule(which=st.integers(0, 5))
    def peer_answers(self, which: int) -> None:
        waiting = [(probe, peer) for probe, peer in self.probes if not probe.answered]
        if waiting:
            probe, peer = waiting[which % len(waiting)]
            probe.answered = True
            probe.revision = self.states[peer].known.revision
            probe.age_s = self.known[peer].proven_age_s

    @rule(which=st.integers(0, 5))
    def peer_answer_arrives(self, which: int) -> None:
        answered = [probe for probe, _ in self.probes if probe.answered]
        if answered:
            probe = answered[which % len(answered)]
            if probe.age_s is not None:
                at = probe.sent_at - probe.age_s
                self.known[probe.asker].prove(at, probe.revision)

    @rule(learner=NODES, teacher=NODES)
    def news_arrives_early(self, learner: int, teacher: int) -> None:
        """A digest, a watch or a snapshot brings changes without a proof."""
        self.states[learner].learn(self.states[teacher].known.revision)

    @invariant()
    def nothing_is_missed(self) -> None:
        for state, known in zip(self.states, self.known, strict=True):
            proven_until = self.now - known.age_s
            acknowledged = sum(1 for at in self.changes if at < proven_until)
            assert state.known.revision >= at(acknowledged)


KnowledgeMachine.TestCase.settings = settings(max_examples=200, stateful_step_count=40)
TestKnowledge = KnowledgeMachine.TestCase


def test_a_proof_for_what_is_not_known_here_counts_once_it_is() -> None:
    now = [10.0]
    state = FakeState()
    state.learn(at(4))
    known = StalenessBound(state, lambda: now[0])  # type: ignore[arg-type]
    known.prove(9.0, revision=at(7))
    assert known.proven_age_s is None
    state.learn(at(7))
    assert known.age_s == 1.0


def test_an_old_answer_never_makes_knowledge_younger_or_older() -> None:
    now = [10.0]
    known = StalenessBound(FakeState(), lambda: now[0])  # type: ignore[arg-type]
    known.prove(9.0)
    known.prove(3.0)
    assert known.age_s == 1.0


def test_a_store_that_came_back_from_a_copy_proves_nothing_until_all_is_written_again() -> None:
    now = [10.0]
    state = FakeState()
    known = StalenessBound(state, lambda: now[0])  # type: ignore[arg-type]
    known.prove(9.0)
    now[0] = 14.0
    state.may_lack_lost_writes = True
    known.prove(13.9)
    assert known.age_s == 5.0
    state.may_lack_lost_writes = False
    known.prove(13.9)
    assert known.age_s < 0.2
