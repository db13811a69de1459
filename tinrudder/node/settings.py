"""A node's settings, read from a TOML file and command-line flags.

Owns the fields, their defaults and their validation; every field is also a flag.  Unknown fields
and invalid values are rejected with an error that names the field and the rule.
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
    """The settings are invalid; the message names the field and the rule."""


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of one node daemon.

    :param name: unique among live nodes.
    :param host: IP address on which this node listens.
    :param caller_port: TCP port for HTTP of callers and operators; 0 lets the system pick one.
    :param peer_port: TCP and UDP port for other nodes.
    :param probe_interval_s: seconds between membership probes.
    :param cluster_key_file: file of the keys shared by all nodes, one per line: the first seals
        datagrams, any of them opens.  Empty: the public development key, which gives no protection.
    :param seed_peers: ``HOST:PORT`` of other nodes, separated by commas: the peers to contact
        while no list of machines is known.
    :param operator_credentials: ``KEY_ID:SHA256`` of operators' secrets, separated by commas.
    :param platform_write_url: URL at which operators write resources; the node only reports it.
    :param query_log_share: fraction of complete queries that are logged; all others are logged.
    :param platform_url: base URL of the platform's read-only service.
    :param peer_tls_certificate: PEM file presented to other nodes; requires its key and authority.
    :param caller_tls_certificate: PEM file presented to callers; requires its key.
    :param backend_tls_authority: PEM file that verifies back ends with ``tls``.
    :param tls_check_s: seconds between checks of the TLS files for changes.
    :param claim_window_s: longest validity of an at-most-once request, seconds; the same on all
        nodes.
    :param clock_skew_s: largest difference between any two nodes' clocks, seconds; the same on all
        nodes.
    :param stop_grace_s: seconds for which a stopping node still serves new requests.
    :param stop_timeout_s: seconds after the grace period to wait for requests in progress.
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
    """Read the file, override it with the flags and validate the result.

    :raises SettingsError: a setting is invalid; the message names the field and the rule.
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
    """Return the keys in a file, one per line, or an empty tuple for an empty path.

    :raises SettingsError: the file cannot be read, has no key, or a key is too short.
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

    :raises SettingsError: an entry is not ``KEY_ID:SHA256``, or a key id appears twice.
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
    """Add one flag for each settings field."""
    for field in msgspec.structs.fields(NodeSettings):
        value_type = _plain_type(field.type)
        flag = "--" + field.name.replace("_", "-")
        parser.add_argument(flag, dest=field.name, type=value_type, default=None)


def settings_from_flags(arguments: argparse.Namespace) -> dict[str, SettingValue]:
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
    """Check that the certificate, key and authority of each TLS identity are set together.

    :raises SettingsError: an identity is only partly set.
    """
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
    """Return the plain type of an annotation: str, int or float."""
    if typing.get_origin(annotation) is Annotated:
        return _plain_type(typing.get_args(annotation)[0])
    return annotation if isinstance(annotation, type) else str
