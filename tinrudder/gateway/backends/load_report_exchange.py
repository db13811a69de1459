"""Exchanges reports of long back-end queues with the other gateways.

A gateway sends only loads that were reported in answers to its own calls, so received reports are
never forwarded and reports cease when the queues are gone. Owns the reports to be sent and the
services that have long queues; received reports are stored in the back ends' observations.
:class:`~tinrudder.gateway.decisions.fleet.peer_load_reports.PendingReports` bounds what is sent.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from zlib import crc32

from tinrudder.common.address import Address
from tinrudder.common.logs import LogValue, log_event
from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.decisions.fleet.peer_load_reports import (
    BATCH_DELAY_S,
    MAX_REPORT_AGE_S,
    RETRY_INTERVAL_S,
    PendingReport,
    PendingReports,
    ReportedLoad,
    apply_report,
    is_long,
    prepare_report,
)
from tinrudder.gateway.model.configuration import BackendEntry
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import LoadNews
from tinrudder.timers import Timers

LOG_INTERVAL_S = 10.0
"""Minimum time between two log lines about long queues, seconds: an overload would log a line per
second for each service, and the metrics show the extent."""
MAX_LOADS_PER_DATAGRAM = 16
"""Maximum back ends read from one datagram: four times as many as a gateway sends in one."""
NEVER = float("-inf")


def instance_hash_of(entry: BackendEntry) -> int:
    """Return a hash that identifies one instance of a back end; 4 bytes instead of about 40."""
    return crc32(entry.incarnation_id.encode())


class LoadReportExchange:
    """Sends and receives reports of long queues for one gateway.

    :ivar sent: datagrams sent, counted for each peer.
    :ivar applied: received loads that were newer than the known ones.
    :ivar ignored: received loads of unknown back ends, or with implausible values.
    """

    def __init__(
        self,
        peers: PeerList,
        datagrams: PeerDatagrams,
        timers: Timers,
        backends: Callable[[], Iterable[Backend]],
    ) -> None:
        """Exchange reports with ``peers``; ``backends`` returns all known back ends."""
        self.sent = 0
        self.applied = 0
        self.ignored = 0
        self._peers = peers
        self._datagrams = datagrams
        self._timers = timers
        self._backends = backends
        self._pending = PendingReports()
        self._long_queue_at: dict[str, float] = {}
        self._by_instance_hash: dict[int, Backend] | None = None
        self._timer_set = False
        self._logged_at = NEVER
        datagrams.handle(LoadNews, self._on_load_news)

    def refresh(self) -> None:
        """Rebuild the index of back ends at its next use, since entries have changed."""
        self._by_instance_hash = None

    def on_load(self, backend: Backend, *, shed: bool, service_time_s: float) -> None:
        """Report a back end that has just answered, if calls are queued at its service.

        While they are, back ends without a queue are reported too: otherwise a gateway could not
        distinguish a free back end from a silent one.

        :param shed: the back end rejected the call.
        :param service_time_s: how long a call occupies a slot there, as observed by this gateway;
            0 if unknown.
        """
        observations = backend.observations
        waiting = observations.reported_backlog - observations.slots
        if shed or is_long(waiting, observations.slots):
            self._note_long_queue(backend, observations.reported_at, "")
        elif not self._has_long_queue(backend.entry.service):
            return
        instance_hash = instance_hash_of(backend.entry)
        self._pending.note(
            PendingReport(instance_hash, shed, service_time_s, observations.reported_at)
        )
        self._schedule_send(BATCH_DELAY_S)

    def _has_long_queue(self, service: str) -> bool:
        """Whether a long queue was observed or reported within :data:`MAX_REPORT_AGE_S`."""
        # Fast path: called for every answer, and usually no service has a long queue.
        if not self._long_queue_at:
            return False
        long_queue_at = self._long_queue_at.get(service, NEVER)
        if self._timers.time() - long_queue_at < MAX_REPORT_AGE_S:
            return True
        self._long_queue_at.pop(service, None)
        return False

    def _note_long_queue(self, backend: Backend, observed_at: float, reporter: str) -> None:
        """Record a long queue, and log it if its service had none before."""
        service = backend.entry.service
        previous_at = self._long_queue_at.get(service, NEVER)
        self._long_queue_at[service] = max(previous_at, observed_at)
        now = self._timers.time()
        if observed_at - previous_at < MAX_REPORT_AGE_S or now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        observations = backend.observations
        fields: dict[str, LogValue] = {
            "service": service,
            "backend": backend.backend_id,
            "calls": observations.reported_backlog,
            "slots": observations.slots,
            "told_by": reporter,
            "sent": self.sent,
            "taken": self.applied,
        }
        log_event("queues_long", fields)

    def _schedule_send(self, seconds: float) -> None:
        """Schedule sending, so that reports that arrive meanwhile share the datagram."""
        if not self._timer_set:
            self._timer_set = True
            self._timers.call_at(self._timers.time() + seconds, self._send_pending)

    def _send_pending(self) -> None:
        """Send one datagram to as many peers as the budget allows."""
        self._timer_set = False
        now = self._timers.time()
        pending, copies = self._pending.take(now, self._peers.known_count)
        reported = (self._load_to_report(one, now) for one in pending)
        loads = tuple(one for one in reported if one is not None and one.is_credible)
        if loads:
            peers = self._peers.sample_counted(now, copies)
            self._datagrams.send(LoadNews(loads), *peers)
            self.sent += len(peers)
        if self._pending:
            self._schedule_send(RETRY_INTERVAL_S)

    def _load_to_report(self, pending: PendingReport, now: float) -> ReportedLoad | None:
        """Return the load to report for a back end; ``None`` if it is gone or another gateway has
        reported a newer load.
        """
        backend = self._backend_of(pending.backend)
        return prepare_report(pending, backend.observations, now) if backend is not None else None

    def _on_load_news(self, news: LoadNews, sender: Address) -> None:
        """Handle a report from another gateway."""
        for reported in news.loads[:MAX_LOADS_PER_DATAGRAM]:
            backend = self._backend_of(reported.backend)
            if backend is None or not reported.is_credible:
                self.ignored += 1
                continue
            now = self._timers.time()
            self.applied += apply_report(reported, backend.observations, now)
            if reported.is_long:
                self._note_long_queue(backend, now - reported.age_s, str(sender))

    def _backend_of(self, instance_hash: int) -> Backend | None:
        """Return a back end by the hash of its instance."""
        if self._by_instance_hash is None:
            self._by_instance_hash = {instance_hash_of(one.entry): one for one in self._backends()}
        return self._by_instance_hash.get(instance_hash)
