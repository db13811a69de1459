"""The history of a run in process mode while it is being recorded."""

from __future__ import annotations

import time

from tinrudder.node.configuration_service.messages import ResourceDocument
from tinrudder_lab.history import (
    DrainSigned,
    FaultSet,
    History,
    NodeSeen,
    NodeStage,
)
from tinrudder_lab.sightings import versions_seen

ROUND_S = 6


class Recorder:
    """Stamps events with seconds since the start of the run."""

    def __init__(self) -> None:
        """Begin now."""
        self.history = History()
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return seconds since the start of the run."""
        return round(time.monotonic() - self.started_at, ROUND_S)

    def see_node(self, name: str, stage: NodeStage, unfinished: int = 0, address: str = "") -> None:
        """Record something that happened to a node."""
        self.history.nodes.append(NodeSeen(self.now(), name, stage, unfinished, address))

    def sign_drain(self, backend: str) -> None:
        """Record the first sign that a back end leaves."""
        self.history.drains.append(DrainSigned(self.now(), backend))

    def note(self, text: str) -> None:
        """Record that a fault was turned on or off."""
        self.history.faults.append(FaultSet(self.now(), text))

    def see_versions(self, document: ResourceDocument) -> None:
        """Record the index versions of a document."""
        self.history.versions.extend(versions_seen(self.now(), document))
