"""Messages of the platform's configuration and membership service.

Values only.
"""

from __future__ import annotations

import enum

import msgspec


class PlatformUnavailableError(Exception):
    """The platform did not answer, or its answer is unusable."""


class RawResource(msgspec.Struct, frozen=True):
    """One resource as stored by the platform, with a spec that is not validated yet.

    :param generation: incremented by the platform with every change of this resource.
    """

    kind: str
    name: str
    generation: int
    spec: msgspec.Raw


class ResourceDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """All resources at one revision.

    Revisions increase with every change unless the platform is restored from an older state.

    :param resource_count: number of resources that the platform holds, if it states one; a document
        with fewer is partial and rejected.
    """

    revision: int
    resources: tuple[RawResource, ...]
    resource_count: int | None = None


class MemberState(enum.StrEnum):
    """State of a machine as reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class PlatformMember(msgspec.Struct, frozen=True):
    """One machine of the system.

    :param host: IP address.
    :param port: port on which it listens for other nodes.
    """

    name: str
    zone: str
    region: str
    host: str
    port: int
    state: MemberState = MemberState.LIVE


class MemberList(msgspec.Struct, frozen=True):
    """The platform's list of machines, which may be stale."""

    revision: int
    members: tuple[PlatformMember, ...]
