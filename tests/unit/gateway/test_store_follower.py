"""A follower of the store watches from the latest known revision and pauses after changes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import async_solipsism
import pytest

from tests.support.store_revisions import at
from tests.unit.gateway.test_shared_state import DECODERS, backend, configuration
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_follower import (
    MAX_BACKOFF_S,
    MAX_PAUSE_S,
    PAUSE_JITTER,
    STALE_WATCH_S,
    FollowerDependencies,
    StoreFollower,
)
from tinrudder.gateway.store.store_readers import ReadReason
from tinrudder.gateway.store.store_revision import StoreRevision
from tinrudder.gateway.store.store_status import StoreStatus
from tinrudder.gateway.store.stored_values import (
    HistoryForgottenError,
    Reading,
    StoredValue,
    Topic,
)
from tinrudder.gateway.store.watch_timing import (
    ANSWER_DELAY_S,
    FIRST_READER_WAIT_S,
    MAX_WAIT_S,
    PROBE_WAIT_S,
    RANK_STEP_S,
)

MAX_STORE_WAIT_S = 30.0
FIRST_REVISION = 10
EPOCH = 1


def in_epoch(value: StoredValue) -> StoredValue:
    """Return the same value in the epoch of these tests."""
    return StoredValue(value.key, at(value.revision.number, EPOCH), value.value)


class ScriptedStore:
    """Answers every watch with one change, and records the revision from which it began."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.watched_after: list[StoreRevision] = []
        self.watched_at: list[float] = []
        self.waits_s: list[float] = []
        self._clock = clock

    async def read(self, topic: Topic) -> Reading:
        value = configuration(1, FIRST_REVISION)
        if topic is Topic.BACKENDS:
            value = backend("a", FIRST_REVISION)
        return Reading((in_epoch(value),), at(FIRST_REVISION, EPOCH))

    async def watch(self, topic: Topic, after: StoreRevision, wait_s: float) -> Reading:
        self.watched_after.append(after)
        self.watched_at.append(self._clock())
        self.waits_s.append(wait_s)
        await asyncio.sleep(0.01)
        value = in_epoch(backend(f"b{after.number}", after.number + 1))
        return Reading((value,), value.revision)


class FixedReaders:
    """Stands in for the readers of a fleet in which this gateway follows the store."""

    def __init__(self, readers: int, rank: int) -> None:
        self._readers = readers
        self._rank = rank

    def count(self) -> int:
        return self._readers

    def rank(self) -> int:
        return self._rank

    def reason_to_read(self, topic: Topic) -> ReadReason:
        return ReadReason.READER

    def retry_pause_s(self, own_pause_s: float) -> float:
        return own_pause_s


class RefusingStore(ScriptedStore):
    """Refuses every watch that begins in a given span of time."""

    def __init__(self, clock: Callable[[], float], refuses: tuple[float, float]) -> None:
        super().__init__(clock)
        self._refuses = refuses

    async def watch(self, topic: Topic, after: StoreRevision, wait_s: float) -> Reading:
        first, last = self._refuses
        if first <= self._clock() < last:
            self.watched_at.append(self._clock())
            await asyncio.sleep(0.004)
            raise HistoryForgottenError
        return await super().watch(topic, after, wait_s)


def follow(
    seconds: float,
    readers: int,
    peer_revision: int | None = None,
    refuses: tuple[float, float] | None = None,
    store_type: type[ScriptedStore] = ScriptedStore,
    rank: int = 0,
    operator_revision: int = FIRST_REVISION,
) -> ScriptedStore:
    """Follow back ends for a while; peers send a revision after the first change."""
    loop = async_solipsism.EventLoop()
    store = RefusingStore(loop.time, refuses) if refuses else store_type(loop.time)

    async def run() -> None:
        state = SharedState(DECODERS, loop.time, lambda problem: None)
        operators = in_epoch(configuration(1, operator_revision))
        state.apply_complete(Topic.OPERATOR, Reading((operators,), operators.revision))
        parts = FollowerDependencies(
            store,  # type: ignore[arg-type]
            state,
            StoreStatus(lambda topic, reachable, detail: None),
            FixedReaders(readers, rank),  # type: ignore[arg-type]
            random.Random(1),
            lambda topic, requested_at: None,
        )
        follower = StoreFollower(Topic.BACKENDS, parts)
        task = loop.create_task(follower.run())
        await asyncio.sleep(0.02)
        if peer_revision is not None:
            state.apply(Topic.BACKENDS, [in_epoch(backend("c", peer_revision))])
        await asyncio.sleep(seconds)
        task.cancel()

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
    return store


def test_the_next_watch_begins_after_what_peers_told_meanwhile() -> None:
    store = follow(1.0, readers=1, peer_revision=50)
    assert store.watched_after[0] == at(FIRST_REVISION, EPOCH)
    assert store.watched_after[1] == at(50, EPOCH)


