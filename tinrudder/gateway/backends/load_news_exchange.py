"""Sends other gateways news of long queues at back ends that all of them call, and takes theirs.

Only what an answer to this gateway reported is sent, so nothing is passed on, and news ends with
the queues.  Owns what is to be sent and which services are under pressure; what was heard goes into
the back ends' observations. What is sent is bounded by
:class:`~tinrudder.gateway.decisions.fleet.load_news.PendingNews`.
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
"""Least time between two lines of back ends under pressure, a choice: in an overload there is one
for each second of each service, and the metrics tell how much."""
MOST_TAKEN = 16
"""Back ends read from one datagram, a choice: four times what gateways tell in one."""
NEVER = float("-inf")


def start_number(entry: BackendEntry) -> int:
    """Return the number that stands for one start of a back end; 4 bytes in place of some 40."""
    return crc32(entry.life.encode())


class LoadNewsExchange:
    """What one gateway tells and hears of queues.

    :ivar sent: datagrams sent, each peer counted.
    :ivar taken: loads of back ends that were newer than what was known here.
    :ivar ignored: loads of back ends that are not known, or whose figures cannot be true.
    """

    def __init__(
        self,
        peers: PeerList,
        datagrams: PeerDatagrams,
        timers: Timers,
        backends: Callable[[], Iterable[Backend]],
    ) -> None:
        """Tell ``peers``; ``backends`` gives all that are known."""
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
        """Take note that other back ends, or other starts of them, may be known now."""
        self._by_number = None

    def heard(self, backend: Backend, *, shed: bool, work_s: float) -> None:
        """Tell of a back end that has just answered, if calls wait at its service.

        While they do, also the back ends without a queue are told of: who has not heard of them
        could not tell one that is free from one that is silent.

        :param shed: it turned the call away.
        :param work_s: how long calls hold a slot there, by what was seen here; 0: not known.
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
        """Tell whether a long queue of a service was seen here or told a moment ago."""
        # Empty on quiet days, when every answer comes here.
        if not self._pressed_at:
            return False
        pressed_at = self._pressed_at.get(service, NEVER)
        if self._timers.time() - pressed_at < MOST_AGE_S:
            return True
        self._pressed_at.pop(service, None)
        return False

    def _note_pressure(self, backend: Backend, moment: float, teller: str) -> None:
        """Note a long queue, and log it where its service had none."""
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
        """Tell what is pending after some time, with what comes meanwhile."""
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
        """Return what is told of a back end; ``None`` if it is gone, or others told more."""
        backend = self._find(noted.backend)
        return tell_load(noted, backend.observations, now) if backend is not None else None

    def _on_news(self, news: LoadNews, sender: Address) -> None:
        """Take what another gateway tells."""
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
        """Return a back end by the number of its start."""
        if self._by_number is None:
            self._by_number = {start_number(one.entry): one for one in self._backends()}
        return self._by_number.get(number)
