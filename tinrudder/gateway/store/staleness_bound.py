"""Bounds the staleness of the operator's settings as known to this gateway.

The bound is a moment on this process's monotonic clock: every change that the store had
acknowledged by then is known here. Proofs count from the time a request was *sent*: a pause of this
process, delayed bytes or a duplicate answer can then only make the bound older than necessary.

After the store is restored from an older copy, its answers prove nothing until lost writes must
have been repeated: if the revocation of a key was lost, "nothing is newer" does not rule it out.

Owns the bound and the pending proofs. Relies on followers, the staleness keeper and snapshot pulls
to report proofs.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_revision import NO_REVISION, StoreRevision
from tinrudder.gateway.store.stored_values import Topic

NEVER = float("-inf")
MAX_PENDING_PROOFS = 8
"""Maximum number of proofs that wait for a revision not yet known here. The proof of the lowest
revision is dropped first, since newer ones stay useful for longer."""


class StalenessBound:
    """The bound, and proofs that become valid once this gateway has caught up."""

    def __init__(self, state: SharedState, clock: Callable[[], float]) -> None:
        """Start without any proof."""
        self._state = state
        self._clock = clock
        self._proven_until = NEVER
        self._pending: dict[StoreRevision, float] = {}
        self._listeners: list[Callable[[], None]] = []
        state.subscribe(self._on_state_change)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the bound has moved to a later moment."""
        self._listeners.append(listener)

    def covers(self, moment: float) -> bool:
        """Return whether every change acknowledged before ``moment`` is known here."""
        return self._proven_until >= moment

    @property
    def age_s(self) -> float:
        """Return the maximum age of the known settings; infinite while nothing is proven."""
        return self._clock() - self._proven_until

    @property
    def proven_age_s(self) -> float | None:
        """Return the age to report to other processes; ``None`` while nothing is proven."""
        return None if self._proven_until == NEVER else max(0.0, self.age_s)

    def prove(self, at: float, revision: StoreRevision = NO_REVISION) -> None:
        """Record that nothing newer than a revision existed at a given moment.

        :param at: when the request was sent, minus the age that the responder states for its state.
        :param revision: the responder's revision; the proof is pending until this gateway has
            observed it.
        """
        if self._state.may_lack_lost_writes:
            return
        if self._state.history(Topic.OPERATOR).covers(revision):
            self._advance(at)
            return
        self._pending[revision] = max(at, self._pending.get(revision, NEVER))
        while len(self._pending) > MAX_PENDING_PROOFS:
            del self._pending[min(self._pending)]

    def _on_state_change(self) -> None:
        """Apply the pending proofs that have become valid."""
        if not self._pending or self._state.may_lack_lost_writes:
            return
        covers = self._state.history(Topic.OPERATOR).covers
        for revision in [one for one in self._pending if covers(one)]:
            self._advance(self._pending.pop(revision))

    def _advance(self, moment: float) -> None:
        """Move the bound to ``moment``, unless it is later already."""
        if moment > self._proven_until:
            self._proven_until = moment
            for listener in self._listeners:
                listener()