@pytest.mark.parametrize("readers", [1, 8, 60])
def test_more_readers_rest_longer_but_never_long(readers: int) -> None:
    store = follow(20.0, readers)
    gaps = [later - one for one, later in zip(store.watched_at, store.watched_at[1:], strict=False)]
    assert max(gaps) <= MAX_PAUSE_S[Topic.BACKENDS] * (1.0 + PAUSE_JITTER) + 0.02
    assert len(gaps) > 5
    if readers == 1:
        assert max(gaps) <= 0.25


@pytest.mark.parametrize("rank", [0, 1, 7])
def test_the_first_reader_waits_briefly_and_the_others_as_long_as_the_store_allows(
    rank: int,
) -> None:
    waits = follow(5.0, readers=8, rank=rank).waits_s
    assert len(waits) > 3
    assert set(waits) == {FIRST_READER_WAIT_S[Topic.BACKENDS] if rank == 0 else MAX_WAIT_S - rank}
    assert max(waits) <= MAX_STORE_WAIT_S


class IdleStore(ScriptedStore):
    """Has no changes; from some moment on its open connections are silent, but new ones work.

    A connection is as old as the latest watch that was answered over it.
    """

    silent_from = float("inf")

    async def watch(self, topic: Topic, after: StoreRevision, wait_s: float) -> Reading:
        began = self._clock()
        self.watched_at.append(began)
        self.waits_s.append(wait_s)
        await asyncio.sleep(wait_s)
        if began < self.silent_from <= self._clock():
            await asyncio.sleep(1000.0)
        return Reading((), after)


class SilentStore(IdleStore):
    """Becomes silent while the first long watch waits."""

    silent_from = 1.0


def test_a_watch_of_an_idle_store_that_answers_is_never_suspected() -> None:
    store = follow(60.0, readers=1, store_type=IdleStore)
    assert set(store.waits_s) == {FIRST_READER_WAIT_S[Topic.BACKENDS]}
    assert len(store.waits_s) <= 60.0 / FIRST_READER_WAIT_S[Topic.BACKENDS] + 1


@pytest.mark.parametrize("rank", [0, 1, 7])
def test_a_silent_watch_is_cancelled_after_the_first_readers_wait(rank: int) -> None:
    store = follow(10.0, readers=8, rank=rank, store_type=SilentStore)
    first, second, *_ = store.watched_at
    assert (
        second - first
        <= FIRST_READER_WAIT_S[Topic.BACKENDS] + ANSWER_DELAY_S + RANK_STEP_S * rank + 0.01
    )
    # The next watch is a probe: its answer shows that the store is reachable.
    assert store.waits_s[1] == PROBE_WAIT_S
    assert store.waits_s[2] > PROBE_WAIT_S


def test_an_answer_behind_what_is_known_confirms_nothing() -> None:
    """The other topic is known up to a later revision than the one this watch reports.

    Its answer is no confirmation, so the watch is suspected repeatedly.
    """
    behind = follow(20.0, readers=8, store_type=IdleStore, operator_revision=FIRST_REVISION + 1)
    assert behind.waits_s.count(PROBE_WAIT_S) >= 20.0 / (FIRST_READER_WAIT_S[Topic.BACKENDS] + 1.0)


def test_a_watch_that_misses_a_known_change_is_cancelled() -> None:
    """A peer reports a change, and the watch that should have reported it continues to wait."""
    store = follow(5.0, readers=8, peer_revision=50, store_type=IdleStore)
    assert store.watched_at[1] - store.watched_at[0] <= 0.02 + STALE_WATCH_S + 0.01


def test_the_first_refused_watch_costs_no_rest_and_further_ones_do() -> None:
    watched = follow(20.0, readers=8, refuses=(0.0, 10.0)).watched_at
    refused = [at for at in watched if at < 10.0]
    assert refused[1] - refused[0] < 0.01
    assert refused[-1] - refused[-2] >= MAX_BACKOFF_S
    assert len(refused) <= 4 + 10.0 / MAX_BACKOFF_S
    answered = [at for at in watched if at >= 10.0]
    assert answered[0] <= 10.0 + MAX_BACKOFF_S + 0.02


class EpochlessWatchStore(ScriptedStore):
    """Reports its epoch in complete reads only: every watch seems to be of another one."""

    async def watch(self, topic: Topic, after: StoreRevision, wait_s: float) -> Reading:
        self.watched_at.append(self._clock())
        await asyncio.sleep(0.004)
        return Reading((), at(after.number))


def test_watches_that_another_epoch_answers_lead_to_readings_with_rests() -> None:
    watched = follow(10.0, readers=8, store_type=EpochlessWatchStore).watched_at
    assert watched[1] - watched[0] < 0.01
    assert len(watched) <= 5 + 10.0 / MAX_BACKOFF_S
