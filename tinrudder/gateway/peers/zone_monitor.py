"""Watches the ways to the fleet's zones, and says what follows for this gateway.

Every answer from a zone shows that its way is open; a call that gets none has gateways there asked.
Gateways of a zone that was cut off find that out one by one within a second, since each hears of
the others' doubts.

Owns the state of each zone's way and the rounds of questions; relies on the rule of zone paths to
judge, on probes to ask, and on calls to report answers and doubts.
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

ROUND_S = 0.1
"""Pause between two rounds of questions to a suspect zone: three fit before it is closed."""
CLOSED_ROUND_S = 0.25
"""The same while it is closed: so long, at most, a way that is open again stays unused."""
SILENCE_LOOK_S = 0.5
"""How often it is looked whether anything was heard: as often as digests are sent."""
ASKED_IN_ROUND = 3
"""Gateways of a suspect zone that one round asks: one that stands still says nothing of others."""
LEAST_HEARD_SHARE = 0.5
"""Of the gateways known: who hears fewer is on the smaller side of a cut."""
HEARSAY_AGE_S = 0.1
"""A peer's doubt is no reason to ask where an answer came since: later than this."""


class ZoneMonitor:
    """Keeps :class:`ZonePaths` up to date by questions.

    :ivar closings: how often a way was closed.
    """

    def __init__(
        self,
        zone: str,
        peers: PeerList,
        probes: Probes,
        random_source: random.Random,
    ) -> None:
        """Begin with every way open."""
        self.paths = ZonePaths()
        self.closings = 0
        self._zone = zone
        self._peers = peers
        self._probes = probes
        self._random = random_source
        self._listeners: list[Callable[[], None]] = []
        self._loop = asyncio.get_running_loop()
        self._asking: dict[str, asyncio.TimerHandle] = {}
        probes.subscribe(self._on_answer)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when a way closes or opens, after those that subscribed before."""
        self._listeners.append(listener)

    @property
    def heard_share(self) -> float:
        """Return which part of the gateways known, this one included, can be reached."""
        if not self.paths.doubtful:
            return 1.0
        zones = Counter(self._peers.zones(self._loop.time()))
        total = 1 + sum(zones.values())
        lost = self.paths.lost
        reached = 1 + sum(number for zone, number in zones.items() if zone not in lost)
        return reached / total

    @property
    def is_cut_off(self) -> bool:
        """Tell whether this gateway is on the smaller side of a cut.

        In halves, each side is as good as the other: nobody leaves.
        """
        return bool(self.paths.lost) and self.heard_share < LEAST_HEARD_SHARE

    def is_closed(self, zone: str) -> bool:
        """Tell whether calls to a zone would only hang."""
        return self.paths.is_closed(zone)

    def heard(self, digest: Digest) -> None:
        """Take a peer's digest: it is there, and may doubt some zones."""
        now = self._loop.time()
        self.paths.heard(digest.sender.zone, now)
        for zone in digest.silent_zones:
            self.doubt(zone, now - HEARSAY_AGE_S, by_hearsay=True)

    def answered(self, zone: str) -> None:
        """Note an answer of a back end or a gateway in a zone."""
        if self.paths.answered(zone, self._loop.time()):
            self._log(zone)
            self._announce()

    def answered_by(self, peer: Address) -> None:
        """Note an answer of a gateway."""
        zone = self._peers.zone_of(peer)
        if zone is not None:
            self.answered(zone)

    def doubt(self, zone: str, sent_at: float, *, by_hearsay: bool = False) -> None:
        """Note that what was sent to a zone at a moment has no answer yet.

        :param by_hearsay: another gateway sent it.
        """
        if not self.paths.doubt(zone, sent_at, self._loop.time(), by_hearsay=by_hearsay):
            return
        if self.paths.is_closed(zone):
            self._on_closing(zone)
        else:
            self._log(zone)
        self._begin(zone)

    def doubt_way_to(self, peer: Address, sent_at: float) -> None:
        """The same for what was sent to a gateway."""
        zone = self._peers.zone_of(peer)
        if zone is not None:
            self.doubt(zone, sent_at)

    async def run(self) -> None:
        """Look for silence for ever."""
        while True:
            await asyncio.sleep(SILENCE_LOOK_S * self._random.uniform(0.8, 1.2))
            now = self._loop.time()
            zones = tuple(set(self._peers.zones(now)))
            others = tuple(zone for zone in zones if zone != self._zone) or zones
            if self.paths.doubt_silent(others, now):
                for zone in others:
                    self._begin(zone)

    def _begin(self, zone: str) -> None:
        """Ask gateways of a zone until the way is known to be open, or closed."""
        if zone not in self._asking:
            self._ask(zone)

    def _ask(self, zone: str) -> None:
        """Send one round of questions, and look at the way again later."""
        self._asking.pop(zone, None)
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
        asked = ASKED_IN_ROUND if state is PathState.SUSPECT else 1
        self._probes.ask(*self._random.sample(members, min(asked, len(members))))
        self.paths.note_round(zone)
        pause_s = ROUND_S if state is PathState.SUSPECT else CLOSED_ROUND_S
        self._asking[zone] = self._loop.call_later(pause_s, self._ask, zone)

    def _on_closing(self, zone: str) -> None:
        """Count and tell that a zone is out of reach."""
        self.closings += 1
        self._log(zone)
        self._announce()

    def _on_answer(self, sent: SentProbe, _answer: ProbeAnswer) -> None:
        """Take a gateway's answer, unless it was asked before the way came into doubt."""
        zone = self._peers.zone_of(sent.peer)
        if zone is not None and sent.sent_at >= self.paths.path(zone).doubted_at:
            self.answered(zone)

    def _announce(self) -> None:
        """Tell everybody who asked of a way that has closed or opened."""
        for listener in self._listeners:
            listener()

    def _log(self, zone: str) -> None:
        """Log the state of a way, and what it was judged by."""
        path = self.paths.path(zone)
        now = self._loop.time()
        fields: dict[str, LogValue] = {
            "zone": zone,
            "state": path.state.value,
            "heard_s_ago": _seconds(now - path.heard_at),
            "answered_s_ago": _seconds(now - path.answered_at),
            "heard_share": round(self.heard_share, 3),
        }
        log = log_problem if path.state is PathState.CLOSED else log_event
        log("zone_path", fields)


def _seconds(value: float) -> float:
    """Return seconds for a log line; -1 for never, which JSON has no number for."""
    return round(value, 3) if value != float("inf") else -1.0
