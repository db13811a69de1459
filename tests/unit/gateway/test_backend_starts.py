"""A back end that restarts under the same id: its newest entry wins, in any order of arrival.

Guards against a late write by the previous process, or entries that arrive from the store and peers
in another order, bringing back an instance that has ended, and against observations of one instance
being applied to the next.
"""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.store_revisions import at
from tests.support.store_revisions import told as told_by
from tests.unit.gateway.test_shared_state import DECODERS
from tinrudder.gateway.backends.backend_directory import (
    BackendDirectory,
    ConnectionHooks,
    DirectorySettings,
)
from tinrudder.gateway.decisions.placement.cold_start_rate import Callers
from tinrudder.gateway.model.configuration import ColdBounds
from tinrudder.gateway.model.http_messages import CallOutcome, UpstreamCall, Withdrawn
from tinrudder.gateway.store.backend_entries import OLDER_START_S, EntryStanding
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.stored_values import Reading, StoredValue, Topic
from tinrudder.platform.headers import HEADERS

KEY = "servers/a"
GONE = "gone"
UNREADABLE = "unreadable"
Said = int | str


class Told:
    """The shared state of one gateway, with a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0
        self.state = SharedState(DECODERS, lambda: self.now, lambda _: None)

    def hear(self, *values: StoredValue) -> None:
        self.state.apply(Topic.BACKENDS, values)

    @property
    def started_ms(self) -> int | None:
        """The start time of the entry in force; ``None`` if there is none."""
        known = self.state.backends.get(KEY)
        return known.entry.started_ms if known is not None and known.in_force else None


def said(revision: int, what: Said, **changes: object) -> StoredValue:
    if what == GONE:
        return StoredValue(KEY, at(revision), None)
    if what == UNREADABLE:
        return StoredValue(KEY, at(revision), b"?")
    entry = {"service": "s", "addr": "10.0.0.1:80", "zone": "z", "slots": 2, "state": "ready"}
    return StoredValue(KEY, at(revision), msgspec.json.encode(entry | {"born": what} | changes))


WORDS = st.one_of(st.integers(1, 4), st.sampled_from([GONE, UNREADABLE]))


@given(words=st.lists(WORDS, min_size=1, max_size=8), seed=st.integers(0, 10_000))
def test_the_newest_revision_decides_in_any_order_loss_and_repetition(
    words: list[Said], seed: int
) -> None:
    """The oracle: the newest received write, unless an earlier one names a later start."""
    source = random.Random(seed)
    values = [said(revision, word) for revision, word in enumerate(words, start=1)]
    heard = [value for value in values * 2 if source.random() < 0.7] or values[:1]
    source.shuffle(heard)
    told, peer = Told(), Told()
    for value in heard:
        teller = told if source.random() < 0.5 else peer
        teller.hear(value)
        if source.random() < 0.3:
            told.hear(*told_by(peer.state))
    told.hear(*told_by(peer.state))
    newest = words[max(value.revision.number for value in heard) - 1]
    known = [words[value.revision.number - 1] for value in heard]
    starts = [one for one in known if isinstance(one, int)]
    if not isinstance(newest, int):
        assert told.started_ms is None
    elif newest == max(starts):
        assert told.started_ms == newest
    else:
        assert told.started_ms in (newest, None)
    # After OLDER_START_S an older start counts too: every gateway that received the newest write
    # agrees on it.
    told.now = OLDER_START_S
    told.state.settle()
    assert told.started_ms == (newest if isinstance(newest, int) else None)


@given(words=st.lists(WORDS, min_size=1, max_size=8))
def test_in_the_stores_order_an_older_start_never_comes_back(words: list[Said]) -> None:
    told = Told()
    youngest = 0
    for revision, word in enumerate(words, start=1):
        told.hear(said(revision, word))
        youngest = max(youngest, word) if isinstance(word, int) else youngest
        expected = word if isinstance(word, int) and word == youngest else None
        assert told.started_ms == expected


def test_a_late_word_of_an_ended_process_is_gone_before_it_counts() -> None:
    told = Told()
    told.hear(said(1, 100), said(2, 200), said(3, 100))
    assert told.started_ms is None
    assert told.state.backends[KEY].entry.started_ms == 200
    told.now = OLDER_START_S - 0.1
    told.state.settle()
    assert told.started_ms is None
    told.hear(said(4, 200))
    told.now = 2 * OLDER_START_S
    told.state.settle()
    assert told.started_ms == 200


def test_a_start_by_a_clock_that_went_back_counts_once_it_has_stood() -> None:
    told = Told()
    told.hear(said(1, 200), said(2, 100))
    told.now = OLDER_START_S
    told.state.settle()
    assert told.started_ms == 100
    told.hear(said(3, 100, slots=3))
    assert told.state.backends[KEY].entry.slots == 3


def test_a_start_by_a_clock_that_went_back_counts_also_where_it_writes_often() -> None:
    told = Told()
    told.hear(said(1, 200))
    writes = 5
    for number in range(writes):
        told.now = number * OLDER_START_S / writes
        told.hear(said(2 + number, 100, cold_left_ms=100 * (writes - number)))
    told.now = OLDER_START_S - 0.1
    told.state.settle()
    assert told.started_ms is None
    told.now = OLDER_START_S
    told.state.settle()
    assert told.started_ms == 100


@pytest.mark.parametrize("between", [GONE, UNREADABLE, 150, 200])
def test_what_another_wrote_in_between_begins_the_wait_anew(between: Said) -> None:
    told = Told()
    told.hear(said(1, 200), said(2, 100))
    told.now = OLDER_START_S / 2
    told.hear(said(3, between), said(4, 100))
    told.now = OLDER_START_S
    told.state.settle()
    assert told.started_ms is None


def test_what_one_start_said_of_leaving_does_not_bind_the_next() -> None:
    told = Told()
    told.hear(said(1, 100, state="draining"))
    told.now = 7.0
    told.hear(said(2, 200, state="draining"))
    assert told.state.backends[KEY].since == 7.0
    told.hear(said(3, 300))
    assert not told.state.backends[KEY].leaving


def test_a_complete_reading_ends_an_older_start_too() -> None:
    told = Told()
    told.hear(said(1, 200), said(2, 100))
    told.state.apply_complete(Topic.BACKENDS, Reading((), at(9)))
    told.now = OLDER_START_S
    told.state.settle()
    assert told.state.backends[KEY].standing is EntryStanding.REMOVED


def directory_of(told: Told) -> BackendDirectory:
    return BackendDirectory(
        told.state,
        HEADERS,
        lambda: told.now,
        DirectorySettings(own_name="own", drain_s=3.0, cold=ColdBounds()),
        ConnectionHooks(count_opened=lambda: None),
        callers=lambda service: Callers(("own",), 1),
        is_closed=lambda zone: False,
    )


def test_nothing_seen_of_one_start_is_held_against_the_next() -> None:
    async def scenario() -> None:
        told = Told()
        directory = directory_of(told)
        told.hear(said(1, 100, cold_left_ms=9000))
        (first,) = directory.usable("s")
        first.observations.failed(None, told.now)
        first.observations.reported(2, 30, 2, told.now, 5.0)
        first.readdressed = True
        told.hear(said(2, 200))
        (second,) = directory.usable("s")
        assert second is not first
        assert second.pool is not first.pool
        assert not second.is_cold(told.now) and not second.observations.is_suspect(told.now)
        assert second.observations.wait_s(told.now, 1.0) == 0.0
        assert not second.readdressed
        assert not directory.may_receive(first)
        assert directory.may_receive(second)
        assert len(directory) == 1

    asyncio.run(scenario())


def test_the_same_start_that_records_itself_again_is_the_same_back_end() -> None:
    async def scenario() -> None:
        told = Told()
        directory = directory_of(told)
        told.hear(said(1, 100))
        (first,) = directory.usable("s")
        told.hear(said(2, GONE), said(3, 100, slots=4))
        assert directory.usable("s") == [first]

    asyncio.run(scenario())


def test_another_address_or_service_under_an_id_is_another_back_end() -> None:
    async def scenario() -> None:
        told = Told()
        directory = directory_of(told)
        told.hear(said(1, 100))
        (first,) = directory.usable("s")
        told.hear(said(2, 100, addr="10.0.0.2:80"))
        (moved,) = directory.usable("s")
        assert moved.pool is not first.pool
        told.hear(said(3, 100, service="t"))
        assert directory.usable("s") == []
        assert len(directory.usable("t")) == 1
        told.hear(said(4, GONE))
        told.now = 200.0
        told.state.settle()
        told.hear(said(5, 100, service="s"))
        assert len(directory) == 1

    asyncio.run(scenario())


def test_an_entry_that_cannot_be_read_is_no_last_resort_and_a_lapsed_one_is() -> None:
    async def scenario() -> None:
        told = Told()
        directory = directory_of(told)
        told.hear(said(1, 100))
        (backend,) = directory.usable("s")
        told.hear(said(2, UNREADABLE))
        assert directory.usable("s") == []
        assert not directory.may_receive(backend)
        assert not directory.reachable("s")
        assert "cannot be read" in directory.reason_for_none("s")
        told.hear(said(3, 100))
        assert directory.usable("s") == [backend]
        told.hear(said(4, GONE))
        assert directory.usable("s") == [backend]

    asyncio.run(scenario())


def test_a_call_that_waits_for_the_ended_start_does_not_reach_the_next() -> None:
    """Both instances use one address; the call was sent to, and counted for, the one that ended."""

    async def scenario() -> None:
        arrived: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            arrived.append(await reader.read(100))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        told = Told()
        directory = directory_of(told)
        told.hear(said(1, 100, addr=f"127.0.0.1:{port}"))
        (first,) = directory.usable("s")
        ended: asyncio.Future[CallOutcome] = asyncio.get_running_loop().create_future()
        call = UpstreamCall(
            lambda: b"GET / HTTP/1.1\r\n\r\n" if directory.may_receive(first) else None,
            b"r",
            ended.set_result,
            asyncio.get_running_loop().time() + 5.0,
        )
        first.pool.start(call)
        told.hear(said(2, 200, addr=f"127.0.0.1:{port}"))
        assert isinstance(await ended, Withdrawn)
        await asyncio.sleep(0.05)
        assert first.pool.connections == 0
        assert arrived in ([], [b""])
        server.close()

    asyncio.run(scenario())
