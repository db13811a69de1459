"""Does the fleet's retry budget have room for one more call?

In every sliding window a service may get the ratio of calls beyond the first for each request, and
the extra on top, from all gateways together, although they share no counter. Each one spends the
ratio of its own requests, and an equal part of the extra. Sums of the first hold by themselves.
The parts of the second hold when no gateway counts fewer gateways than there are, and when one
that starts, which has forgotten what its earlier life spent, takes for one window only what
earlier lives leave untouched.

Inputs: the bounds of the deployment (calls for each request, calls, seconds of the window), the
requests and repeats of this gateway, and in how many parts the extra is divided.

Answer: whether one more call may leave, and how much of the allowance is left, 0 to 1.

Owns: one service's counts in slices of the window; they end with the window.

Shown by: metrics ``tinrudder_gateway_repeats_denied`` and ``tinrudder_gateway_retries``; field
``repeats`` of log line ``request``.

When an input is missing or old: a peer counts for long after it falls silent, so that parts are
too small rather than too large; a gateway that has just started spends a tenth of the extra for
one window.
"""

from __future__ import annotations

import math
from collections import deque

from msgspec import Struct

BUCKETS_PER_WINDOW = 20
"""Slices of the window. Chosen, not measured: requests of the oldest slice count for nothing, so
that a twentieth of the allowance is given up at most."""
SAFETY = 0.9
"""Part of ratio and extra that a gateway spends once it has lived for a window. Chosen, not
measured: the rest covers gateways that start and those that count fewer gateways than there
are."""
START_SHARE = 1.0 - SAFETY
"""Part of the extra that a node may spend in its first window, since the life before it left it.
With nothing of it, after a start of all 76 gateways of a deployment, a scatter over 135 shards
repeated 1.2 calls where 9 are usual, and lacked 6.5 shards where it lacks 0.8, in the mean of two
seconds of their logs."""
KEPT_FOR_RETRIES = 0.25
"""Part of the allowance that hedges leave to retries. Chosen, not measured: a shard whose call has
failed has no answer coming, one whose call is late has."""


class _Bucket(Struct):
    """What happened in one slice of time."""

    index: int
    requests: int = 0
    repeats: int = 0


class FleetRetryBudget:
    """One service's part of the budget on this node.

    :meth:`may_repeat` is asked before every call beyond the first of a request.  Hedges leave a
    part of the allowance to retries, which are needed more.
    """

    def __init__(self, ratio: float, extra: float, window_s: float, started_at: float) -> None:
        """Take the bounds of the whole fleet; ``started_at`` is when this process began."""
        self._ratio = ratio * SAFETY
        self._extra = extra
        self._window_s = window_s
        self._slice_s = window_s / BUCKETS_PER_WINDOW
        self._extra_from = started_at + window_s
        self._buckets: deque[_Bucket] = deque()
        # Sums over the buckets, kept along: a scatter asks for them three times a shard.
        self._requests = 0
        self._repeats = 0

    def note_request(self, now: float) -> None:
        """Count one request for the service."""
        self._bucket(now).requests += 1
        self._requests += 1

    def may_repeat(self, now: float, nodes: float, *, hedge: bool) -> bool:
        """Count one more call if the budget has room for it.

        :param nodes: in how many equal parts the extra is divided, one of them this node's.
        """
        if self.remaining(now, nodes, hedge=hedge) < 1.0:
            return False
        self._bucket(now).repeats += 1
        self._repeats += 1
        return True

    def remaining(self, now: float, nodes: float, *, hedge: bool = False) -> float:
        """Return how many calls the budget has room for."""
        allowed = self._allowed(now, nodes)
        if hedge:
            allowed *= 1.0 - KEPT_FOR_RETRIES
        return allowed - self._repeats

    def fill(self, now: float, nodes: float) -> float:
        """Return how much of the allowance for hedges is left, 0 to 1."""
        allowed = self._allowed(now, nodes) * (1.0 - KEPT_FOR_RETRIES)
        if allowed < 1.0:
            return 0.0
        return min(1.0, max(0.0, (allowed - self._repeats) / allowed))

    def _allowed(self, now: float, nodes: float) -> float:
        """Return what may be spent in the window that ends now."""
        self._forget(now)
        oldest = self._index(now - self._window_s)
        requests = self._requests
        if self._buckets and self._buckets[0].index == oldest:
            requests -= self._buckets[0].requests
        share = SAFETY if now >= self._extra_from else START_SHARE
        return self._ratio * requests + share * self._extra / max(1, nodes)

    def _index(self, now: float) -> int:
        """Return the slice that a moment belongs to."""
        return math.floor(now / self._slice_s)

    def _bucket(self, now: float) -> _Bucket:
        """Return the current slice's counts."""
        index = self._index(now)
        if not self._buckets or self._buckets[-1].index != index:
            self._buckets.append(_Bucket(index))
            self._forget(now)
        return self._buckets[-1]

    def _forget(self, now: float) -> None:
        """Drop slices that lie wholly before the window."""
        oldest = self._index(now - self._window_s)
        while self._buckets and self._buckets[0].index < oldest:
            bucket = self._buckets.popleft()
            self._requests -= bucket.requests
            self._repeats -= bucket.repeats
