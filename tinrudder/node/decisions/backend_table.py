"""Table of all back ends of the configuration, with this node's share of each.

Owns the back-end records.  The configuration provides the list of back ends, and the coordinator
sets provide the shares.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.resources.model import BackendSpec, BackendState

CALLS_PER_SLOT = 1.2
"""Calls in flight per slot that keep the slot busy while answers are on the network (see
docs/LIMITS.md)."""

SlotShare = Callable[[str, BackendSpec], float]
ConnectionShare = Callable[[str, BackendSpec], int]


def all_slots(_name: str, spec: BackendSpec) -> float:
    """Give this node every slot; correct only if no other node sends to the back end."""
    return spec.slots


class BackendTable:
    """Records by name; a record survives configuration changes, so its observations are kept.

    :ivar generation: incremented by every update; earlier look-ups may then be stale.
    """

    def __init__(self) -> None:
        """Start without back ends."""
        self._records: dict[str, BackendRecord] = {}
        self.on_update: Callable[[], None] | None = None
        self._by_service: dict[str, list[BackendRecord]] = {}
        self.generation = 0

    def update(
        self,
        specs: Mapping[str, BackendSpec],
        share: SlotShare = all_slots,
        headroom: float = 1.0,
    ) -> None:
        """Apply a changed configuration or changed coordinator sets.

        :param share: most calls that this node may have in flight at a back end, headroom
            included.
        :param headroom: ratio of that number to this node's share of the slots.
        """
        self.generation += 1
        self._by_service = {}
        for name in self._records.keys() - specs.keys():
            self._records.pop(name).leaving = True
        for name, spec in specs.items():
            max_calls = max(1.0, share(name, spec))
            max_limit = float(min(max_calls, math.ceil(max_calls / headroom * CALLS_PER_SLOT)))
            record = self._records.get(name)
            if record is None or (record.host, record.port) != (spec.host, spec.port):
                if record is not None:
                    record.leaving = True
                record = BackendRecord(
                    name, spec.host, spec.port, spec.zone, spec.slots, max_limit, spec.tls
                )
                self._records[name] = record
            record.slots = spec.slots
            record.set_share(max_limit, max_calls / max_limit)
            record.configured_leaving = spec.state is BackendState.DRAINING
            record.leaving = record.configured_leaving or record.drain_reported
            self._by_service.setdefault(spec.service, []).append(record)
        if self.on_update is not None:
            self.on_update()

    def clear_drain_report(self, name: str) -> None:
        """Clear a reported drain of a back end; a drain in the configuration still applies."""
        record = self._records.get(name)
        if record is not None and record.drain_reported:
            record.drain_reported = False
            record.leaving = record.configured_leaving

    def share_connections(self, specs: Mapping[str, BackendSpec], share: ConnectionShare) -> None:
        """Set how many connections this node may open to each back end."""
        for name, spec in specs.items():
            self._records[name].max_connections = share(name, spec)

    def get(self, name: str) -> BackendRecord | None:
        """Return a back end's record, ``None`` if there is none."""
        return self._records.get(name)

    def all_records(self) -> tuple[BackendRecord, ...]:
        """Return every record."""
        return tuple(self._records.values())

    def of_service(self, service: str) -> tuple[BackendRecord, ...]:
        """Return the records of a service's back ends."""
        return tuple(self._by_service.get(service, ()))

    def records(self, names: tuple[str, ...]) -> tuple[BackendRecord, ...]:
        """Return the existing records of ``names``, including back ends that are draining."""
        found = (self._records.get(name) for name in names)
        return tuple(record for record in found if record is not None)
