"""What this node has itself observed of each back end, and what it may send there."""

from __future__ import annotations

from dataclasses import dataclass

LATENCY_SMOOTHING = 0.1


@dataclass(slots=True, eq=False)
class BackendRecord:
    """Mutable state of one back end as seen from one node.

    :param slots: calls the back end runs at once, as configured: a hint.
    :param limit: calls this node may have in flight there now.
    :param latency_s: smoothed time of answered calls, seconds; 0 before the first.
    :param leaving: no new work goes there.
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

    def may_send(self) -> bool:
        """Tell whether one more call fits under the limit."""
        return not self.leaving and self.in_flight < self.limit

    def observe_latency(self, seconds: float) -> None:
        """Fold one answered call into the smoothed latency."""
        if self.latency_s == 0.0:
            self.latency_s = seconds
            return
        self.latency_s += LATENCY_SMOOTHING * (seconds - self.latency_s)
