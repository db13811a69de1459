"""The age at which a call is hedged."""

from __future__ import annotations

from tinrudder.common.latency_window import LatencyWindow
from tinrudder.gateway.decisions.attempts.hedge_delay import hedge_delay_s


def test_a_hedge_is_never_so_late_that_it_cannot_win() -> None:
    window = LatencyWindow()
    for _ in range(100):
        window.observe(0.5)
    assert hedge_delay_s(window, 0.2, 0.0) <= 0.2 * 0.6
