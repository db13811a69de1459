"""Owns the accepted state of a node and the configuration in force, in memory only.

Documents of the platform and states of peers may arrive in any order; each is joined with the
current state, so the revision never decreases.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tinrudder.node.configuration_service.messages import ResourceDocument
from tinrudder.node.resources.accepted import EMPTY_STATE, AcceptedState, join_states
from tinrudder.node.resources.change_log import ChangeLog
from tinrudder.node.resources.configuration import Configuration, build_configuration
from tinrudder.node.resources.rules import PolicyNames
from tinrudder.node.resources.validation import DocumentRefusedError, state_of_document

StateListener = Callable[[AcceptedState], None]


@dataclass(frozen=True, slots=True)
class PlatformObservation:
    """Result of this node's last read of the platform's configuration.

    :param revision: revision of the last document read, 0 before the first.
    :param behind: whether that revision is lower than the one in force.
    :param reused: whether the document has the revision in force with different content.
    :param refused: why the whole document was refused, else empty.
    :param unavailable: why the last read failed, else empty.
    """

    revision: int = 0
    behind: bool = False
    reused: bool = False
    refused: str = ""
    unavailable: str = ""


class ConfigurationStore:
    """Holds the accepted state and the configuration built from it; the highest revision wins."""

    def __init__(self, policies: PolicyNames | None = None) -> None:
        """Start with no resources, at revision 0."""
        self.current = Configuration()
        self.state = EMPTY_STATE
        self.platform = PlatformObservation()
        self.policies = policies or PolicyNames()
        self._listeners: list[StateListener] = []
        self.changes = ChangeLog()

    def subscribe(self, listener: StateListener) -> None:
        """Call ``listener`` after every change of the accepted state."""
        self._listeners.append(listener)

    def merge_document(self, document: ResourceDocument) -> bool:
        """Validate a document of the platform and merge it into the accepted state.

        An older document, from a stale or restored platform, changes nothing in force, except
        that it may supply the last good specification of a resource whose newer one is refused.

        :returns: whether the accepted state changed.
        """
        try:
            document_state = state_of_document(document, self.policies, self.state)
        except DocumentRefusedError as error:
            self.platform = PlatformObservation(document.revision, refused=str(error))
            return False
        current_version = self.state.version
        self.platform = PlatformObservation(
            document.revision,
            behind=document.revision < current_version.revision,
            reused=document.revision == current_version.revision
            and document_state.version != current_version,
        )
        return self.merge(document_state)

    def record_platform_unavailable(self, reason: str) -> None:
        """Record that reading the platform failed; the configuration in force stays."""
        self.platform = PlatformObservation(self.platform.revision, unavailable=reason)

    def record_platform_unchanged(self) -> None:
        """Record that the platform still has the revision in force."""
        self.platform = PlatformObservation(
            self.state.version.revision, reused=self.platform.reused
        )

    def merge(self, other: AcceptedState) -> bool:
        """Join another accepted state with this node's; return whether this node's changed."""
        joined = join_states(self.state, other)
        if joined is self.state or joined.digest == self.state.digest:
            return False
        previous = self.state
        self.state = joined
        self.changes.record(previous, joined)
        self.current = build_configuration(joined.version.revision, joined.resources)
        for listener in tuple(self._listeners):
            listener(joined)
        return True
