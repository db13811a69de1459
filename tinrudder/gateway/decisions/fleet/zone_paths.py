"""Can this gateway reach a zone?

A zone that is cut off sends nothing: calls to it hang until they time out. A call without an answer
makes the path suspect if nothing else from the zone was answered since the call was sent. Probes to
gateways of the zone then decide for all calls within a fraction of a second. A single slow back end
does not close the path, since other back ends of its zone answer meanwhile. This is a circuit
breaker for each zone.

Inputs: answers and messages from a zone, calls and probes without an answer, doubts reported by
other gateways; times in monotonic seconds.

Answer: the state of the path: open, suspect, closed, or trial (half-open).

Owns: one path for each zone that this gateway knows of; without further events a path keeps its
state, except that a closed one changes to trial after a timeout.

Shown by: log line ``zone_path`` at each change; metrics ``tinrudder_gateway_zones_out_of_reach``
and ``tinrudder_gateway_zone_closings``. A refused request says which zones are out of reach.

When an input is missing or old: the path to a new zone is open; silence from all other zones at
once makes all their paths suspect.
"""

from __future__ import annotations

import enum

from msgspec import Struct, field

SILENCE_TIMEOUT_S = 1.5
"""Time without any message from other zones after which their paths become suspect, seconds: where
each gateway sends one digest to another zone every 0.5 s, such a silence occurs by chance once in
twenty times."""
CLOSE_AFTER_S = 0.25
"""Time for which all probes must stay unanswered before a path is closed, seconds: 80 round trips
of 3 ms, or a short pause of a gateway."""
MIN_PROBE_ROUNDS = 3
"""Rounds of probes that must stay unanswered before a path is closed: with three gateways probed in
each round and half of all datagrams lost, one path in 13 is closed wrongly, and opens with the next
answer."""
FIRST_CLOSED_S = 5.0
"""Time that a path stays closed before calls may try it, seconds: where a zone has lost all its
gateways but not its back ends, probes get no answers, but calls do."""
MAX_CLOSED_S = 40.0
"""Upper bound of :data:`FIRST_CLOSED_S`, seconds; the time doubles with each trial that fails.
Bounds how long a zone without gateways stays unused."""


class PathState(enum.Enum):
    """State of a path.

    ``TRIAL``: half-open; the path was closed for a while, and calls may test it.
    """

    OPEN = "open"
    SUSPECT = "suspect"
    CLOSED = "closed"
    TRIAL = "trial"


UNREACHABLE_STATES = frozenset((PathState.CLOSED, PathState.TRIAL))


class ZonePath(Struct):
    """The path to one zone.

    :param since: when it entered its state.
    :param suspected_at: when it last became suspect.
    :param reported_by_peer: it is suspect only because other gateways reported doubts.
    :param last_message_at: when any message last came from the zone, requested or not.
    :param answered_at: when the zone last answered something that was sent there.
    :param rounds: rounds of probes sent since it entered its state.
    :param trial_at: when calls may try it, while it is closed.
    :param closed_s: how long it stays closed the next time.
    """

    state: PathState = PathState.OPEN
    since: float = 0.0
    suspected_at: float = float("-inf")
    reported_by_peer: bool = False
    last_message_at: float = float("-inf")
    answered_at: float = float("-inf")
    rounds: int = 0
    trial_at: float = 0.0
    closed_s: float = FIRST_CLOSED_S


