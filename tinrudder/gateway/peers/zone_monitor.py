"""Monitors the network paths to the fleet's zones, and detects when this gateway is cut off.

Every answer from a zone shows that its path is open; a call without an answer causes probes to
gateways there.  In a zone that was cut off, every gateway notices it within a second, since
gateways report their suspicions to each other.

Owns the path state of each zone and the probe rounds; relies on the rule for zone paths to judge,
on ``Probes`` to send probes, and on calls to report answers and suspicions.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from tinrudder.common.address import Address
from tinrudder.common.logs import LogValue, log_event, log_problem
from tinrudder.gateway.decisions.fleet.zone_paths import PathState, ZonePaths
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import Digest, ProbeAnswer
from tinrudder.gateway.peers.probes import Probes, SentProbe

ROUND_INTERVAL_S = 0.1
"""Seconds between two probe rounds to a suspect zone: three rounds fit in before it is closed."""
CLOSED_ROUND_INTERVAL_S = 0.25
"""Seconds between two probe rounds to a closed zone: the longest time for which a path that has
recovered stays unused."""
SILENCE_CHECK_INTERVAL_S = 0.5
"""Mean seconds between two checks whether other zones have fallen silent: the interval of
digests."""
PROBED_PER_ROUND = 3
"""Number of gateways of a suspect zone that one round probes: a single one may just be paused."""
MIN_REACHABLE_SHARE = 0.5
"""Share of the known gateways: one that reaches less is on the smaller side of a partition."""
REPORTED_SUSPICION_AGE_S = 0.1
"""Assumed age, in seconds, of a suspicion that a peer reports: an answer that is more recent
outweighs it."""


class ZoneMonitor:
    """Keeps :class:`ZonePaths` up to date with probes.

    :ivar closings: number of times that a path was closed.
    """

    def __init__(
        self,
        zone: str,
        peers: PeerList,
        probes: Probes,
        random_source: random.Random,
    ) -> None:
        """Start with all paths open."""
        self.paths = ZonePaths()
        self.closings = 0
        self._zone = zone
        self._peers = peers
        self._probes = probes
        self._random = random_source
        self._listeners: list[Callable[[], None]] = []
        self._loop = asyncio.get_running_loop()
        self._round_timers: dict[str, asyncio.TimerHandle] = {}
        probes.subscribe(self._on_answer)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when a path closes or opens, in the order of subscription."""
        self._listeners.append(listener)

    @property
    def heard_share(self) -> float:
        """Return the reachable share of the known gateways, this one included."""
        if not self.paths.not_open:
            return 1.0
        zones = Counter(self._peers.zones(self._loop.time()))
        total = 1 + sum(zones.values())
        lost = self.paths.lost
        reached = 1 + sum(number for zone, number in zones.items() if zone not in lost)
        return reached / total

    @property
    def is_partitioned(self) -> bool:
        """Return whether this gateway is on the smaller side of a network partition.

        If the sides are equal, neither counts as cut off.
        """
        return bool(self.paths.lost) and self.heard_share < MIN_REACHABLE_SHARE

    def is_closed(self, zone: str) -> bool:
        """Return whether the path to a zone is closed, so that calls to it would hang."""
        return self.paths.is_closed(zone)

    def apply_digest(self, digest: Digest) -> None:
        """Process a peer's digest: it shows that the peer is up, and which zones it suspects."""
        now = self._loop.time()
        self.paths.record_message(digest.sender.zone, now)
        for zone in digest.silent_zones:
            self.note_unanswered(zone, now - REPORTED_SUSPICION_AGE_S, reported_by_peer=True)

    def answered(self, zone: str) -> None:
        """Record an answer of a back end or a gateway in a zone."""
        if self.paths.answered(zone, self._loop.time()):
            self._log(zone)
            self._announce()

    def answered_by(self, peer: Address) -> None:
        """Record an answer of a gateway."""
        zone = self._peers.zone_of(peer)
        if zone is not None:
            self.answered(zone)

    def note_unanswered(self, zone: str, sent_at: float, *, reported_by_peer: bool = False) -> None:
        """Record that a message sent to a zone has no answer yet.

        :param sent_at: when it was sent.
        :param reported_by_peer: another gateway sent it and reported the suspicion.
        """
        if not self.paths.note_unanswered(
            zone, sent_at, self._loop.time(), reported_by_peer=reported_by_peer
        ):
            return
        if self.paths.is_closed(zone):
            self._on_closing(zone)
        else:
            self._log(zone)
        self._start_rounds(zone)

    def note_unanswered_by(self, peer: Address, sent_at: float) -> None:
        """Record that a message sent to a gateway has no answer yet."""
        zone = self._peers.zone_of(peer)
        if zone is not None:
            self.note_unanswered(zone, sent_at)

    async def run(self) -> None:
        """Check for silence of all other zones until cancelled."""
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S * self._random.uniform(0.8, 1.2))
            now = self._loop.time()
            zones = tuple(set(self._peers.zones(now)))
            others = tuple(zone for zone in zones if zone != self._zone) or zones
            if self.paths.suspect_silent_zones(others, now):
                for zone in others:
                    self._start_rounds(zone)

    def _start_rounds(self, zone: str) -> None:
        """Start probe rounds to a zone, unless they are running; they end when its path is open."""
        if zone not in self._round_timers:
            self._run_round(zone)

    def _run_round(self, zone: str) -> None:
        """Review the path to a zone; while it is not open, send probes and schedule a review."""
        self._round_timers.pop(zone, None)
        if self.paths.review(zone, self._loop.time()):
            if self.paths.is_closed(zone):
                self._on_closing(zone)
            else:
                self._log(zone)
                self._announce()
        state = self.paths.path(zone).state
        if state is PathState.OPEN:
            return
        members = self._peers.members_in(zone, self._loop.time())
        probed = PROBED_PER_ROUND if state is PathState.SUSPECT else 1
        self._probes.send_probes(*self._random.sample(members, min(probed, len(members))))
        self.paths.count_probe_round(zone)
        pause_s = ROUND_INTERVAL_S if state is PathState.SUSPECT else CLOSED_ROUND_INTERVAL_S
        self._round_timers[zone] = self._loop.call_later(pause_s, self._run_round, zone)

    def _on_closing(self, zone: str) -> None:
        """Count, log and announce that the path to a zone was closed."""
        self.closings += 1
        self._log(zone)
        self._announce()

    def _on_answer(self, sent: SentProbe, _answer: ProbeAnswer) -> None:
        """Process a probe's answer, unless the probe was sent before the path became suspect."""
        zone = self._peers.zone_of(sent.peer)
        if zone is not None and sent.sent_at >= self.paths.path(zone).suspected_at:
            self.answered(zone)

    def _announce(self) -> None:
        """Notify all listeners of a path that has closed or opened."""
        for listener in self._listeners:
            listener()

    def _log(self, zone: str) -> None:
        """Log the state of a path, and the times and the share that it depends on."""
        path = self.paths.path(zone)
        now = self._loop.time()
        fields: dict[str, LogValue] = {
            "zone": zone,
            "state": path.state.value,
            "heard_s_ago": _seconds(now - path.last_message_at),
            "answered_s_ago": _seconds(now - path.answered_at),
            "heard_share": round(self.heard_share, 3),
        }
        log = log_problem if path.state is PathState.CLOSED else log_event
        log("zone_path", fields)


def _seconds(value: float) -> float:
    """Return seconds for a log line; -1 for infinity ("never"), which JSON cannot represent."""
    return round(value, 3) if value != float("inf") else -1.0
