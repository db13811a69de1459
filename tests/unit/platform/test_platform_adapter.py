"""The adapter to the users' platform: formats, settings, and limits on the folder itself."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from tinrudder.common.address import Address
from tinrudder.gateway.model.configuration import SettingsFileError
from tinrudder.gateway.store.stored_values import (
    ConfigurationKey,
    EvacuationKey,
    OperatorKey,
    UnreadableValueError,
    UnusedKey,
)
from tinrudder.platform.documents import (
    decode_backend,
    decode_configuration,
    decode_operator_key,
)
from tinrudder.platform.settings_file import load_gateway_settings

PRODUCT = Path(__file__).parents[3] / "tinrudder"
MAX_FOLDER_LINES = 600

# Names that only the platform's interfaces use; general terms of the field are not listed.
PLATFORM_NAMES = (
    "tinrudder-request-id",
    "tinrudder-deadline-ms",
    "tinrudder-server-stamp",
    "tinrudder-expect-instance",
    "tinrudder-backend-load",
    "tinrudder-not-run",
    "tinrudder-parts",
    "tinrudder-missing-parts",
    '"tinrudder_config"',
    "kv-key",
    "kv-range",
    "kv-watch",
    "op/config",
    "op/evacuate",
    "servers/",
    "goal_ms",
    "oldest_version",
    "top_k",
    "max_conns",
    "cold_left_ms",
    "budget_extra",
    "port_range",
)

SETTINGS = """
node = "front-1"
zone = "z"
seeds = ["10.0.0.2:81"]
something_new = 3
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:82"
control = "10.0.0.1:81"
[platform]
addr = "10.9.0.1:90"
[bounds]
drain_ms = 2000
config_apply_ms = 5000
budget_ratio = 0.3
[limits]
memory_mb = 300
"""


def test_no_name_of_the_platform_stands_outside_its_folder() -> None:
    found = [
        f"{path.relative_to(PRODUCT)}: {name}"
        for path in PRODUCT.rglob("*.py")
        if "platform" not in path.relative_to(PRODUCT).parts
        for name in PLATFORM_NAMES
        if name in path.read_text().lower()
    ]
    assert found == []


@pytest.mark.parametrize(
    ("key", "meaning"),
    [
        ("op/config", ConfigurationKey()),
        ("op/evacuate/zone-a", EvacuationKey("zone-a")),
        ("op/config2", UnusedKey()),
        ("op/something", UnusedKey()),
    ],
)
def test_an_operators_key_is_told_by_its_form(key: str, meaning: OperatorKey) -> None:
    assert decode_operator_key(key) == meaning


@pytest.mark.parametrize("key", ["op/evacuate/", "op/evacuate/zone-a/", "op/evacuate/a/b"])
def test_an_evacuation_of_no_zone_or_of_two_is_refused_by_its_key(key: str) -> None:
    with pytest.raises(UnreadableValueError, match=key):
        decode_operator_key(key)


def test_the_folder_stays_small() -> None:
    lines = sum(len(path.read_text().splitlines()) for path in (PRODUCT / "platform").glob("*.py"))
    assert lines <= MAX_FOLDER_LINES


def test_the_folder_decides_nothing() -> None:
    """It uses no clock, timer, random source or task."""
    forbidden = {"time", "random", "sleep", "call_later", "call_at", "create_task"}
    used = {
        f"{path.name}: {node.attr if isinstance(node, ast.Attribute) else node.id}"
        for path in (PRODUCT / "platform").glob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute | ast.Name)
        if (node.attr if isinstance(node, ast.Attribute) else node.id) in forbidden
    }
    assert used == set()


def write(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "boot.toml"
    path.write_text(text)
    return path


def test_settings_are_read_and_unknown_fields_skipped(tmp_path: Path) -> None:
    settings = load_gateway_settings(write(tmp_path, SETTINGS))
    assert settings.clients == Address("10.0.0.1", 80)
    assert settings.seeds == (Address("10.0.0.2", 81),)
    assert settings.drain_s == 2.0
    assert settings.change_in_force_s == 5.0
    assert settings.repeats.ratio == 0.3
    assert settings.memory_mb == 300.0
    unbounded = SETTINGS.replace("memory_mb = 300", "memory_mb = 0")
    assert load_gateway_settings(write(tmp_path, unbounded)).memory_mb is None


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('front = "10.0.0.1:80"', "", "front"),
        ('front = "10.0.0.1:80"', 'front = "nowhere"', "listen.front"),
        ("drain_ms = 2000", "drain_ms = -1", "drain_ms"),
        ("config_apply_ms = 5000", "config_apply_ms = 0", "config_apply_ms"),
        ("drain_ms = 2000", "cold_excess = -1", "cold_excess"),
        ("drain_ms = 2000", "cold_slack = 'much'", "cold_slack"),
        ('node = "front-1"', 'node = ""', "node"),
        ("[platform]", "[platform", "boot.toml"),
    ],
)
def test_a_wrong_setting_is_named(tmp_path: Path, old: str, new: str, named: str) -> None:
    with pytest.raises(SettingsFileError, match=named.replace(".", r"\.")):
        load_gateway_settings(write(tmp_path, SETTINGS.replace(old, new)))


def test_a_missing_file_is_named(tmp_path: Path) -> None:
    with pytest.raises(SettingsFileError, match=r"absent\.toml"):
        load_gateway_settings(tmp_path / "absent.toml")


def test_a_configuration_becomes_the_products_own() -> None:
    configuration = decode_configuration(
        b'{"version": 7, "routes": ['
        b'{"name": "a", "host": "H.example", "path_prefix": "/a/", "kind": "safe",'
        b' "timeout_ms": 800, "goal_ms": 95, "attempts": 2, "priority": 1,'
        b' "gather": ["s1", "s2"], "top_k": 5, "oldest_version": 0.75},'
        b'{"name": "b", "host": "h.example", "path_prefix": "/b/", "kind": "unsafe",'
        b' "timeout_ms": 800, "goal_ms": 95,'
        b' "split": [{"service": "x", "weight": 3}, {"service": "y", "weight": 1}]}],'
        b'"services": [{"name": "s1", "max_conns": 26}], "limits": {"idle_timeout_ms": 5000}}'
    )
    scatter, split = configuration.routes
    assert (scatter.host, scatter.shards, scatter.top_records) == ("h.example", ("s1", "s2"), 5)
    assert (scatter.objective_s, scatter.minimum_share, scatter.repeatable) == (0.095, 0.75, True)
    assert [part.weight for part in split.services] == [3, 1]
    assert not split.repeatable
    assert configuration.services["s1"].max_connections == 26
    assert configuration.limits.idle_timeout_s == 5.0


@pytest.mark.parametrize("value", [b"", b"[]", b'{"version": 1}', b'{"routes": [], "version": []}'])
def test_an_unreadable_configuration_is_an_error_of_ours(value: bytes) -> None:
    with pytest.raises(UnreadableValueError, match="op/config"):
        decode_configuration(value)


def test_an_entry_names_its_back_end_by_its_key() -> None:
    entry = decode_backend(
        "servers/i-1",
        b'{"service": "s", "addr": "10.0.0.1:80", "zone": "z", "slots": 2, "state": "draining",'
        b' "cold_left_ms": 1500, "seq": 4}',
    )
    assert (entry.backend_id, entry.host, entry.port) == ("i-1", "10.0.0.1", 80)
    assert entry.leaving
    assert entry.cold_left_s == 1.5


def test_an_unreadable_entry_names_its_key() -> None:
    with pytest.raises(UnreadableValueError, match="servers/i-1"):
        decode_backend("servers/i-1", b'{"service": "s", "addr": "nowhere"}')
