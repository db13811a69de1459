"""After the store is restored from an older copy, all gateways converge and no value regresses.

Guards against confirmed changes that were not in force for seconds after an outage of the store:
the restored store assigned revisions again, and gateways took changes with a lower revision than a
known one for old. The order of events: ``tests/functional/gateway/test_restored_store.py``.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.support.store_revisions import at
from tests.unit.gateway.test_shared_state import DECODERS
from tinrudder.gateway.peers.snapshots import apply_snapshot, snapshot_for, snapshot_request
from tinrudder.gateway.store.epoch_merge import EpochMerge
from tinrudder.gateway.store.epoch_rules import (
    LEAVING_PRECEDENCE_S,
    REWRITE_PERIOD_S,
    ObservedValue,
    backend_precedence_s,
)
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_revision import StoreRevision
from tinrudder.gateway.store.stored_values import Reading, StoredValue, Topic
from tinrudder.gateway.store.topic_history import TopicHistory
from tinrudder.platform.documents import (
    BACKENDS_PREFIX,
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    decode_backend,
)

KEY = f"{BACKENDS_PREFIX}a"
ZONE_KEY = f"{EVACUATION_PREFIX}z"
EPOCHS = 3


def entry(start: int, state: str = "ready") -> bytes:
    document = {"service": "s", "addr": "10.0.0.1:80", "zone": "z", "slots": 2, "state": state}
    return msgspec.json.encode(document | {"born": start})


def observed(epoch: int, number: int, value: bytes | None, since: float = 0.0) -> ObservedValue:
    decoded = None if value is None or value == b"?" else decode_backend(KEY, value)
    return ObservedValue(StoredValue(KEY, at(number, epoch), value), since, decoded)


VALUES = st.one_of(
    st.none(),
    st.just(b"?"),
    st.builds(entry, st.integers(1, 3), st.sampled_from(["ready", "draining"])),
)


@given(
    writes=st.dictionaries(
        st.tuples(st.integers(1, EPOCHS), st.integers(1, 6)), VALUES, min_size=1, max_size=10
    ),
    seed=st.integers(0, 10_000),
    copy_up_to=st.integers(0, 6),
    seen_s=st.floats(0.0, REWRITE_PERIOD_S * 0.9),
)
def test_the_winner_does_not_depend_on_order_or_repetition(
    writes: dict[tuple[int, int], bytes | None], seed: int, copy_up_to: int, seen_s: float
) -> None:
    observations = [observed(epoch, number, value) for (epoch, number), value in writes.items()]
    held = []
    for shuffle in (False, True):
        now = [100.0]
        history = TopicHistory(lambda now=now: now[0])
        history.enter(StoreRevision(EPOCHS, copy_up_to))
        now[0] += seen_s
        history.confirm(0.0)
        merge = EpochMerge(history, backend_precedence_s, lambda now=now: now[0])
        ordered = (
            observations * 2 if shuffle else sorted(observations, key=lambda one: one.revision)
        )
        if shuffle:
            random.Random(seed).shuffle(ordered)
        for one in ordered:
            merge.record(one)
        held.append(merge.winner(KEY))
    assert held[0] == held[1]


@pytest.mark.parametrize(
    ("known", "shown", "holds_s"),
    [
        (entry(1), entry(1), 0.0),
        (entry(1), entry(1, "draining"), 0.0),
        (entry(1), None, 0.0),
        (entry(1, "draining"), entry(1), LEAVING_PRECEDENCE_S),
        (None, entry(1), REWRITE_PERIOD_S),
        (entry(2), entry(1), REWRITE_PERIOD_S),
        (entry(1), entry(2), 0.0),
        (entry(1), b"?", REWRITE_PERIOD_S),
        (b"?", entry(1), REWRITE_PERIOD_S),
    ],
)
def test_how_long_a_value_takes_precedence_over_a_copy(
    known: bytes | None, shown: bytes | None, holds_s: float
) -> None:
    now = [0.0]
    history = TopicHistory(lambda: now[0])
    merge = EpochMerge(history, backend_precedence_s, lambda: now[0])
    history.enter(at(63, 1))
    merge.record(observed(1, 63, known))
    history.enter(at(60, 2))
    merge.begin_epoch()
    merge.record(observed(2, 60, shown))
    for moment in (0.0, max(0.0, holds_s - 0.1), holds_s):
        now[0] = moment
        history.confirm(0.0)
        merge.settle()
        held = merge.winner(KEY)
        assert held is not None
        assert held.revision.epoch == (1 if moment < holds_s else 2)


@pytest.mark.parametrize(
    ("known", "written", "counts"),
    [(None, entry(1), True), (b"?", entry(1), True), (entry(1, "draining"), entry(1), False)],
)
def test_a_new_write_wins_at_once_unless_it_reverts_a_leaving_back_end(
    known: bytes | None, written: bytes, counts: bool
) -> None:
    history = TopicHistory(lambda: 0.0)
    merge = EpochMerge(history, backend_precedence_s, lambda: 0.0)
    history.enter(at(63, 1))
    merge.record(observed(1, 63, known))
    history.enter(at(60, 2))
    merge.begin_epoch()
    assert merge.record(observed(2, 61, written)) == counts


def test_what_a_copy_lacks_is_gone_if_it_is_not_written_again_and_the_store_was_heard() -> None:
    """The time of a suspension after the read of the copy must not count as time to rewrite."""
    now = [0.0]
    history = TopicHistory(lambda: now[0])
    merge = EpochMerge(history, backend_precedence_s, lambda: now[0])
    history.enter(at(63, 1))
    merge.record(observed(1, 63, entry(1)))
    history.enter(at(60, 2))
    history.is_read_whole = True
    merge.begin_epoch()
    now[0] = REWRITE_PERIOD_S * 5
    assert merge.settle() == []
    history.confirm(0.0)
    assert [one.is_removal for one in merge.settle()] == [True]


def known_state(*values: StoredValue, up_to: StoreRevision) -> SharedState:
    """Return a state that has read these values of both topics at once."""
    state = SharedState(DECODERS, lambda: 100.0, lambda _: None)
    read_all(state, *values, up_to=up_to)
    return state


def read_all(state: SharedState, *values: StoredValue, up_to: StoreRevision) -> None:
    for topic in Topic:
        of_topic = [
            one
            for one in values
            if one.key.startswith(BACKENDS_PREFIX) == (topic is Topic.BACKENDS)
        ]
        state.apply_complete(topic, Reading(tuple(of_topic), up_to))


def pull(asker: SharedState, asked: SharedState) -> None:
    request = snapshot_request(asker, members_wanted=False)
    apply_snapshot(asker, snapshot_for(asked, request, None), "a peer")


def configured(version: int, revision: StoreRevision) -> StoredValue:
    document = msgspec.json.encode({"version": version, "routes": []})
    return StoredValue(CONFIGURATION_KEY, revision, document)


def effective_state(state: SharedState) -> tuple[int, bool, frozenset[str]]:
    return state.configuration_version, state.backends[KEY].leaving, state.evacuations.zones


@pytest.mark.parametrize("is_ahead", [False, True])
def test_a_gateway_that_started_with_the_copy_gets_lost_values_from_peers(is_ahead: bool) -> None:
    """A peer has the lost values from before, whether or not it has observed the new epoch."""
    lost = (
        configured(21, at(63, 1)),
        StoredValue(KEY, at(62, 1), entry(1, "draining")),
        StoredValue(ZONE_KEY, at(61, 1), b"{}"),
    )
    copy = (configured(12, at(59, 2)), StoredValue(KEY, at(58, 2), entry(1)))
    peer = known_state(*lost, up_to=at(63, 1))
    if is_ahead:
        read_all(peer, *copy, up_to=at(60, 2))
    started = known_state(*copy, up_to=at(60, 2))
    assert effective_state(started) == (12, False, frozenset())
    pull(started, peer)
    assert effective_state(started) == effective_state(peer) == (21, True, frozenset("z"))
    pull(peer, started)
    assert effective_state(peer) == (21, True, frozenset("z"))
    histories = [
        (one.history(topic), other.history(topic))
        for topic in Topic
        for one, other in ((started, peer), (peer, started))
    ]
    assert all(one.covers_position(other.position()) for one, other in histories)


def test_a_gateway_of_older_software_teaches_what_it_knows_without_epochs() -> None:
    """It sends revision numbers without an epoch; no value regresses."""
    state = known_state(configured(21, at(60, 2)), up_to=at(60, 2))
    older = msgspec.structs.replace(
        snapshot_for(
            known_state(configured(25, at(70)), up_to=at(70)),
            snapshot_request(state, members_wanted=False),
            None,
        ),
        operator_position=None,
        backends_position=None,
    )
    apply_snapshot(state, older, "a peer")
    assert state.configuration_version == 25
    assert state.revision(Topic.OPERATOR) == at(60, 2)


@dataclass
class Store:
    """The oracle: current contents, and every write since the start of the epoch's copy."""

    epoch: int = 1
    writes: list[tuple[str, bytes | None]] = field(default_factory=list)

    def write(self, key: str, value: bytes | None) -> None:
        self.writes.append((key, value))

    def items(self) -> dict[str, tuple[int, bytes | None]]:
        return {key: (number, value) for number, (key, value) in enumerate(self.writes, start=1)}

    def current(self, key: str) -> bytes | None:
        return self.items().get(key, (0, None))[1]

    def reading(self, topic: Topic) -> Reading:
        values = [one for one in self.events(topic, 0) if one.value is not None]
        return Reading(tuple(values), at(len(self.writes), self.epoch))

    def events(self, topic: Topic, after: int) -> list[StoredValue]:
        return [
            StoredValue(key, at(number, self.epoch), value)
            for key, (number, value) in sorted(self.items().items(), key=lambda one: one[1][0])
            if number > after and key.startswith(BACKENDS_PREFIX) == (topic is Topic.BACKENDS)
        ]


