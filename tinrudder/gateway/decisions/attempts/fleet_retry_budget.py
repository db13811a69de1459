"""Does the fleet's retry budget have room for one more call?

In every sliding window all gateways together may send a service a ratio of extra calls (hedges and
retries) per request, plus a fixed number, although they share no counter. Each gateway spends the
ratio of its own requests and an equal part of the fixed number. The ratio needs no coordination,
since requests add up over the gateways. The fixed parts stay within the bound if no gateway
underestimates the number of gateways, and if a restarted gateway, which has lost its counts, spends
for one window only the part that its earlier incarnation left unused.

Inputs: the bounds of the deployment (ratio of extra calls to requests, fixed number of calls,
window in seconds), the requests and extra calls of this gateway, and the number of parts into which
the fixed number is divided.

Answer: whether one more call may be sent, and how much of the allowance is left, 0 to 1.

Owns: one service's counts in slices of the window; they expire with the window.

Shown by: metrics ``tinrudder_gateway_repeats_denied`` and ``tinrudder_gateway_retries``; field
``repeats`` of log line ``request``.

When an input is missing or old: a silent peer continues to count for a long time, so that the parts
are too small rather than too large; a gateway that has just started spends a tenth of the fixed
number for one window.
"""

from __future__ import annotations

import math
from collections import deque

from msgspec import Struct

SLICES_PER_WINDOW = 20
"""Slices of the window. Requests of the oldest slice do not count, which costs at most a twentieth
of the allowance."""
SAFETY_FACTOR = 0.9
"""Part of the ratio and of the fixed number that a gateway spends once it has run for a window. The
rest covers gateways that start and those that underestimate the number of gateways."""
FIRST_WINDOW_SHARE = 1.0 - SAFETY_FACTOR
"""Part of the fixed number that a gateway may spend in its first window, since its earlier
incarnation left it unused. Without it, after a restart of all 76 gateways of a deployment, a
scatter over 135 shards repeated 1.2 calls instead of the usual 9 and lacked 6.5 shards instead of
0.8, averaged over two seconds of their logs."""
RETRY_RESERVE = 0.25
"""Part of the allowance that hedges leave for retries. A shard whose call has failed has no call in
flight; one whose call is late still has one."""


class _Slice(Struct):
    """Counts of one time slice."""

    index: int
    requests: int = 0
    repeats: int = 0


class FleetRetryBudget:
    """One gateway's part of a service's budget.

    Callers check :meth:`may_repeat` before every call after the first of a request. Hedges leave
    :data:`RETRY_RESERVE` of the allowance to retries.
    """

    def __init__(self, ratio: float, extra: float, window_s: float, started_at: float) -> None:
        """Set the bounds of the whole fleet; ``started_at`` is the start time of this process."""
        self._ratio = ratio * SAFETY_FACTOR
        self._extra = extra
        self._window_s = window_s
        self._slice_s = window_s / SLICES_PER_WINDOW
        self._extra_from = started_at + window_s
        self._slices: deque[_Slice] = deque()
        # Running sums over the slices: a scatter needs them three times per shard.
        self._requests = 0
        self._repeats = 0

    def note_request(self, now: float) -> None:
        """Count one request for the service."""
        self._current_slice(now).requests += 1
        self._requests += 1

    def may_repeat(self, now: float, parts: float, *, hedge: bool) -> bool:
        """Count one more call if the budget has room for it; return whether it has.

        :param parts: number of equal parts into which the fixed number is divided; this gateway
            spends one.
        """
        if self.remaining(now, parts, hedge=hedge) < 1.0:
            return False
        self._current_slice(now).repeats += 1
        self._repeats += 1
        return True

    def remaining(self, now: float, parts: float, *, hedge: bool = False) -> float:
        """Return how many more calls the budget allows."""
        allowed = self._allowed(now, parts)
        if hedge:
            allowed *= 1.0 - RETRY_RESERVE
        return allowed - self._repeats

    def fill(self, now: float, parts: float) -> float:
        """Return how much of the allowance for hedges is left, 0 to 1."""
        allowed = self._allowed(now, parts) * (1.0 - RETRY_RESERVE)
        if allowed < 1.0:
            return 0.0
        return min(1.0, max(0.0, (allowed - self._repeats) / allowed))

    def _allowed(self, now: float, parts: float) -> float:
        """Return the allowance of the window that ends now."""
        self._drop_expired(now)
        oldest = self._slice_index(now - self._window_s)
        requests = self._requests
        if self._slices and self._slices[0].index == oldest:
            requests -= self._slices[0].requests
        share = SAFETY_FACTOR if now >= self._extra_from else FIRST_WINDOW_SHARE
        return self._ratio * requests + share * self._extra / max(1, parts)

    def _slice_index(self, now: float) -> int:
        """Return the slice that contains a time."""
        return math.floor(now / self._slice_s)

    def _current_slice(self, now: float) -> _Slice:
        """Return the current slice's counts."""
        index = self._slice_index(now)
        if not self._slices or self._slices[-1].index != index:
            self._slices.append(_Slice(index))
            self._drop_expired(now)
        return self._slices[-1]

    def _drop_expired(self, now: float) -> None:
        """Drop slices that lie entirely before the window."""
        oldest = self._slice_index(now - self._window_s)
        while self._slices and self._slices[0].index < oldest:
            expired = self._slices.popleft()
            self._requests -= expired.requests
            self._repeats -= expired.repeats
