"""Owns the conditions of resources (accepted, enforced by the nodes) and of the platform."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from tinrudder.node.resources.accepted import AcceptedResource
from tinrudder.node.resources.store import ConfigurationStore

MAX_LAGGING_NAMED = 50
"""Lagging nodes listed by name."""


class ConditionType(enum.StrEnum):
    """Types of conditions; docs/CONFIGURATION.md describes what operators do about each."""

    ACCEPTED = "Accepted"
    ENFORCED = "Enforced"
    PLATFORM_AVAILABLE = "PlatformAvailable"
    PLATFORM_CURRENT = "PlatformCurrent"
    REVISION_UNIQUE = "RevisionUnique"
    DOCUMENT_VALID = "DocumentValid"


@dataclass(frozen=True, slots=True)
class Condition:
    """One condition; for every type, ``holds`` is ``True`` in the healthy state."""

    type: ConditionType
    holds: bool
    reason: str
    message: str = ""


@dataclass(frozen=True, slots=True)
class NodeRevision:
    """A member and the newest revision that it is known to enforce, 0 if none."""

    name: str
    zone: str
    status: str
    revision: int


NodeRevisions = Callable[[], Sequence[NodeRevision]]


@dataclass(frozen=True, slots=True)
class Enforcement:
    """How many nodes enforce a revision or a newer one.

    :param lagging: names of the other nodes, at most ``MAX_LAGGING_NAMED``.
    """

    revision: int
    enforcing: int
    nodes: int
    lagging: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Whether all nodes enforce the revision or a newer one."""
        return self.enforcing == self.nodes


class EnforcementCount:
    """Counts nodes by enforced revision at one moment; results are cached by revision."""

    def __init__(self, nodes: Sequence[NodeRevision]) -> None:
        """Take the nodes to count."""
        self.nodes = tuple(sorted(nodes, key=lambda node: node.name))
        self._counted: dict[int, Enforcement] = {}

    def of(self, revision: int) -> Enforcement:
        """Return how many nodes enforce a revision or a newer one."""
        enforcement = self._counted.get(revision)
        if enforcement is None:
            lagging = tuple(node.name for node in self.nodes if node.revision < revision)
            enforcing = len(self.nodes) - len(lagging)
            listed = lagging[:MAX_LAGGING_NAMED]
            enforcement = Enforcement(revision, enforcing, len(self.nodes), listed)
            self._counted[revision] = enforcement
        return enforcement


class StatusReporter:
    """Derives conditions from the store and from the revisions that members report."""

    def __init__(self, store: ConfigurationStore, nodes: NodeRevisions) -> None:
        """Report on ``store``; ``nodes`` returns all members, including this node."""
        self._store = store
        self._nodes = nodes

    def count(self) -> EnforcementCount:
        """Return a count at this moment, to be reused for one whole response."""
        return EnforcementCount(self._nodes())

    def conditions_of(
        self, resource: AcceptedResource, count: EnforcementCount
    ) -> tuple[Condition, ...]:
        """Return the conditions of a resource."""
        changed_at = self._store.changes.changed_at.get(resource.key, self._store.current.revision)
        return (_accepted(resource), enforced_condition(count.of(changed_at)))

    def platform_conditions(self) -> tuple[Condition, ...]:
        """Return the platform's conditions as this node last observed them."""
        observation = self._store.platform
        in_force = self._store.current.revision
        behind = f"platform has revision {observation.revision}, {in_force} is in force"
        reused = f"revision {observation.revision} came with other content than the one in force"
        return (
            _condition(
                ConditionType.PLATFORM_AVAILABLE,
                not observation.unavailable,
                "Unavailable",
                observation.unavailable,
            ),
            _condition(ConditionType.PLATFORM_CURRENT, not observation.behind, "Behind", behind),
            _condition(ConditionType.REVISION_UNIQUE, not observation.reused, "Reused", reused),
            _condition(
                ConditionType.DOCUMENT_VALID,
                not observation.refused,
                "Refused",
                observation.refused,
            ),
        )


def enforced_condition(enforcement: Enforcement) -> Condition:
    """Return the condition for an enforcement count."""
    counts = f"{enforcement.enforcing} of {enforcement.nodes} nodes"
    if enforcement.complete:
        return Condition(ConditionType.ENFORCED, True, "Everywhere", counts)
    unlisted = enforcement.nodes - enforcement.enforcing - len(enforcement.lagging)
    names = ", ".join(enforcement.lagging) + (f" and {unlisted} more" if unlisted else "")
    return Condition(ConditionType.ENFORCED, False, "Lagging", f"{counts}; lagging: {names}")


def _accepted(resource: AcceptedResource) -> Condition:
    if not resource.problem and resource.spec is None:
        text = "accepted by another release of the tier, but this node can't read it"
        return Condition(ConditionType.ACCEPTED, False, "Unreadable", text)
    if not resource.problem:
        return Condition(ConditionType.ACCEPTED, True, "Valid")
    if not resource.raw_spec:
        return Condition(ConditionType.ACCEPTED, False, "NeverAccepted", resource.problem)
    return Condition(ConditionType.ACCEPTED, False, "LastGoodInForce", resource.problem)


def _condition(condition_type: ConditionType, holds: bool, reason: str, message: str) -> Condition:
    if holds:
        return Condition(condition_type, True, "AsExpected")
    return Condition(condition_type, False, reason, message)
