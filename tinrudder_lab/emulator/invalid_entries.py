"""Generates invalid back-end entries, as a faulty writer might leave them in the store."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

MANDATORY_FIELDS = ("service", "addr", "zone", "slots", "state")
"""Mandatory fields of an entry."""
NESTED_LEVELS = 20_000
"""Levels of nesting; a recursive parser overflows its stack on them."""
OTHER_TYPES: tuple[object, ...] = (None, True, -1, 1.5, [], {}, [1], {"a": 1})

Corruption = Callable[[dict[str, object], random.Random], bytes]


def _lacks_a_field(entry: dict[str, object], source: random.Random) -> bytes:
    missing = source.choice(MANDATORY_FIELDS)
    return msgspec.json.encode({name: value for name, value in entry.items() if name != missing})


def _has_another_type(entry: dict[str, object], source: random.Random) -> bytes:
    field = source.choice((*MANDATORY_FIELDS, "cold_left_ms", "seq", "born"))
    types = [value for value in OTHER_TYPES if not (field == "cold_left_ms" and value == 1.5)]
    return msgspec.json.encode(entry | {field: source.choice(types)})


def _has_another_state(entry: dict[str, object], source: random.Random) -> bytes:
    state = source.choice(("", "READY", "ready ", "paused", "gone"))
    return msgspec.json.encode(entry | {"state": state})


def _has_absurd_figures(entry: dict[str, object], source: random.Random) -> bytes:
    changes: tuple[dict[str, object], ...] = (
        {"slots": 0},
        {"slots": 10**9},
        {"cold_left_ms": 1e15},
        {"born": 2**60},
        {"addr": "10.0.0.1:0"},
        {"addr": "10.0.0.1:70000"},
        {"addr": "10.0.0.1: 80"},
        {"addr": "nowhere..example:80"},
        {"addr": "10.0.0.1"},
        {"service": ""},
    )
    return msgspec.json.encode(entry | source.choice(changes))


def _is_cut_short(entry: dict[str, object], source: random.Random) -> bytes:
    value = msgspec.json.encode(entry)
    return value[: source.randrange(len(value))]


def _is_not_utf8(entry: dict[str, object], source: random.Random) -> bytes:
    return b"\xff" + source.randbytes(40)


def _is_nested(entry: dict[str, object], source: random.Random) -> bytes:
    return b'{"x":' + b"[" * NESTED_LEVELS


CORRUPTIONS: tuple[Corruption, ...] = (
    _lacks_a_field,
    _has_another_type,
    _has_another_state,
    _has_absurd_figures,
    _is_cut_short,
    _is_not_utf8,
    _is_nested,
)


def invalid_value(entry: dict[str, object], source: random.Random) -> bytes:
    """Return an invalid entry derived from a valid one."""
    return source.choice(CORRUPTIONS)(entry, source)
