"""Settings from files and flags, and errors that name the field and the rule."""

from __future__ import annotations

from pathlib import Path

import pytest

from tinrudder.node.settings import SettingsError, load_settings

GOOD = """
name = "n1"
zone = "a"
region = "r"
platform_url = "http://127.0.0.1:7000"
"""


def write(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "node.toml"
    path.write_text(text)
    return path


def test_flags_override_the_file(tmp_path: Path) -> None:
    settings = load_settings(write(tmp_path, GOOD), {"zone": "b"})
    assert (settings.name, settings.zone) == ("n1", "b")


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("caller_port = 70000", "caller_port"),
        ("colour = 1", "colour"),
        ('host = "localhost"', "host: must be an IP address"),
        ('log_level = "LOUD"', "log_level"),
        ('seed_peers = "somewhere:1"', "seed_peers: must be an IP address"),
        ('seed_peers = "10.0.0.1"', "seed_peers: must be HOST:PORT"),
        ("caller_port = ", "not TOML"),
        ('peer_tls_key = "key.pem"', "peer_tls_certificate: needed"),
        ("stop_grace_s = -1", "stop_grace_s"),
    ],
)
def test_bad_settings_name_field_and_rule(tmp_path: Path, line: str, expected: str) -> None:
    with pytest.raises(SettingsError, match=expected):
        load_settings(write(tmp_path, GOOD + line), {})
