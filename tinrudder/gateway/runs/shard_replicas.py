"""The back ends of one shard, as one request has tried them so far.

Owns which of them were chosen, which may have run the request, and which turned out to have ended.
Relies on the directory of back ends for those that may get new work at all.

No more than ``attempts`` back ends (a setting of the route) may run one request, whatever the order
in which connections come up and calls end; those that it was offered to may be asked again.
"""

from __future__ import annotations

from collections import Counter

from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.runs.run_context import RunContext

MAX_HEDGE_WAIT = 1.5
"""How long a hedge may have to wait for a slot, in usual latencies of the route.  Chosen, not
measured: with a longer wait it would come later than what it is to replace."""


class ShardReplicas:
    """Keeps what one request did at the replicas of one shard."""

    __slots__ = ("_chosen", "_dead", "_offered", "_run", "_service")

    def __init__(self, run: RunContext, service: str) -> None:
        """Begin with none tried."""
        self._run = run
        self._service = service
        self._chosen: set[str] = set()
        # Calls that left and were not rejected, by back end.
        self._offered: Counter[str] = Counter()
        # Nobody listens there, as this run has found out.
        self._dead: set[str] = set()

    @property
    def may_have_run(self) -> bool:
        """Tell whether a call has left and was not rejected."""
        return bool(self._offered)

    @property
    def chosen(self) -> int:
        """Return how many back ends were chosen, calls that never left included."""
        return len(self._chosen)

    @property
    def any_dead(self) -> bool:
        """Tell whether nobody listened at some back end."""
        return bool(self._dead)

    def for_retry(self) -> list[Backend]:
        """Return the back ends that may get a call while none runs.

        Not those that have ended: a process that has ended takes seconds to listen again, longer
        than the 0.8 s that tries last.
        """
        return [one for one in self._candidates() if one.backend_id not in self._dead]

    def for_hedge(self, running: set[str], usual_s: float, now: float) -> list[Backend]:
        """Return the back ends that may get a call beside those that run.

        :param running: where they run.
        :param usual_s: how long a call of the route usually takes.
        """
        longest_wait_s = MAX_HEDGE_WAIT * usual_s
        return [
            backend
            for backend in self._candidates()
            if backend.backend_id not in running
            and backend.observations.wait_s(now, usual_s) <= longest_wait_s
        ]

    def may_offer(self, backend: Backend) -> bool:
        """Tell whether a call to a back end keeps to the number of back ends that may run it."""
        is_offered = backend.backend_id in self._offered
        return is_offered or len(self._offered) < self._run.route.attempts

    def note_chosen(self, backend: Backend) -> None:
        """Prefer others from now on."""
        self._chosen.add(backend.backend_id)

    def note_sent(self, backend: Backend) -> None:
        """Note that a call has left, so that the back end may run the request."""
        self._offered[backend.backend_id] += 1

    def note_dead(self, backend: Backend) -> None:
        """Note that nobody listens there."""
        self._dead.add(backend.backend_id)

    def take_back(self, backend: Backend) -> None:
        """Note that one call has not run; an earlier one to the same back end still may have."""
        self._offered[backend.backend_id] -= 1
        if not self._offered[backend.backend_id]:
            del self._offered[backend.backend_id]

    def _candidates(self) -> list[Backend]:
        """Return the back ends that may get the next call: those not chosen yet, if any."""
        usable = self._run.call_context.directory.usable(self._service)
        usable = [backend for backend in usable if self.may_offer(backend)]
        fresh = [backend for backend in usable if backend.backend_id not in self._chosen]
        return fresh or usable
