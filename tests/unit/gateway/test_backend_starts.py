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
from tests.support.store_revisions import values_for_peer as values_after
from tests.unit.gateway.test_shared_state import DECODERS
from tinrudder.gateway.backends.backend_directory import (
    BackendDirectory,
    ConnectionHooks,
    DirectorySettings,
)
from tinrudder.gateway.decisions.placement.cold_start_rate import Callers
from tinrudder.gateway.model.configuration import ColdBounds
from tinrudder.gateway.model.http_messages import CallOutcome, UpstreamCall, Withdrawn
from tinrudder.gateway.store.backend_entries import OLDER_START_S, EntryStatus
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.stored_values import Reading, StoredValue, Topic
from tinrudder.platform.headers import HEADERS

KEY = "servers/a"
GONE = "gone"
UNREADABLE = "unreadable"
Written = int | str


class GatewayState:
    """The shared state of one gateway, with a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0
        self.state = SharedState(DECODERS, lambda: self.now, lambda _: None)

    def receive(self, *values: StoredValue) -> None:
        self.state.apply(Topic.BACKENDS, values)

    @property
    def started_ms(self) -> int | None:
        """The start time of the entry in force; ``None`` if there is none."""
        known = self.state.backends.get(KEY)
        return known.entry.started_ms if known is not None and known.in_force else None


def entry_value(revision: int, written: Written, **changes: object) -> StoredValue:
    if written == GONE:
        return StoredValue(KEY, at(revision), None)
    if written == UNREADABLE:
        return StoredValue(KEY, at(revision), b"?")
    entry = {"service": "s", "addr": "10.0.0.1:80", "zone": "z", "slots": 2, "state": "ready"}
    return StoredValue(KEY, at(revision), msgspec.json.encode(entry | {"born": written} | changes))


WRITES = st.one_of(st.integers(1, 4), st.sampled_from([GONE, UNREADABLE]))


@given(writes_in_order=st.lists(WRITES, min_size=1, max_size=8), seed=st.integers(0, 10_000))
def test_the_newest_revision_decides_in_any_order_loss_and_repetition(
    writes_in_order: list[Written], seed: int
) -> None:
    """The oracle: the newest received write, unless an earlier one names a later start."""
    source = random.Random(seed)
    values = [
        entry_value(revision, written) for revision, written in enumerate(writes_in_order, start=1)
    ]
    received = [value for value in values * 2 if source.random() < 0.7] or values[:1]
    source.shuffle(received)
    gateway_state, peer = GatewayState(), GatewayState()
    for value in received:
        receiver = gateway_state if source.random() < 0.5 else peer
        receiver.receive(value)
        if source.random() < 0.3:
            gateway_state.receive(*values_after(peer.state))
    gateway_state.receive(*values_after(peer.state))
    newest = writes_in_order[max(value.revision.number for value in received) - 1]
    known = [writes_in_order[value.revision.number - 1] for value in received]
    starts = [one for one in known if isinstance(one, int)]
    if not isinstance(newest, int):
        assert gateway_state.started_ms is None
    elif newest == max(starts):
        assert gateway_state.started_ms == newest
    else:
        assert gateway_state.started_ms in (newest, None)
    # After OLDER_START_S an older start counts too: every gateway that received the newest write
    # agrees on it.
    gateway_state.now = OLDER_START_S
    gateway_state.state.settle()
    assert gateway_state.started_ms == (newest if isinstance(newest, int) else None)


@given(writes_in_order=st.lists(WRITES, min_size=1, max_size=8))
def test_in_the_stores_order_an_older_start_never_comes_back(
    writes_in_order: list[Written],
) -> None:
    gateway_state = GatewayState()
    newest_start = 0
    for revision, written in enumerate(writes_in_order, start=1):
        gateway_state.receive(entry_value(revision, written))
        newest_start = max(newest_start, written) if isinstance(written, int) else newest_start
        expected = written if isinstance(written, int) and written == newest_start else None
        assert gateway_state.started_ms == expected


def test_a_late_write_of_an_ended_process_is_replaced_before_it_counts() -> None:
    gateway_state = GatewayState()
    gateway_state.receive(entry_value(1, 100), entry_value(2, 200), entry_value(3, 100))
    assert gateway_state.started_ms is None
    assert gateway_state.state.backends[KEY].entry.started_ms == 200
    gateway_state.now = OLDER_START_S - 0.1
    gateway_state.state.settle()
    assert gateway_state.started_ms is None
    gateway_state.receive(entry_value(4, 200))
    gateway_state.now = 2 * OLDER_START_S
    gateway_state.state.settle()
    assert gateway_state.started_ms == 200


def test_an_earlier_start_time_after_a_clock_step_counts_after_the_wait() -> None:
    gateway_state = GatewayState()
    gateway_state.receive(entry_value(1, 200), entry_value(2, 100))
    gateway_state.now = OLDER_START_S
    gateway_state.state.settle()
    assert gateway_state.started_ms == 100
    gateway_state.receive(entry_value(3, 100, slots=3))
    assert gateway_state.state.backends[KEY].entry.slots == 3


def test_an_earlier_start_time_counts_after_the_wait_despite_frequent_writes() -> None:
    gateway_state = GatewayState()
    gateway_state.receive(entry_value(1, 200))
    writes = 5
    for number in range(writes):
        gateway_state.now = number * OLDER_START_S / writes
        gateway_state.receive(entry_value(2 + number, 100, cold_left_ms=100 * (writes - number)))
    gateway_state.now = OLDER_START_S - 0.1
    gateway_state.state.settle()
    assert gateway_state.started_ms is None
    gateway_state.now = OLDER_START_S
    gateway_state.state.settle()
    assert gateway_state.started_ms == 100


@pytest.mark.parametrize("between", [GONE, UNREADABLE, 150, 200])
def test_a_write_of_another_process_restarts_the_wait(between: Written) -> None:
    gateway_state = GatewayState()
    gateway_state.receive(entry_value(1, 200), entry_value(2, 100))
    gateway_state.now = OLDER_START_S / 2
    gateway_state.receive(entry_value(3, between), entry_value(4, 100))
    gateway_state.now = OLDER_START_S
    gateway_state.state.settle()
    assert gateway_state.started_ms is None


def test_leaving_of_one_start_does_not_apply_to_the_next() -> None:
    gateway_state = GatewayState()
    gateway_state.receive(entry_value(1, 100, state="draining"))
    gateway_state.now = 7.0
    gateway_state.receive(entry_value(2, 200, state="draining"))
    assert gateway_state.state.backends[KEY].since == 7.0
    gateway_state.receive(entry_value(3, 300))
    assert not gateway_state.state.backends[KEY].leaving


def test_a_complete_reading_ends_an_older_start_too() -> None:
    gateway_state = GatewayState()
    gateway_state.receive(entry_value(1, 200), entry_value(2, 100))
    gateway_state.state.apply_complete(Topic.BACKENDS, Reading((), at(9)))
    gateway_state.now = OLDER_START_S
    gateway_state.state.settle()
    assert gateway_state.state.backends[KEY].standing is EntryStatus.REMOVED


def directory_of(gateway_state: GatewayState) -> BackendDirectory:
    return BackendDirectory(
        gateway_state.state,
        HEADERS,
        lambda: gateway_state.now,
        DirectorySettings(own_name="own", drain_s=3.0, cold=ColdBounds()),
        ConnectionHooks(count_opened=lambda: None),
        callers=lambda service: Callers(("own",), 1),
        is_closed=lambda zone: False,
    )


def test_observations_of_one_start_do_not_apply_to_the_next() -> None:
    async def scenario() -> None:
        gateway_state = GatewayState()
        directory = directory_of(gateway_state)
        gateway_state.receive(entry_value(1, 100, cold_left_ms=9000))
        (first,) = directory.usable("s")
        first.observations.failed(None, gateway_state.now)
        first.observations.reported(2, 30, 2, gateway_state.now, 5.0)
        first.address_reused = True
        gateway_state.receive(entry_value(2, 200))
        (second,) = directory.usable("s")
        assert second is not first
        assert second.pool is not first.pool
        assert not second.is_cold(gateway_state.now) and not second.observations.is_suspect(
            gateway_state.now
        )
        assert second.observations.wait_s(gateway_state.now, 1.0) == 0.0
        assert not second.address_reused
        assert not directory.may_send_to(first)
        assert directory.may_send_to(second)
        assert len(directory) == 1

    asyncio.run(scenario())


def test_the_same_start_that_records_itself_again_is_the_same_back_end() -> None:
    async def scenario() -> None:
        gateway_state = GatewayState()
        directory = directory_of(gateway_state)
        gateway_state.receive(entry_value(1, 100))
        (first,) = directory.usable("s")
        gateway_state.receive(entry_value(2, GONE), entry_value(3, 100, slots=4))
        assert directory.usable("s") == [first]

    asyncio.run(scenario())


def test_another_address_or_service_under_an_id_is_another_back_end() -> None:
    async def scenario() -> None:
        gateway_state = GatewayState()
        directory = directory_of(gateway_state)
        gateway_state.receive(entry_value(1, 100))
        (first,) = directory.usable("s")
        gateway_state.receive(entry_value(2, 100, addr="10.0.0.2:80"))
        (moved,) = directory.usable("s")
        assert moved.pool is not first.pool
        gateway_state.receive(entry_value(3, 100, service="t"))
        assert directory.usable("s") == []
        assert len(directory.usable("t")) == 1
        gateway_state.receive(entry_value(4, GONE))
        gateway_state.now = 200.0
        gateway_state.state.settle()
        gateway_state.receive(entry_value(5, 100, service="s"))
        assert len(directory) == 1

    asyncio.run(scenario())


def test_an_entry_that_cannot_be_read_is_no_last_resort_and_a_lapsed_one_is() -> None:
    async def scenario() -> None:
        gateway_state = GatewayState()
        directory = directory_of(gateway_state)
        gateway_state.receive(entry_value(1, 100))
        (backend,) = directory.usable("s")
        gateway_state.receive(entry_value(2, UNREADABLE))
        assert directory.usable("s") == []
        assert not directory.may_send_to(backend)
        assert not directory.has_callable_backend("s")
        assert "cannot be read" in directory.reason_for_none("s")
        gateway_state.receive(entry_value(3, 100))
        assert directory.usable("s") == [backend]
        gateway_state.receive(entry_value(4, GONE))
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
        gateway_state = GatewayState()
        directory = directory_of(gateway_state)
        gateway_state.receive(entry_value(1, 100, addr=f"127.0.0.1:{port}"))
        (first,) = directory.usable("s")
        ended: asyncio.Future[CallOutcome] = asyncio.get_running_loop().create_future()
        call = UpstreamCall(
            lambda: b"GET / HTTP/1.1\r\n\r\n" if directory.may_send_to(first) else None,
            b"r",
            ended.set_result,
            asyncio.get_running_loop().time() + 5.0,
        )
        first.pool.start(call)
        gateway_state.receive(entry_value(2, 200, addr=f"127.0.0.1:{port}"))
        assert isinstance(await ended, Withdrawn)
        await asyncio.sleep(0.05)
        assert first.pool.connections == 0
        assert arrived in ([], [b""])
        server.close()

    asyncio.run(scenario())
