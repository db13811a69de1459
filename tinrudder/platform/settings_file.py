"""Decodes the platform's settings file into a gateway's settings.

Owns the names in the file; fields whose name is unclear have a comment. Unknown fields are ignored:
the platform may add some at any time.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from tinrudder.common.address import Address
from tinrudder.gateway.model.configuration import (
    ColdBounds,
    GatewaySettings,
    QuotaBounds,
    RepeatBounds,
    SettingsFileError,
)
from tinrudder.platform.documents import MILLISECONDS_PER_S

SETTINGS_VARIABLE = "TINRUDDER_CONFIG"

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]


class _Listen(msgspec.Struct):
    # Listening address for clients.
    front: str
    # Listening address for readiness checks.
    ready: str
    # Listening address for other gateways; without it, this one has no peers.
    control: str = ""


class _Bounds(msgspec.Struct):
    # How long a leaving back end continues to serve; see grace_s for this gateway's own stop.
    drain_ms: Positive = 3000
    # Time from the request to stop this gateway until it is killed.
    grace_s: Positive = 6
    # Budget of retries and hedges for each service, for all gateways together.
    budget_ratio: NotNegative = 0.1
    budget_window_s: Positive = 10
    budget_extra: NotNegative = 10
    # Limit for a cold back end: a factor on its rate, and calls per second added to that.
    cold_excess: NotNegative = 1
    cold_slack: NotNegative = 0
    # Maximum time from the store's confirmation of a change until it is in force on all gateways.
    config_apply_ms: Positive = 3000
    strict_revoke: bool = False
    revoke_ms: Positive = 5000
    quota_window_s: Positive = 5
    # Tolerance over a tenant's limit: a part of the limit, and requests added to that.
    quota_excess: NotNegative = 0.25
    quota_slack: NotNegative = 20


class _Limits(msgspec.Struct):
    # Usable part of each core; multiplied by the cores it is the process's capacity.
    cpu_share: Positive = 1.0
    cores: Positive = 1.0
    # 0: unlimited.
    memory_mb: NotNegative = 0


class _Store(msgspec.Struct):
    addr: str


class _Settings(msgspec.Struct):
    node: Annotated[str, Meta(min_length=1)]
    listen: _Listen
    platform: _Store
    zone: str = ""
    seeds: list[str] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Read and check a settings file.

    :raises SettingsFileError: it is unreadable or breaks a rule; the text names the field.
    """
    document = _read(path)
    listen = document.listen
    bounds = document.bounds
    limits = document.limits
    return GatewaySettings(
        name=document.node,
        zone=document.zone,
        clients=_address("listen.front", listen.front),
        health=_address("listen.ready", listen.ready),
        peers=_address("listen.control", listen.control) if listen.control else None,
        seeds=tuple(_address("seeds", text) for text in document.seeds),
        store=_address("platform.addr", document.platform.addr),
        capacity=limits.cpu_share * limits.cores,
        drain_s=bounds.drain_ms / MILLISECONDS_PER_S,
        stop_grace_s=bounds.grace_s,
        repeats=RepeatBounds(bounds.budget_ratio, bounds.budget_extra, bounds.budget_window_s),
        cold=ColdBounds(bounds.cold_excess, bounds.cold_slack),
        quotas=QuotaBounds(bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack),
        revocation_s=bounds.revoke_ms / MILLISECONDS_PER_S if bounds.strict_revoke else None,
        memory_mb=limits.memory_mb or None,
        change_in_force_s=bounds.config_apply_ms / MILLISECONDS_PER_S,
    )


def _read(path: Path) -> _Settings:
    """Decode a settings file."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), _Settings, strict=False)
    except OSError as error:
        raise SettingsFileError(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError, msgspec.MsgspecError) as error:
        raise SettingsFileError(f"{path}: {error}") from error


def _address(field: str, text: str) -> Address:
    """Parse an address; an error names its field."""
    try:
        return Address.parse(text)
    except ValueError as error:
        raise SettingsFileError(f"{field}: {error}") from error
