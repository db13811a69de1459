"""State that this node keeps for each back end: its own observations and its concurrency limit.

Owns the call counts, the smoothed latency and the limit of one back end.  The limit policy and the
ejection policy update them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from tinrudder.node.decisions.backend_health import BackendHealth

LATENCY_SMOOTHING = 0.1
"""Weight of one answer in the smoothed latency.  A back end that becomes slow is detected within
ten calls."""
DEFAULT_MAX_CONNECTIONS = 70
"""Connections to a back end whose service configures no maximum: about what the users' smaller
back ends accept."""
MAX_LATENCY_STEP = 3.0
"""Upper bound of one latency sample, in multiples of the smoothed latency.  A single call from the
tail must not make a back end look slow; two or three in a row may."""


@dataclass(slots=True, eq=False)
class BackendRecord:
    """Mutable state of one back end as seen from one node.

    :param slots: configured number of calls that the back end runs in parallel; a hint.
    :param limit: calls that this node may have in flight there now, rounded down.
    :param max_limit: upper bound of ``limit``: the calls that keep this node's share of the slots
        busy.  0 uses the initial ``limit``.  Exceeded only while slots are handed over.
    :param headroom: factor on ``limit`` up to which a tenant well below its share may send.
    :param lowered_at: when ``limit`` was last decreased, monotonic seconds.
    :param waiting: calls in this node's queue that have this back end as a candidate.
    :param latency_s: smoothed latency of answered calls, seconds; 0 before the first answer.
    :param leaving: the back end is draining and gets no new calls.
    :param configured_leaving: the configuration marks the back end as draining.
    :param drain_reported: the back end itself or another node reported that it is draining.
    :param non_draining_sent_at: when the latest call answered without a drain notice was sent.
    :param paused: the back end refused a call and asked for a pause; no new calls until it ends.
    :param max_connections: this node's share of the connections that the back end accepts.
    :param health: ejection state and load reports.
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
    drain_reported: bool = False
    non_draining_sent_at: float = -math.inf
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    max_limit: float = 0.0
    headroom: float = 1.0
    lowered_at: float = -math.inf
    waiting: int = 0
    paused: bool = False
    health: BackendHealth = field(default_factory=BackendHealth)

    def __post_init__(self) -> None:
        """Default the upper bound to the initial limit."""
        self.max_limit = self.max_limit or self.limit

    def may_send(self) -> bool:
        """Tell whether one more call fits under the limit and the warm-up ramp."""
        return (
            self.in_flight + 1 <= self.limit
            and not self.leaving
            and not self.paused
            and self.in_flight < self.health.ramp_limit
        )

    def may_exceed_limit(self) -> bool:
        """Tell whether one more call of a tenant well below its share fits into the headroom."""
        return (
            self.in_flight + 1 <= self.limit * self.headroom
            and not self.leaving
            and not self.paused
            and self.in_flight < self.health.ramp_limit
        )

    def set_share(self, max_limit: float, headroom: float) -> None:
        """Apply a changed share; a limit that was at the old maximum moves to the new one.

        While calls wait, the limit is not lowered here: on a node that hands its slots over to
        another coordinator, waiting calls would miss their deadlines under the smaller share
        (see :meth:`clamp_limit`).
        """
        was_at_maximum = self.limit >= self.max_limit
        self.max_limit = max_limit
        self.headroom = headroom
        if self.limit > max_limit:
            if not self.waiting:
                self.clamp_limit()
        elif was_at_maximum:
            self.limit = max_limit

    def clamp_limit(self) -> None:
        """Lower the limit to ``max_limit``."""
        self.limit = min(self.limit, self.max_limit)

    def observe_latency(self, seconds: float) -> None:
        """Update the smoothed latency with one answered call.

        Every back end has a heavy tail.  The sample is bounded so that a single slow call does
        not make the back end look slow; one that stays slow is detected within ten calls.
        """
        if self.latency_s == 0.0:
            self.latency_s = seconds
            return
        bounded = min(seconds, MAX_LATENCY_STEP * self.latency_s)
        self.latency_s += LATENCY_SMOOTHING * (bounded - self.latency_s)

    def observe_unanswered(self, seconds: float) -> None:
        """Count a call cancelled after ``seconds`` with that lower bound of its latency."""
        if seconds > self.latency_s:
            self.observe_latency(seconds)
