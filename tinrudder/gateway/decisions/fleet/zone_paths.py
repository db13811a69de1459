"""Can a zone be reached from here?

A zone that was cut off is silent: calls to it hang until somebody stops waiting. One call that
gets no answer while nothing else from the zone does either makes the path suspect, for all calls
at once; questions to gateways there then decide within a fraction of a second. A single slow back
end closes nothing, since others in its zone answer meanwhile. It is a circuit breaker for each
zone.

Inputs: answers and messages from a zone, calls and questions without an answer, doubts of other
gateways; moments in monotonic seconds.

Answer: the state of the path: open, suspect, closed, or trial (half-open).

Owns: one path for each zone that this gateway knows of; a path without news keeps its state, and a
closed one ends in a trial by its timer.

Shown by: log line ``zone_path`` at each change; metrics ``tinrudder_gateway_zones_out_of_reach``
and ``tinrudder_gateway_zone_closings``. A refused request says which zones are out of reach.

When an input is missing or old: a zone that is new is open; silence from all other zones at once
makes all of them suspect.
"""

from __future__ import annotations

import enum

from msgspec import Struct, field

SILENT_AFTER_S = 1.5
"""How long nothing may be heard from anywhere else until the paths are tried, seconds: where each
gateway sends one digest in 0.5 s to another zone, that happens by chance once in twenty times
(arithmetic)."""
CLOSED_AFTER_S = 0.25
"""How long all questions must stay unanswered until a path is closed, seconds. Chosen, not
measured: 80 round trips of 3 ms, or a pause of a gateway that stands still for a moment."""
LEAST_ROUNDS = 3
"""And how many rounds of questions must: with three gateways asked in each, of which half of all
datagrams get lost, one path in 13 is closed wrongly, and opens with the next answer
(arithmetic)."""
FIRST_CLOSED_S = 5.0
"""How long a closed path stays closed before calls may try it, seconds. Chosen, not measured:
where a zone has lost all its gateways and not its back ends, nobody there answers questions, but
calls are answered."""
LONGEST_CLOSED_S = 40.0
"""The time doubles with each call that finds the path closed, up to this, seconds. Chosen, not
measured: it bounds for how long a zone without gateways stays unused."""


class PathState(enum.Enum):
    """What is believed of a path.

    ``TRIAL``: it was closed for long, and calls may find out whether it still is.
    """

    OPEN = "open"
    SUSPECT = "suspect"
    CLOSED = "closed"
    TRIAL = "trial"


LOST = frozenset((PathState.CLOSED, PathState.TRIAL))


class ZonePath(Struct):
    """The path to one zone.

    :param since: when it came into its state.
    :param doubted_at: when it came into doubt; an answer to what was asked since then ends that.
    :param by_hearsay: it is in doubt only since another gateway doubts it.
    :param heard_at: when anything came from there, asked for or not.
    :param answered_at: when something that was sent there got an answer.
    :param rounds: questions sent since it is suspect.
    :param trial_at: when calls may try it, while it is closed.
    :param closed_s: how long it stays closed, the next time.
    """

    state: PathState = PathState.OPEN
    since: float = 0.0
    doubted_at: float = float("-inf")
    by_hearsay: bool = False
    heard_at: float = float("-inf")
    answered_at: float = float("-inf")
    rounds: int = 0
    trial_at: float = 0.0
    closed_s: float = FIRST_CLOSED_S


