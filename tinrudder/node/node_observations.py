"""Exchanges observations of draining back ends with the other nodes.

Owns the drain marks of a node's back-end records, set from own and received observations.
"""

from __future__ import annotations

import random

from tinrudder.cluster.membership import Membership
from tinrudder.cluster.membership_messages import Observation, ObservationKind
from tinrudder.common.logs import log_event
from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.backend_table import BackendTable
from tinrudder.node.decisions.drain_notices import NOTICE_TIME_MARGIN_S, DrainNotices
from tinrudder.timers import TimerHandle, Timers

NOTICE_CHECK_INTERVAL_S = 1.0
"""Seconds between checks for expired drain notices; they last 60 to 120 s."""


class NodeObservations:
    """The :class:`tinrudder.node.query.dispatcher.DrainListener` of a node."""

    def __init__(
        self,
        timers: Timers,
        generator: random.Random,
        backends: BackendTable,
        membership: Membership,
    ) -> None:
        """Mark the records of ``backends``; publish and receive through ``membership``."""
        self._timers = timers
        self._backends = backends
        self._membership = membership
        self._drain_notices = DrainNotices(generator)
        self._timer: TimerHandle | None = None
        membership.on_observation(self._on_observation)

    def on_draining_reply(self, backend: BackendRecord) -> None:
        """Mark and publish a back end that answered that it is draining."""
        self._mark_draining(backend, self._timers.time(), self._membership.own().name)
        self._membership.publish_observation(backend.name, ObservationKind.DRAINING)

    def on_non_draining_answer(self, backend: BackendRecord, sent_at: float) -> None:
        """Clear the drain mark if an answer to a call sent at ``sent_at`` outdates the notice."""
        if self._drain_notices.is_outdated(backend.name, sent_at):
            self._clear_draining(backend.name)
            self._membership.publish_observation(backend.name, ObservationKind.RECOVERED)

    def _on_observation(self, observation: Observation) -> None:
        """Apply another node's observation unless an own observation is newer."""
        backend = self._backends.get(observation.backend)
        if backend is None:
            return
        observed_at = self._timers.time() - observation.age_s
        if observation.kind is ObservationKind.RECOVERED:
            self._clear_draining(backend.name)
        elif observation.kind is ObservationKind.DRAINING:
            if backend.non_draining_sent_at > observed_at + NOTICE_TIME_MARGIN_S:
                self._membership.publish_observation(backend.name, ObservationKind.RECOVERED)
                return
            self._mark_draining(backend, observed_at, observation.origin)

    def _mark_draining(self, backend: BackendRecord, observed_at: float, origin: str) -> None:
        if not backend.drain_reported:
            log_event("back end leaving", {"backend": backend.name, "seen_by": origin})
        self._drain_notices.add(backend.name, observed_at)
        backend.drain_reported = True
        backend.leaving = True
        self._schedule_notice_check()

    def _clear_draining(self, name: str) -> None:
        self._drain_notices.remove(name)
        self._backends.clear_drain_report(name)

    def _schedule_notice_check(self) -> None:
        """Schedule the next check for expired notices unless one is scheduled."""
        if self._timer is None:
            due = self._timers.time() + NOTICE_CHECK_INTERVAL_S
            self._timer = self._timers.call_at(due, self._clear_expired_notices)

    def _clear_expired_notices(self) -> None:
        self._timer = None
        for name in self._drain_notices.due(self._timers.time()):
            self._clear_draining(name)
        if self._drain_notices:
            self._schedule_notice_check()
