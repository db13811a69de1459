"""A node's settings: a TOML file, every field of which is also a flag.

Unknown fields and values that break a rule are refused with an error that names both.
"""

from __future__ import annotations

import argparse
import ipaddress
import re
import tomllib
import typing
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from tinrudder.peers import PeerAddress

MAX_PORT = 65535
Port = Annotated[int, Meta(ge=0, le=MAX_PORT)]
MINIMUM_KEY_BYTES = 16
SHA256_PATTERN = re.compile("[0-9a-f]{64}")
SettingValue = str | int | float


class SettingsError(Exception):
    """The settings break a rule; the text names the field and the rule."""


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of one node daemon.

    :param name: unique among live nodes.
    :param host: IP address this node listens on.
    :param caller_port: TCP port for callers' and operators' HTTP; 0 picks one.
    :param peer_port: TCP and UDP port for other nodes.
    :param probe_interval_s: how often this node probes another one.
    :param cluster_key_file: keys shared by all nodes, one a line; the first seals, all open.
        Empty: the development key, which keeps nobody out.
    :param seed_peers: ``HOST:PORT`` of other nodes, separated by commas: asked for the
        configuration while no list of machines is known.
    :param operator_credentials: ``KEY_ID:SHA256`` of operators' secrets, separated by commas.
    :param platform_write_url: where operators write resources; only told to them, never used.
    :param query_log_share: part of the complete queries that are logged; others always are.
    :param platform_url: base URL of the platform's read-only service.
    :param peer_tls_certificate: PEM file shown to other nodes; with its key and authority, or
        not at all.
    :param caller_tls_certificate: PEM file shown to callers; with its key, or not at all.
    :param backend_tls_authority: PEM file that back ends with ``tls`` are checked against.
    :param tls_check_s: how often the files are looked at for changes, seconds.
    :param claim_window_s: longest time a request that must not be repeated may be valid; the same
        on all nodes.
    :param clock_skew_s: largest difference between any two nodes' clocks; the same on all nodes.
    :param stop_grace_s: how long a node that was told to stop goes on serving what arrives.
    :param stop_timeout_s: how long it then waits for what is in progress.
    """

    name: Annotated[str, Meta(min_length=1, max_length=100)]
    zone: Annotated[str, Meta(min_length=1, max_length=100)]
    region: Annotated[str, Meta(min_length=1, max_length=100)]
    host: str = "127.0.0.1"
    caller_port: Port = 8080
    peer_port: Port = 8081
    probe_interval_s: Annotated[float, Meta(gt=0, le=60)] = 0.5
    cluster_key_file: str = ""
    seed_peers: str = ""
    operator_credentials: str = ""
    platform_write_url: str = ""
    platform_url: Annotated[str, Meta(pattern="^https?://")]
    platform_poll_s: Annotated[float, Meta(gt=0, le=60)] = 1.0
    claim_window_s: Annotated[float, Meta(gt=0, le=3600)] = 60.0
    clock_skew_s: Annotated[float, Meta(ge=0, le=60)] = 1.0
    stop_grace_s: Annotated[float, Meta(ge=0, le=60)] = 2.0
    stop_timeout_s: Annotated[float, Meta(ge=0, le=3600)] = 30.0
    peer_tls_certificate: str = ""
    peer_tls_key: str = ""
    peer_tls_authority: str = ""
    caller_tls_certificate: str = ""
    caller_tls_key: str = ""
    backend_tls_certificate: str = ""
    backend_tls_key: str = ""
    backend_tls_authority: str = ""
    tls_check_s: Annotated[float, Meta(gt=0, le=3600)] = 5.0
    query_log_share: Annotated[float, Meta(ge=0, le=1)] = 1.0
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


def load_settings(path: Path | None, flags: dict[str, SettingValue]) -> NodeSettings:
    """Read the file, lay the flags over it and check the result.

    :raises SettingsError: naming the field and the rule it breaks.
    """
    values: dict[str, object] = {}
    if path is not None:
        values.update(_read_file(path))
    values.update(flags)
    try:
        settings = msgspec.convert(values, NodeSettings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path or 'flags'}: {error}") from error
    _check_host(settings.host)
    parse_seed_peers(settings.seed_peers)
    parse_operator_credentials(settings.operator_credentials)
    _check_tls(settings)
    return settings


def read_cluster_keys(path: str) -> tuple[bytes, ...]:
    """Return the keys in a file, one a line; none for an empty path.

    :raises SettingsError: the file cannot be read or holds no key of sufficient length.
    """
    if not path:
        return ()
    try:
        keys = tuple(line.strip() for line in Path(path).read_bytes().splitlines() if line.strip())
    except OSError as error:
        raise SettingsError(f"cluster_key_file: {path}: {error.strerror}") from error
    if not keys or min(len(key) for key in keys) < MINIMUM_KEY_BYTES:
        rule = f"at least one key, each of {MINIMUM_KEY_BYTES} bytes or more"
        raise SettingsError(f"cluster_key_file: {path}: {rule}")
    return keys


def parse_seed_peers(text: str) -> tuple[PeerAddress, ...]:
    """Return the addresses of a ``seed_peers`` setting.

    >>> parse_seed_peers("10.0.0.1:8081, 10.0.0.2:8081")[1]
    Address(host='10.0.0.2', port=8081)

    :raises SettingsError: an entry is not ``HOST:PORT`` with an IP address.
    """
    addresses = []
    for entry in filter(None, (part.strip() for part in text.split(","))):
        host, _, port = entry.rpartition(":")
        if not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
            raise SettingsError(f"seed_peers: must be HOST:PORT, got {entry!r}")
        try:
            ipaddress.ip_address(host)
        except ValueError as error:
            raise SettingsError(f"seed_peers: must be an IP address, got {host!r}") from error
        addresses.append(PeerAddress(host, int(port)))
    return tuple(addresses)


def parse_operator_credentials(text: str) -> dict[str, str]:
    """Return the SHA-256 of every operator's secret, by key id.

    :raises SettingsError: an entry is not ``KEY_ID:SHA256``, or a key id stands twice.
    """
    credentials: dict[str, str] = {}
    for entry in filter(None, (part.strip() for part in text.split(","))):
        key_id, _, digest = entry.partition(":")
        if not key_id or not SHA256_PATTERN.fullmatch(digest):
            raise SettingsError("operator_credentials: must be KEY_ID:SHA256 in hexadecimal")
        if key_id in credentials:
            raise SettingsError(f"operator_credentials: {key_id!r} is listed more than once")
        credentials[key_id] = digest
    return credentials


def add_settings_flags(parser: argparse.ArgumentParser) -> None:
    """Add one flag per settings field."""
    for field in msgspec.structs.fields(NodeSettings):
        value_type = _plain_type(field.type)
        flag = "--" + field.name.replace("_", "-")
        parser.add_argument(flag, dest=field.name, type=value_type, default=None)


def flags_given(arguments: argparse.Namespace) -> dict[str, SettingValue]:
    """Return the settings given as flags."""
    names = (field.name for field in msgspec.structs.fields(NodeSettings))
    values = {name: getattr(arguments, name) for name in names}
    return {name: value for name, value in values.items() if value is not None}


def _read_file(path: Path) -> dict[str, object]:
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error


def _check_host(host: str) -> None:
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise SettingsError(f"host: must be an IP address, got {host!r}") from error


def _check_tls(settings: NodeSettings) -> None:
    """Refuse an identity that is given in part."""
    groups = (
        ("peer_tls_certificate", "peer_tls_key", "peer_tls_authority"),
        ("caller_tls_certificate", "caller_tls_key"),
        ("backend_tls_certificate", "backend_tls_key"),
    )
    for names in groups:
        missing = [name for name in names if not getattr(settings, name)]
        if missing and len(missing) < len(names):
            raise SettingsError(f"{missing[0]}: needed together with the rest of {names}")


def _plain_type(annotation: object) -> type:
    """Return str, int or float for a field's annotation."""
    if typing.get_origin(annotation) is Annotated:
        return _plain_type(typing.get_args(annotation)[0])
    return annotation if isinstance(annotation, type) else str