class Gateway:
    """One gateway's state, and what must not regress while it runs."""

    def __init__(self, machine: DrillMachine) -> None:
        self.state = SharedState(DECODERS, lambda: machine.now, lambda _: None)
        self.version = 0
        self.left: set[tuple[str, int]] = set()


GATEWAYS = st.integers(0, 2)
SOME_TOPICS = st.sampled_from([tuple(Topic), tuple(Topic), (Topic.OPERATOR,), (Topic.BACKENDS,)])
BACKENDS = st.integers(0, 2).map(lambda number: f"{BACKENDS_PREFIX}{number}")
LONGEST_REWRITE_S = 5.0


class DrillMachine(RuleBasedStateMachine):
    """Gateways, a store that is restored from copies now and then, and its writers.

    Answers of the store may arrive late, twice or never; gateways pull from each other and restart
    at any moment. All writes that the store lost are repeated within 5 s, in any order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.store = Store()
        self.truth: dict[str, bytes | None] = {}
        self.lost_at: float | None = None
        self.version = 0
        self.started = 0
        self.gateways = [Gateway(self) for _ in range(3)]
        self.late: list[tuple[int, Topic, Reading]] = []
        self.operator_configures()
        for number in range(3):
            self.back_end_lives_on(f"{BACKENDS_PREFIX}{number}")
        for index in range(3):
            self.reads(index)

    def write_new(self, key: str, value: bytes | None) -> None:
        self.truth[key] = value
        self.store.write(key, value)

    @rule()
    def operator_configures(self) -> None:
        self.version += 1
        document = {"version": self.version, "routes": []}
        self.write_new(CONFIGURATION_KEY, msgspec.json.encode(document))

    @rule(evacuated=st.booleans())
    def operator_evacuates(self, evacuated: bool) -> None:
        if (self.truth.get(ZONE_KEY) is not None) != evacuated:
            self.write_new(ZONE_KEY, b"{}" if evacuated else None)

    @rule(key=BACKENDS)
    def back_end_lives_on(self, key: str) -> None:
        """A back end becomes ready, then leaving, then is removed; then its next start follows."""
        value = self.truth.get(key)
        if value is None:
            self.started += 1
            self.write_new(key, entry(self.started))
        elif b"ready" in value:
            self.write_new(key, value.replace(b"ready", b"draining"))
        else:
            self.write_new(key, None)

    @rule(seconds=st.floats(0.1, 2.0))
    def time_passes(self, seconds: float) -> None:
        if self.lost_at is not None and self.now + seconds - self.lost_at > LONGEST_REWRITE_S:
            self.write_all_again()
        self.now += seconds

    @precondition(lambda self: self.lost_at is None)
    @rule(writes=st.integers(1, 6))
    def store_goes_back(self, writes: int) -> None:
        self.store = Store(
            self.store.epoch + 1, self.store.writes[: max(1, len(self.store.writes) - writes)]
        )
        self.lost_at = self.now

    @rule(data=st.data())
    def something_is_written_again(self, data: st.DataObject) -> None:
        lacking = [key for key, value in self.truth.items() if self.store.current(key) != value]
        if lacking:
            key = data.draw(st.sampled_from(sorted(lacking)))
            self.store.write(key, self.truth[key])

    def write_all_again(self) -> None:
        for key, value in self.truth.items():
            if self.store.current(key) != value:
                self.store.write(key, value)
        self.lost_at = None

    @rule(index=GATEWAYS, topics=SOME_TOPICS)
    def reads(self, index: int, topics: tuple[Topic, ...] = tuple(Topic)) -> None:
        state = self.gateways[index].state
        for topic in topics:
            state.apply_complete(topic, self.store.reading(topic))
            state.confirm(topic)

    @rule(index=GATEWAYS, topic=st.sampled_from(list(Topic)))
    def reads_slowly(self, index: int, topic: Topic) -> None:
        self.late.append((index, topic, self.store.reading(topic)))

    @precondition(lambda self: self.late)
    @rule(which=st.integers(0, 5))
    def late_answer_arrives(self, which: int) -> None:
        index, topic, reading = self.late[which % len(self.late)]
        self.gateways[index].state.apply_complete(topic, reading)

    @rule(index=GATEWAYS)
    def watches(self, index: int) -> None:
        state = self.gateways[index].state
        for topic in Topic:
            known = state.revision(topic)
            if known.epoch == self.store.epoch:
                state.apply(topic, self.store.events(topic, known.number))
                state.confirm(topic)

    @rule(index=GATEWAYS, peer=GATEWAYS)
    def pulls(self, index: int, peer: int) -> None:
        pull(self.gateways[index].state, self.gateways[peer].state)

    @rule(index=GATEWAYS)
    def settles(self, index: int) -> None:
        self.gateways[index].state.settle()

    @rule(index=GATEWAYS)
    def starts_again(self, index: int) -> None:
        self.gateways[index] = Gateway(self)
        self.late = [one for one in self.late if one[0] != index]

    @invariant()
    def nothing_goes_back(self) -> None:
        for gateway in self.gateways:
            assert gateway.state.configuration_version >= gateway.version
            gateway.version = gateway.state.configuration_version
            for key, known in gateway.state.backends.items():
                start = (key, known.entry.started_ms)
                if known.leaving and known.entry.leaving:
                    gateway.left.add(start)
                assert known.leaving or start not in gateway.left

    def teardown(self) -> None:
        """Once all lost writes are repeated and confirmed, all states match the store."""
        self.write_all_again()
        for _ in range(2):
            for index in range(len(self.gateways)):
                self.reads(index)
            self.now += REWRITE_PERIOD_S
            self.nothing_goes_back()
        for index, gateway in enumerate(self.gateways):
            self.reads(index)
            gateway.state.settle()
            self.nothing_goes_back()
            assert gateway.state.configuration_version == self.version
            assert bool(gateway.state.evacuations.zones) == (self.truth.get(ZONE_KEY) is not None)
            for key, value in self.truth.items():
                if key.startswith(BACKENDS_PREFIX):
                    known = gateway.state.backends.get(key)
                    ready = known is not None and not known.leaving
                    assert ready == (value is not None and b"ready" in value), key


DrillMachine.TestCase.settings = settings(max_examples=400, stateful_step_count=50)
TestDrills = DrillMachine.TestCase