class ZonePaths(Struct):
    """The paths to all zones that this gateway knows of."""

    paths: dict[str, ZonePath] = field(default_factory=dict)

    def path(self, zone: str) -> ZonePath:
        """Return the path to a zone; one that is new is open."""
        return self.paths.setdefault(zone, ZonePath())

    def is_closed(self, zone: str) -> bool:
        """Tell whether calls to a zone would only hang."""
        path = self.paths.get(zone)
        return path is not None and path.state is PathState.CLOSED

    @property
    def closed(self) -> tuple[str, ...]:
        """Return the zones to which calls would only hang."""
        return tuple(zone for zone in self.paths if self.is_closed(zone))

    @property
    def lost(self) -> tuple[str, ...]:
        """Return the zones that are out of reach as far as known."""
        return tuple(zone for zone, path in self.paths.items() if path.state in LOST)

    @property
    def doubtful(self) -> tuple[str, ...]:
        """Return the zones to which the path is not open."""
        return tuple(z for z, path in self.paths.items() if path.state is not PathState.OPEN)

    @property
    def told_doubts(self) -> tuple[str, ...]:
        """Return the zones that others are told to be in doubt: by what was seen here.

        Were doubts told on that were only heard of, they would keep themselves alive wherever an
        answer takes longer than the pause between two digests: six of them, of 113 gateways whose
        datagrams took 0.1 to 0.3 s, still made each send 11 questions a second 8 s later (virtual
        time).
        """
        return tuple(zone for zone in self.doubtful if not self.paths[zone].by_hearsay)

    def heard(self, zone: str, now: float) -> None:
        """Note that something came from a zone; whether it hears this gateway is not known."""
        self.path(zone).heard_at = now

    def answered(self, zone: str, now: float) -> bool:
        """Note an answer from a zone; tell whether that brings back one that was lost."""
        path = self.path(zone)
        path.heard_at = now
        path.answered_at = now
        path.closed_s = FIRST_CLOSED_S
        was_lost = path.state in LOST
        if path.state is not PathState.OPEN:
            self._enter(path, PathState.OPEN, now)
        return was_lost

    def doubt(self, zone: str, sent_at: float, now: float, *, by_hearsay: bool = False) -> bool:
        """Note that what was sent has no answer yet; tell whether that makes the path suspect.

        It does not where anything else from the zone was answered since.  Only own calls end a
        trial: others, who have the path closed, tell of it in each digest.

        :param by_hearsay: another gateway sent it.
        """
        path = self.path(zone)
        if path.answered_at >= sent_at:
            return False
        if path.state is PathState.TRIAL and not by_hearsay:
            self._close(path, now)
        elif path.state is PathState.OPEN:
            self._suspect(path, now, by_hearsay=by_hearsay)
        else:
            path.by_hearsay &= by_hearsay
            return False
        return True

    def doubt_silent(self, others: tuple[str, ...], now: float) -> bool:
        """Make the paths to all zones suspect if nothing came from any; tell whether that is so."""
        paths = [self.path(zone) for zone in others]
        if not paths or max(path.heard_at for path in paths) > now - SILENT_AFTER_S:
            return False
        found = False
        for path in paths:
            if path.state is PathState.OPEN:
                self._suspect(path, now, by_hearsay=False)
                found = True
        return found

    def note_round(self, zone: str) -> None:
        """Note questions to gateways of a zone."""
        self.path(zone).rounds += 1

    def review(self, zone: str, now: float) -> bool:
        """Close a path whose questions stayed unanswered, or let calls try one that is closed.

        Tells whether the state changed.
        """
        path = self.path(zone)
        if path.state is PathState.SUSPECT:
            unanswered_s = now - path.since
            if unanswered_s >= CLOSED_AFTER_S and path.rounds >= LEAST_ROUNDS:
                self._close(path, now)
                return True
        elif path.state is PathState.CLOSED and now >= path.trial_at:
            self._enter(path, PathState.TRIAL, now)
            return True
        return False

    def _suspect(self, path: ZonePath, now: float, *, by_hearsay: bool) -> None:
        self._enter(path, PathState.SUSPECT, now)
        path.doubted_at = now
        path.by_hearsay = by_hearsay

    def _close(self, path: ZonePath, now: float) -> None:
        self._enter(path, PathState.CLOSED, now)
        path.by_hearsay = False
        path.trial_at = now + path.closed_s
        path.closed_s = min(LONGEST_CLOSED_S, path.closed_s * 2)

    def _enter(self, path: ZonePath, state: PathState, now: float) -> None:
        path.state = state
        path.since = now
        path.rounds = 0
