"""Exchanges reports of long back-end queues with the other gateways.

A gateway sends only loads that were reported in answers to its own calls, so received reports are
never forwarded and reports cease when the queues are gone. Owns the reports to be sent and the
services that have long queues; received reports are stored in the back ends' observations.
:class:`~tinrudder.gateway.decisions.fleet.load_news.PendingNews` bounds what is sent.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from zlib import crc32

from tinrudder.common.address import Address
from tinrudder.common.logs import LogValue, log_event
from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.decisions.fleet.load_news import (
    GATHER_S,
    MOST_AGE_S,
    NEXT_S,
    Noted,
    PendingNews,
    ReportedLoad,
    is_long,
    take_load,
    tell_load,
)
from tinrudder.gateway.model.configuration import BackendEntry
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import LoadNews
from tinrudder.timers import Timers

LOG_PAUSE_S = 10.0
"""Shortest time between two log lines about long queues, seconds: an overload would give a line a
second for each service, and the metrics show the extent."""
MOST_TAKEN = 16
"""Most back ends read from one datagram: four times as many as a gateway sends in one."""
NEVER = float("-inf")


def start_number(entry: BackendEntry) -> int:
    """Return a hash that identifies one instance of a back end; 4 bytes instead of about 40."""
    return crc32(entry.life.encode())


class LoadNewsExchange:
    """Sends and receives reports of long queues for one gateway.

    :ivar sent: datagrams sent, counted for each peer.
    :ivar taken: received loads that were newer than the known ones.
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
        self.taken = 0
        self.ignored = 0
        self._peers = peers
        self._datagrams = datagrams
        self._timers = timers
        self._backends = backends
        self._pending = PendingNews()
        self._pressed_at: dict[str, float] = {}
        self._by_number: dict[int, Backend] | None = None
        self._timer_set = False
        self._logged_at = NEVER
        datagrams.handle(LoadNews, self._on_news)

    def refresh(self) -> None:
        """Rebuild the index of back ends at its next use, since entries have changed."""
        self._by_number = None

    def heard(self, backend: Backend, *, shed: bool, work_s: float) -> None:
        """Report a back end that has just answered, if calls are queued at its service.

        While they are, back ends without a queue are reported too: otherwise a gateway could not
        distinguish a free back end from a silent one.

        :param shed: the back end rejected the call.
        :param work_s: how long a call occupies a slot there, as observed by this gateway; 0 if
            unknown.
        """
        observations = backend.observations
        waiting = observations.reported_backlog - observations.slots
        if shed or is_long(waiting, observations.slots):
            self._note_pressure(backend, observations.reported_at, "")
        elif not self._is_pressed(backend.entry.service):
            return
        number = start_number(backend.entry)
        self._pending.note(Noted(number, shed, work_s, observations.reported_at))
        self._tell_after(GATHER_S)

    def _is_pressed(self, service: str) -> bool:
        """Whether a long queue of a service was observed or reported within :data:`MOST_AGE_S`."""
        # Fast path: called for every answer, and usually no service has a long queue.
        if not self._pressed_at:
            return False
        pressed_at = self._pressed_at.get(service, NEVER)
        if self._timers.time() - pressed_at < MOST_AGE_S:
            return True
        self._pressed_at.pop(service, None)
        return False

    def _note_pressure(self, backend: Backend, moment: float, teller: str) -> None:
        """Record a long queue, and log it if its service had none before."""
        service = backend.entry.service
        before = self._pressed_at.get(service, NEVER)
        self._pressed_at[service] = max(before, moment)
        now = self._timers.time()
        if moment - before < MOST_AGE_S or now - self._logged_at < LOG_PAUSE_S:
            return
        self._logged_at = now
        observations = backend.observations
        fields: dict[str, LogValue] = {
            "service": service,
            "backend": backend.backend_id,
            "calls": observations.reported_backlog,
            "slots": observations.slots,
            "told_by": teller,
            "sent": self.sent,
            "taken": self.taken,
        }
        log_event("queues_long", fields)

    def _tell_after(self, seconds: float) -> None:
        """Schedule sending, so that reports that arrive meanwhile share the datagram."""
        if not self._timer_set:
            self._timer_set = True
            self._timers.call_at(self._timers.time() + seconds, self._tell)

    def _tell(self) -> None:
        """Send one datagram to as many peers as the budget allows."""
        self._timer_set = False
        now = self._timers.time()
        noted, copies = self._pending.take(now, self._peers.heard_of_in_all)
        told = (self._told(one, now) for one in noted)
        loads = tuple(one for one in told if one is not None and one.is_credible)
        if loads:
            peers = self._peers.everybody(now, copies)
            self._datagrams.send(LoadNews(loads), *peers)
            self.sent += len(peers)
        if self._pending:
            self._tell_after(NEXT_S)

    def _told(self, noted: Noted, now: float) -> ReportedLoad | None:
        """Return the load to report for a back end; ``None`` if it is gone or other gateways
        reported it often enough.
        """
        backend = self._find(noted.backend)
        return tell_load(noted, backend.observations, now) if backend is not None else None

    def _on_news(self, news: LoadNews, sender: Address) -> None:
        """Handle a report from another gateway."""
        for told in news.loads[:MOST_TAKEN]:
            backend = self._find(told.backend)
            if backend is None or not told.is_credible:
                self.ignored += 1
                continue
            now = self._timers.time()
            self.taken += take_load(told, backend.observations, now)
            if told.is_long:
                self._note_pressure(backend, now - told.age_s, str(sender))

    def _find(self, number: int) -> Backend | None:
        """Return a back end by the hash of its instance."""
        if self._by_number is None:
            self._by_number = {start_number(one.entry): one for one in self._backends()}
        return self._by_number.get(number)
