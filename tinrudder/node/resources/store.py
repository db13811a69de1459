"""The store of the configuration in force: it only ever moves forward.

Whatever arrives, from the platform or from a peer and in any order, is joined with what is held.
The revision is therefore never lowered; nothing is kept on disk.
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
    """What this node last saw of the platform's configuration.

    :param revision: of the last document read, 0 before the first.
    :param behind: that revision is lower than the one in force.
    :param reused: it has the revision in force with other content.
    :param refused: why the document as a whole was refused, else empty.
    :param unavailable: why the last read failed, else empty.
    """

    revision: int = 0
    behind: bool = False
    reused: bool = False
    refused: str = ""
    unavailable: str = ""


class ConfigurationStore:
    """Holds the accepted state and its view; the highest revision wins."""

    def __init__(self, policies: PolicyNames | None = None) -> None:
        """Start with nothing in force, at revision 0."""
        self.current = Configuration()
        self.state = EMPTY_STATE
        self.platform = PlatformObservation()
        self.policies = policies or PolicyNames()
        self._listeners: list[StateListener] = []
        self.changes = ChangeLog()

    def subscribe(self, listener: StateListener) -> None:
        """Call ``listener`` after every change of the accepted state."""
        self._listeners.append(listener)

    def offer(self, document: ResourceDocument) -> bool:
        """Take a document of the platform.

        A stale or restored platform changes nothing of what is in force, except that it may
        supply the last good specification of a resource whose newer one is refused.

        :returns: whether the accepted state changed.
        """
        try:
            offered = state_of_document(document, self.policies, self.state)
        except DocumentRefusedError as error:
            self.platform = PlatformObservation(document.revision, refused=str(error))
            return False
        held = self.state.version
        self.platform = PlatformObservation(
            document.revision,
            behind=document.revision < held.revision,
            reused=document.revision == held.revision and offered.version != held,
        )
        return self.merge(offered)

    def note_platform_unavailable(self, reason: str) -> None:
        """Remember that the platform could not be read; what is in force stays."""
        self.platform = PlatformObservation(self.platform.revision, unavailable=reason)

    def note_platform_unchanged(self) -> None:
        """Remember that the platform answered that it has the revision in force."""
        self.platform = PlatformObservation(
            self.state.version.revision, reused=self.platform.reused
        )

    def merge(self, other: AcceptedState) -> bool:
        """Join another node's accepted state; return whether this changed ours."""
        joined = join_states(self.state, other)
        if joined is self.state or joined.digest == self.state.digest:
            return False
        former = self.state
        self.state = joined
        self.changes.note(former, joined)
        self.current = build_configuration(joined.version.revision, joined.resources)
        for listener in tuple(self._listeners):
            listener(joined)
        return True
