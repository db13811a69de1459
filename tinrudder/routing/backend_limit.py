"""How many calls this node may have in flight at a back end (see docs/LIMITS.md).

At most it is the node's share of the configured slots.  Below that the limit follows what the
back end itself shows: refusals, and latency that grows with the calls in flight.
"""

from __future__ import annotations

from typing import Protocol

from tinrudder.routing.backend_record import BackendRecord

MINIMUM_LIMIT = 1.0
DECREASE_FACTOR = 0.7
ANSWERS_PER_STEP = 8.0
UNQUEUED_SHARE = 0.5
UNQUEUED_SMOOTHING = 1.0 / 16
MAX_UNQUEUED_STEP = 3.0
UNQUEUED_LIFETIME_S = 10.0
SAMPLES = 8
FULL_ANSWERS_PER_MOVE = 64
SPARE_CALL = 0.9
QUEUE_RATIO = 0.67
NO_QUEUE_RATIO = 0.9


class BackendLimitPolicy(Protocol):
    """Moves a back end's limit between 1 and this node's share of its slots."""

    def on_answer(
        self, backend: BackendRecord, others_in_flight: int, latency_s: float, now: float
    ) -> None:
        """Learn of an answered call; the record still counts it as in flight.

        :param others_in_flight: how many of this node's calls the call met there when sent.
        """

    def on_shed(self, backend: BackendRecord, sent_at: float, now: float) -> None:
        """Learn of a call refused for load."""


class FixedLimit:
    """The share of the configured slots, whatever happens: the baseline."""

    def on_answer(
        self, backend: BackendRecord, others_in_flight: int, latency_s: float, now: float
    ) -> None:
        """Learn nothing."""

    def on_shed(self, backend: BackendRecord, sent_at: float, now: float) -> None:
        """Learn nothing."""


class RefusalLimit:
    """Additive increase while the limit is used, multiplicative decrease on refusals.

    When to use: where latency says nothing about load.  Cost: one comparison an answer.
    """

    def on_answer(
        self, backend: BackendRecord, others_in_flight: int, latency_s: float, now: float
    ) -> None:
        """Raise a limit that is in full use and below the share."""
        limit = backend.limit
        if limit < backend.usual and backend.in_flight + 1 > limit:
            backend.limit = min(backend.usual, limit + 1.0 / (ANSWERS_PER_STEP * limit))

    def on_shed(self, backend: BackendRecord, sent_at: float, now: float) -> None:
        """Lower the limit, unless the refused call was sent before it was last lowered."""
        if sent_at < backend.limiting.lowered_at:
            return
        backend.limiting.lowered_at = now
        backend.limit = max(MINIMUM_LIMIT, backend.limit * DECREASE_FACTOR)


class AdaptiveLimit(RefusalLimit):
    """As many calls as keep the back end busy, and no queue there: refusals and latency.

    A back end that answers at a rate r, and a call that meets no queue in time t, has r * t calls
    in flight when it is just busy.  More of them wait at the back end, in arrival order, where
    the fair queue has no say.  Every 64 answers to calls sent at the limit, the limit moves to
    that number if latency clearly shows a queue, and up by one if it shows none.  Where t is
    older than 10 s because the back end is always busy, a few calls are sent under half the share.

    When to use: always; the default.  Cost: a few comparisons an answer; less than a hundredth of
    the capacity of a back end that is always busy, for sampling.
    """

    def on_answer(
        self, backend: BackendRecord, others_in_flight: int, latency_s: float, now: float
    ) -> None:
        """Learn what an unqueued call takes, or what one at the limit does."""
        if backend.usual <= MINIMUM_LIMIT:
            return
        if others_in_flight < max(1.0, backend.usual * UNQUEUED_SHARE):
            self._observe_unqueued(backend, latency_s, now)
        if others_in_flight + 1 == int(backend.limit):
            self._observe_full(backend, latency_s, now)

    def on_shed(self, backend: BackendRecord, sent_at: float, now: float) -> None:
        """Lower the limit as for refusals alone, and judge the new one afresh."""
        state = backend.limiting
        if sent_at >= state.lowered_at:
            state.limit_before = max(MINIMUM_LIMIT, state.limit_before * DECREASE_FACTOR)
        super().on_shed(backend, sent_at, now)
        _forget_full(backend)

    def _observe_unqueued(self, backend: BackendRecord, latency_s: float, now: float) -> None:
        state = backend.limiting
        if state.unqueued_s == 0.0:
            state.unqueued_s = latency_s
        bounded = min(latency_s, MAX_UNQUEUED_STEP * state.unqueued_s)
        state.unqueued_s += UNQUEUED_SMOOTHING * (bounded - state.unqueued_s)
        state.unqueued_at = now
        if state.sampling_left:
            state.sampling_left -= 1
            if state.sampling_left == 0:
                backend.limit = state.limit_before

    def _observe_full(self, backend: BackendRecord, latency_s: float, now: float) -> None:
        state = backend.limiting
        if state.sampling_left:
            return
        state.full_sum_s += min(latency_s, MAX_UNQUEUED_STEP * (state.unqueued_s or latency_s))
        state.full_count += 1
        if now - state.unqueued_at > UNQUEUED_LIFETIME_S:
            self._start_sampling(backend)
        elif state.full_count >= FULL_ANSWERS_PER_MOVE:
            self._move(backend)

    def _start_sampling(self, backend: BackendRecord) -> None:
        """Hold the limit down until some calls have met no queue."""
        state = backend.limiting
        state.sampling_left = SAMPLES
        state.limit_before = backend.limit
        backend.limit = max(MINIMUM_LIMIT, backend.usual * UNQUEUED_SHARE)
        _forget_full(backend)

    def _move(self, backend: BackendRecord) -> None:
        """Move the limit to what keeps the back end just busy."""
        state = backend.limiting
        in_use = int(backend.limit)
        ratio = state.unqueued_s * state.full_count / state.full_sum_s
        wanted = backend.limit
        if ratio >= NO_QUEUE_RATIO:
            wanted = in_use + 1.0
        elif ratio < QUEUE_RATIO:
            wanted = max(wanted * DECREASE_FACTOR, in_use * ratio + SPARE_CALL)
        backend.limit = min(backend.usual, max(MINIMUM_LIMIT, wanted))
        _forget_full(backend)


def _forget_full(backend: BackendRecord) -> None:
    """Drop what was seen under another limit."""
    backend.limiting.full_sum_s = 0.0
    backend.limiting.full_count = 0
