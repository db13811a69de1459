"""All back ends this node knows, kept in step with the configuration.

Owns the records.  Relies on the configuration for which there are, and on the coordinator sets for
the share of each.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.resources.model import BackendSpec, BackendState

CALLS_PER_SLOT = 1.2
"""Calls in flight for one slot that keep it busy while answers travel, see docs/LIMITS.md."""

SlotShare = Callable[[str, BackendSpec], float]
ConnectionShare = Callable[[str, BackendSpec], int]


def all_slots(_name: str, spec: BackendSpec) -> float:
    """Give this node every slot: right only where no other node sends."""
    return spec.slots


class BackendTable:
    """Records by name; a record outlives configuration changes, so observations are kept.

    :ivar generation: raised by every update; what was looked up before may be stale.
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
        """Follow the configuration and the coordinator sets.

        :param share: how many calls this node may ever have in flight at a back end.
        :param headroom: that number over the slots it stands for.
        """
        self.generation += 1
        self._by_service = {}
        for name in self._records.keys() - specs.keys():
            self._records.pop(name).leaving = True
        for name, spec in specs.items():
            most = max(1.0, share(name, spec))
            usual = float(min(most, math.ceil(most / headroom * CALLS_PER_SLOT)))
            record = self._records.get(name)
            if record is None or (record.host, record.port) != (spec.host, spec.port):
                if record is not None:
                    record.leaving = True
                record = BackendRecord(
                    name, spec.host, spec.port, spec.zone, spec.slots, usual, spec.tls
                )
                self._records[name] = record
            record.slots = spec.slots
            record.set_share(usual, most / usual)
            record.configured_leaving = spec.state is BackendState.DRAINING
            record.leaving = record.configured_leaving or record.drain_signed
            self._by_service.setdefault(spec.service, []).append(record)
        if self.on_update is not None:
            self.on_update()

    def end_drain_sign(self, name: str) -> None:
        """Forget that a back end was said to be leaving; the configuration still counts."""
        record = self._records.get(name)
        if record is not None and record.drain_signed:
            record.drain_signed = False
            record.leaving = record.configured_leaving

    def share_connections(self, specs: Mapping[str, BackendSpec], share: ConnectionShare) -> None:
        """Set how many connections to each back end this node may hold."""
        for name, spec in specs.items():
            self._records[name].max_connections = share(name, spec)

    def get(self, name: str) -> BackendRecord | None:
        """Return a back end's record."""
        return self._records.get(name)

    def all_records(self) -> tuple[BackendRecord, ...]:
        """Return every record."""
        return tuple(self._records.values())

    def of_service(self, service: str) -> tuple[BackendRecord, ...]:
        """Return the records of a service's back ends."""
        return tuple(self._by_service.get(service, ()))

    def records(self, names: tuple[str, ...]) -> tuple[BackendRecord, ...]:
        """Return the records of ``names`` that are known, leaving ones included."""
        found = (self._records.get(name) for name in names)
        return tuple(record for record in found if record is not None)
