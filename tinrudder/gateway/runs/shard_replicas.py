"""Tracks which back ends of one shard a request has tried.

Owns the sets of back ends that were chosen, that may have run the request, and that refused a
connection.  The directory decides which back ends accept new calls at all.

At most ``attempts`` back ends (a setting of the route) may run one request, regardless of the order
in which connections are established and calls end.  A back end that may already run it can be
called again.
"""

from __future__ import annotations

from collections import Counter

from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.runs.run_context import RunContext

MAX_HEDGE_WAIT = 1.5
"""Longest queueing time of a back end that gets a hedge, in typical latencies of the route.  After
a longer wait, the hedge would finish later than the call that it is meant to replace."""


class ShardReplicas:
    """The replicas of one shard, for one request."""

    __slots__ = ("_chosen", "_connection_refused", "_possible_runs", "_run", "_service")

    def __init__(self, run: RunContext, service: str) -> None:
        """Start without tries."""
        self._run = run
        self._service = service
        self._chosen: set[str] = set()
        # Number of calls that were sent and not rejected, by back end.
        self._possible_runs: Counter[str] = Counter()
        # Back ends that refused a connection in this run.
        self._connection_refused: set[str] = set()

    @property
    def may_have_run(self) -> bool:
        """Whether a call was sent and not rejected."""
        return bool(self._possible_runs)

    @property
    def chosen(self) -> int:
        """Number of back ends chosen, including those to which nothing was sent."""
        return len(self._chosen)

    @property
    def any_connection_refused(self) -> bool:
        """Whether some back end refused a connection."""
        return bool(self._connection_refused)

    def for_retry(self) -> list[Backend]:
        """Return the back ends that may get a call while none is in progress.

        Back ends that refused a connection are excluded: a process takes seconds to listen again,
        longer than the 0.8 s for which tries go on.
        """
        return [one for one in self._candidates() if one.backend_id not in self._connection_refused]

    def for_hedge(self, running: set[str], typical_time_s: float, now: float) -> list[Backend]:
        """Return the back ends that may get a hedge.

        :param running: ids of the back ends with a call in progress.
        :param typical_time_s: typical latency of the route, seconds.
        """
        longest_wait_s = MAX_HEDGE_WAIT * typical_time_s
        return [
            backend
            for backend in self._candidates()
            if backend.backend_id not in running
            and backend.observations.wait_s(now, typical_time_s) <= longest_wait_s
        ]

    def within_attempt_limit(self, backend: Backend) -> bool:
        """Return whether a call to a back end stays within the route's ``attempts``."""
        may_already_run = backend.backend_id in self._possible_runs
        return may_already_run or len(self._possible_runs) < self._run.route.attempts

    def note_chosen(self, backend: Backend) -> None:
        """Record that a back end was chosen; others are preferred from now on."""
        self._chosen.add(backend.backend_id)

    def note_sent(self, backend: Backend) -> None:
        """Record that a call was sent, so that the back end may run the request."""
        self._possible_runs[backend.backend_id] += 1

    def note_connection_refused(self, backend: Backend) -> None:
        """Record that a back end refused a connection."""
        self._connection_refused.add(backend.backend_id)

    def note_rejected(self, backend: Backend) -> None:
        """Record that a call was rejected; an earlier one to that back end may still have run."""
        self._possible_runs[backend.backend_id] -= 1
        if not self._possible_runs[backend.backend_id]:
            del self._possible_runs[backend.backend_id]

    def _candidates(self) -> list[Backend]:
        """Return the back ends for the next call: those not chosen yet, or all if none is left."""
        usable = self._run.call_context.directory.usable(self._service)
        usable = [backend for backend in usable if self.within_attempt_limit(backend)]
        untried = [backend for backend in usable if backend.backend_id not in self._chosen]
        return untried or usable
