"""What this node has itself observed of each back end, and what it may send there.

Owns the counts, the latency and the limit of one back end; the policies for limits and ejection
move them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from tinrudder.node.decisions.backend_health import BackendHealth

LATENCY_SMOOTHING = 0.1
"""Weight of one answer in the smoothed latency.  Chosen, not measured: a back end that turns slow
is seen within ten calls."""
DEFAULT_MAX_CONNECTIONS = 70
"""Connections to a back end whose service states none: about what the users' smaller back ends
take."""
MAX_LATENCY_STEP = 3.0
"""Most that one answer counts, in smoothed latencies.  Chosen, not measured: a single call out of
the tail must not make a back end look slow, two or three in a row may."""


@dataclass(slots=True, eq=False)
class BackendRecord:
    """Mutable state of one back end as seen from one node.

    :param slots: calls the back end runs at once, as configured: a hint.
    :param limit: calls this node may have in flight there now; its whole part counts.
    :param usual: calls that keep this node's share of the slots busy; ``limit`` never exceeds it.
        0 takes ``limit``.
    :param headroom: how many times ``limit`` a tenant well below its share may fill.
    :param lowered_at: when ``limit`` was last lowered, monotonic seconds.
    :param waiting: calls that wait in this node's queue and may go there.
    :param latency_s: smoothed time of answered calls, seconds; 0 before the first.
    :param leaving: no new work goes there.
    :param configured_leaving: the configuration says that it is leaving.
    :param drain_signed: it, or another node, said that it is leaving.
    :param ordinary_sent_at: when the last call was sent that it answered without saying so.
    :param paused: it asked for a pause with a refusal; no new work until that is over.
    :param max_connections: this node's share of the connections the back end takes.
    :param health: own judgement and hints of others.
    """

    name: str
    host: str
    port: int
    zone: str
    slots: int
    limit: float
    tls: bool = False
    in_flight: int = 0
    latency_s: float = 0.0
    leaving: bool = False
    configured_leaving: bool = False
    drain_signed: bool = False
    ordinary_sent_at: float = -math.inf
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    usual: float = 0.0
    headroom: float = 1.0
    lowered_at: float = -math.inf
    waiting: int = 0
    paused: bool = False
    health: BackendHealth = field(default_factory=BackendHealth)

    def __post_init__(self) -> None:
        """Begin at the limit given."""
        self.usual = self.usual or self.limit

    def may_send(self) -> bool:
        """Tell whether one more call fits under the limit, and under the ramp of a cold start."""
        return (
            self.in_flight + 1 <= self.limit
            and not self.leaving
            and not self.paused
            and self.in_flight < self.health.ramp_limit
        )

    def may_exceed(self) -> bool:
        """Tell whether one more call of a tenant well below its share fits."""
        return (
            self.in_flight + 1 <= self.limit * self.headroom
            and not self.leaving
            and not self.paused
            and self.in_flight < self.health.ramp_limit
        )

    def set_share(self, usual: float, headroom: float) -> None:
        """Follow a changed share; a limit that stood at the old one moves along.

        While calls wait a limit is not lowered here: those of a node that hands its slots over
        would come too late under what is left to it (see :meth:`end_handover`).
        """
        follows = self.limit >= self.usual
        self.usual = usual
        self.headroom = headroom
        if self.limit > usual:
            if not self.waiting:
                self.end_handover()
        elif follows:
            self.limit = usual

    def end_handover(self) -> None:
        """Lower the limit to the present share."""
        self.limit = min(self.limit, self.usual)

    def observe_latency(self, seconds: float) -> None:
        """Fold one answered call into the smoothed latency.

        A single slow call counts as a bounded step, so that a heavy tail, which every back end
        has, does not look like a slow back end; one that stays slow is seen within ten calls.
        """
        if self.latency_s == 0.0:
            self.latency_s = seconds
            return
        bounded = min(seconds, MAX_LATENCY_STEP * self.latency_s)
        self.latency_s += LATENCY_SMOOTHING * (bounded - self.latency_s)

    def observe_unanswered(self, seconds: float) -> None:
        """Learn from a call given up after ``seconds``: it would have taken longer still."""
        if seconds > self.latency_s:
            self.observe_latency(seconds)
