"""What the platform's configuration and membership service says."""

from __future__ import annotations

import enum

import msgspec


class PlatformUnavailableError(Exception):
    """The platform did not answer, or answered something unreadable."""


class RawResource(msgspec.Struct, frozen=True):
    """One resource as the platform holds it; its spec is not validated yet.

    :param generation: raised by the platform with every change of this resource.
    """

    kind: str
    name: str
    generation: int
    spec: msgspec.Raw


class ResourceDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """All resources at one revision; revisions only grow in an honest history.

    :param resource_count: how many resources the platform holds, where it says so; a document
        with fewer is partial and refused.
    """

    revision: int
    resources: tuple[RawResource, ...]
    resource_count: int | None = None


class MemberState(enum.StrEnum):
    """What the platform believes of a machine."""

    LIVE = "live"
    LEAVING = "leaving"


class PlatformMember(msgspec.Struct, frozen=True):
    """One machine of the system.

    :param host: IP address; :param port: where it listens for other nodes.
    """

    name: str
    zone: str
    region: str
    host: str
    port: int
    state: MemberState = MemberState.LIVE


class MemberList(msgspec.Struct, frozen=True):
    """The platform's list of machines; it lags behind the truth."""

    revision: int
    members: tuple[PlatformMember, ...]