class ZonePaths(Struct):
    """The paths to all zones that this gateway knows of."""

    paths: dict[str, ZonePath] = field(default_factory=dict)

    def path(self, zone: str) -> ZonePath:
        """Return the path to a zone; the path to a new zone is open."""
        return self.paths.setdefault(zone, ZonePath())

    def is_closed(self, zone: str) -> bool:
        """Return whether the path to a zone is closed, so that calls would only hang."""
        path = self.paths.get(zone)
        return path is not None and path.state is PathState.CLOSED

    @property
    def closed(self) -> tuple[str, ...]:
        """Return the zones whose path is closed."""
        return tuple(zone for zone in self.paths if self.is_closed(zone))

    @property
    def lost(self) -> tuple[str, ...]:
        """Return the zones that are considered unreachable: path closed or on trial."""
        return tuple(zone for zone, path in self.paths.items() if path.state in UNREACHABLE_STATES)

    @property
    def not_open(self) -> tuple[str, ...]:
        """Return the zones whose path is not open."""
        return tuple(zone for zone, path in self.paths.items() if path.state is not PathState.OPEN)

    @property
    def own_suspicions(self) -> tuple[str, ...]:
        """Return the suspect zones to report to peers: those that this gateway itself suspects.

        Doubts received from peers are not forwarded: they would circulate without end wherever an
        answer takes longer than the interval between two digests.  Six forwarded doubts in a
        simulated fleet of 113 gateways whose datagrams took 0.1 to 0.3 s still made each gateway
        send 11 probes a second 8 s later.
        """
        return tuple(zone for zone in self.not_open if not self.paths[zone].reported_by_peer)

    def record_message(self, zone: str, now: float) -> None:
        """Record a message from a zone; it does not show that the zone receives messages."""
        self.path(zone).last_message_at = now

    def answered(self, zone: str, now: float) -> bool:
        """Record an answer from a zone; return whether the zone was unreachable until now."""
        path = self.path(zone)
        path.last_message_at = now
        path.answered_at = now
        path.closed_s = FIRST_CLOSED_S
        was_unreachable = path.state in UNREACHABLE_STATES
        if path.state is not PathState.OPEN:
            self._set_state(path, PathState.OPEN, now)
        return was_unreachable

    def note_unanswered(
        self, zone: str, sent_at: float, now: float, *, reported_by_peer: bool = False
    ) -> bool:
        """Record that a call or message has no answer yet; return whether the state changed.

        An open path becomes suspect and a trial ends, unless the zone has answered anything since.
        Only this gateway's own calls end a trial: peers whose path is closed report their doubt in
        each digest.

        :param sent_at: when the unanswered call or message was sent.
        :param reported_by_peer: the doubt was reported by another gateway.
        """
        path = self.path(zone)
        if path.answered_at >= sent_at:
            return False
        if path.state is PathState.TRIAL and not reported_by_peer:
            self._close(path, now)
        elif path.state is PathState.OPEN:
            self._suspect(path, now, reported_by_peer=reported_by_peer)
        else:
            path.reported_by_peer &= reported_by_peer
            return False
        return True

    def suspect_silent_zones(self, others: tuple[str, ...], now: float) -> bool:
        """Make all open paths suspect if no zone sent anything; return whether any changed."""
        paths = [self.path(zone) for zone in others]
        if not paths or max(path.last_message_at for path in paths) > now - SILENCE_TIMEOUT_S:
            return False
        changed = False
        for path in paths:
            if path.state is PathState.OPEN:
                self._suspect(path, now, reported_by_peer=False)
                changed = True
        return changed

    def count_probe_round(self, zone: str) -> None:
        """Count a round of probes to gateways of a zone."""
        self.path(zone).rounds += 1

    def review(self, zone: str, now: float) -> bool:
        """Close a path whose probes stayed unanswered, or let calls try one that is closed.

        :return: whether the state changed.
        """
        path = self.path(zone)
        if path.state is PathState.SUSPECT:
            unanswered_s = now - path.since
            if unanswered_s >= CLOSE_AFTER_S and path.rounds >= MIN_PROBE_ROUNDS:
                self._close(path, now)
                return True
        elif path.state is PathState.CLOSED and now >= path.trial_at:
            self._set_state(path, PathState.TRIAL, now)
            return True
        return False

    def _suspect(self, path: ZonePath, now: float, *, reported_by_peer: bool) -> None:
        self._set_state(path, PathState.SUSPECT, now)
        path.suspected_at = now
        path.reported_by_peer = reported_by_peer

    def _close(self, path: ZonePath, now: float) -> None:
        self._set_state(path, PathState.CLOSED, now)
        path.reported_by_peer = False
        path.trial_at = now + path.closed_s
        path.closed_s = min(MAX_CLOSED_S, path.closed_s * 2)

    def _set_state(self, path: ZonePath, state: PathState, now: float) -> None:
        path.state = state
        path.since = now
        path.rounds = 0
