"""Entries by any writer: an undecodable one is ignored, and all others stay in force."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.store_revisions import at, values_for_peer
from tests.unit.gateway.test_shared_state import new_state
from tinrudder.gateway.store.backend_entries import EntryStatus
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.stored_values import Reading, StoredValue, Topic, UnreadableValueError
from tinrudder.gateway.store.unreadable_values import MAX_LINES, UnreadableValues
from tinrudder.platform.documents import decode_backend
from tinrudder_lab.emulator.invalid_entries import CORRUPTIONS, invalid_value

ENTRY: dict[str, object] = {
    "service": "s",
    "addr": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
    "born": 1_764_720_000_000,
    "something_new": {"a": [1]},
}


def value_of(key: str, revision: int, **changes: object) -> StoredValue:
    return StoredValue(f"servers/{key}", at(revision), msgspec.json.encode(ENTRY | changes))


@pytest.mark.parametrize("make", CORRUPTIONS)
@given(seed=st.integers(0, 200))
def test_a_foreign_entry_is_refused_with_its_key(
    make: Callable[[dict[str, object], random.Random], bytes], seed: int
) -> None:
    value = make(ENTRY, random.Random(seed))
    with pytest.raises(UnreadableValueError, match="servers/i-1"):
        decode_backend("servers/i-1", value)


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"state": "paused"}, "state"),
        ({"slots": "2"}, "slots"),
        ({"zone": 3}, "zone"),
        ({"born": 1.5}, "born"),
        ({"born": -1}, "start"),
        ({"seq": -1}, "seq"),
        ({"slots": -1}, "slots"),
        ({"cold_left_ms": -1}, "cold_left_ms"),
        ({"addr": "a name:80"}, "address"),
    ],
)
def test_the_field_is_named(changes: dict[str, object], named: str) -> None:
    with pytest.raises(UnreadableValueError, match=named):
        decode_backend("servers/i-1", msgspec.json.encode(ENTRY | changes))


def test_an_entry_of_absurd_length_is_refused() -> None:
    with pytest.raises(UnreadableValueError, match="bytes"):
        decode_backend("servers/i-1", msgspec.json.encode(ENTRY | {"new": "x" * 70_000}))


@pytest.mark.parametrize("backend_id", ["", "a b", "a\r\nx: y", "\u00e9", "a\x00"])
def test_an_id_that_is_no_header_is_refused(backend_id: str) -> None:
    with pytest.raises(UnreadableValueError, match="id"):
        decode_backend(f"servers/{backend_id}", msgspec.json.encode(ENTRY))


def test_an_entry_of_older_software_says_no_start() -> None:
    older = {name: field for name, field in ENTRY.items() if name != "born"}
    assert decode_backend("servers/i-1", msgspec.json.encode(older)).started_ms == 0
    entry = decode_backend("servers/i-1", msgspec.json.encode(ENTRY))
    assert entry.incarnation_id == "i-1@1764720000000"


@given(
    noise=st.binary(max_size=80),
    flips=st.lists(st.tuples(st.integers(0, 10_000), st.integers(0, 255)), max_size=6),
)
def test_any_bytes_are_read_or_refused_once_and_hide_nothing(
    noise: bytes, flips: list[tuple[int, int]]
) -> None:
    mutated = bytearray(msgspec.json.encode(ENTRY))
    for place, byte in flips:
        mutated[place % len(mutated)] = byte
    for foreign in (noise, bytes(mutated)):
        problems: list[str] = []
        state = new_state(problems)
        values = (value_of("a", 1), StoredValue("servers/b", at(2), foreign), value_of("c", 3))
        state.apply(Topic.BACKENDS, values)
        readable = False
        with contextlib.suppress(UnreadableValueError):
            readable = decode_backend("servers/b", foreign) is not None
        assert len(problems) == (0 if readable else 1)
        assert set(state.backends) >= {"servers/a", "servers/c"}
        assert ("servers/b" in state.backends) == readable
        state.apply(Topic.BACKENDS, values)
        assert len(problems) == (0 if readable else 1)


def standing(state: SharedState, key: str) -> EntryStatus:
    return state.backends[f"servers/{key}"].standing


@pytest.mark.parametrize("seed", range(len(CORRUPTIONS) * 3))
def test_a_good_entry_that_becomes_unreadable_is_withdrawn_until_it_is_good_again(
    seed: int,
) -> None:
    state, peer, late_peer = new_state(), new_state(), new_state()
    late_peer.apply(Topic.BACKENDS, (value_of("a", 1), value_of("b", 3)))
    state.apply(Topic.BACKENDS, (value_of("a", 1), value_of("b", 3)))
    foreign = StoredValue("servers/a", at(5), invalid_value(ENTRY, random.Random(seed)))
    assert state.apply(Topic.BACKENDS, (foreign,))
    assert standing(state, "a") is EntryStatus.UNREADABLE
    assert state.backends["servers/a"].leaving
    assert standing(state, "b") is EntryStatus.IN_FORCE

    # Gateways that learn of it from peers reach the same state, and older values change nothing.
    peer.apply(Topic.BACKENDS, values_for_peer(state))
    late_peer.apply(Topic.BACKENDS, values_for_peer(state, late_peer.revision(Topic.BACKENDS)))
    for one in (state, peer, late_peer):
        one.apply(Topic.BACKENDS, (value_of("a", 1), value_of("a", 4)))
        one.apply_complete(Topic.BACKENDS, Reading((foreign, value_of("b", 3)), at(6)))
        assert one.revision(Topic.BACKENDS) == at(5)
    assert "servers/a" not in peer.backends
    assert standing(late_peer, "a") is EntryStatus.UNREADABLE

    for one in (state, peer, late_peer):
        one.apply(Topic.BACKENDS, (value_of("a", 7),))
        assert standing(one, "a") is EntryStatus.IN_FORCE


def test_long_values_that_cannot_be_read_weigh_nothing_in_snapshots() -> None:
    state, peer = new_state(), new_state()
    values = [StoredValue(f"servers/{n}", at(n), b"?" * 65_536) for n in range(1, 400)]
    state.apply(Topic.BACKENDS, (*values, value_of("a", 400)))
    assert sum(len(value.value or b"") for value in values_for_peer(state)) < 1000
    peer.apply(Topic.BACKENDS, values_for_peer(state))
    assert peer.revision(Topic.BACKENDS) == at(400)
    assert set(peer.backends) == {"servers/a"}


def test_an_entry_that_was_never_good_and_is_removed_is_forgotten() -> None:
    state = new_state()
    state.apply(Topic.BACKENDS, (StoredValue("servers/a", at(5), b"?"),))
    state.apply_complete(Topic.BACKENDS, Reading((value_of("b", 3),), at(8)))
    assert StoredValue("servers/a", at(8), None) in values_for_peer(state)


def test_a_page_with_an_item_without_key_removes_nothing() -> None:
    problems: list[str] = []
    state = new_state(problems)
    state.apply(Topic.BACKENDS, (value_of("a", 1), value_of("b", 2)))
    without_key = StoredValue("", at(0), b"")
    state.apply_complete(Topic.BACKENDS, Reading((without_key, value_of("c", 3)), at(9)))
    assert {standing(state, key) for key in "abc"} == {EntryStatus.IN_FORCE}
    assert len(problems) == 1
    state.apply_complete(Topic.BACKENDS, Reading((value_of("c", 3),), at(9)))
    assert {standing(state, key) for key in "ab"} == {EntryStatus.REMOVED}


def test_log_lines_are_bounded_and_every_value_is_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = [0.0]
    lines: list[object] = []
    module = "tinrudder.gateway.store.unreadable_values.log_problem"
    monkeypatch.setattr(module, lambda event, fields: lines.append(fields["detail"]))
    values = UnreadableValues(lambda: now[0])
    for number in range(100):
        values.note(f"servers/{number}: `state`" + "x" * 10_000)
    assert values.count == 100
    assert len(lines) == MAX_LINES
    assert str(lines[0]).startswith("servers/0: `state`") and len(str(lines[0])) <= 300
    now[0] = 11.0
    values.note("servers/later: `state`")
    assert len(lines) == MAX_LINES + 1
