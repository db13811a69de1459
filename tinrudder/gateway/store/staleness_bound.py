"""How far this gateway's knowledge of what the operator asks for reaches.

A lower bound of the moment, by this process's steady clock, up to which it knows all that the store
has acknowledged.  Proofs count from when a question *left*: a pause of this process, bytes held up
on the way or an answer that comes twice can only make the bound older than it might be.

A store that came back from an older copy proves nothing until what it lost must have been written
again: that nothing newer stands there says nothing of a key that was ended and is lost.

Owns the bound and proofs that wait; relies on followers, keeper and pulls to report proofs.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_revision import NO_REVISION, StoreRevision
from tinrudder.gateway.store.stored_values import Topic

NEVER = float("-inf")
MOST_WAITING = 8
"""Proofs that wait for a revision which is not known here yet; each new one is of use longer than
the oldest, so that one is dropped."""


class StalenessBound:
    """The bound, and proofs that hold once this gateway has caught up."""

    def __init__(self, state: SharedState, clock: Callable[[], float]) -> None:
        """Prove nothing yet."""
        self._state = state
        self._clock = clock
        self._reaches = NEVER
        self._waiting: dict[StoreRevision, float] = {}
        state.subscribe(self._on_state_change)

    @property
    def age_s(self) -> float:
        """Return how old the knowledge is at most; infinite while nothing is proven."""
        return self._clock() - self._reaches

    @property
    def told_age_s(self) -> float | None:
        """Return the age as others may be told; ``None`` while nothing is proven."""
        return None if self._reaches == NEVER else max(0.0, self.age_s)

    def prove(self, at: float, revision: StoreRevision = NO_REVISION) -> None:
        """Note that at a moment nothing newer than a revision was there.

        :param at: when the question left, less the age of the answerer's own knowledge.
        :param revision: the answerer's; while this gateway knows less, the proof waits.
        """
        if self._state.may_lack_lost_words:
            return
        if self._state.history(Topic.OPERATOR).covers(revision):
            self._reaches = max(self._reaches, at)
            return
        self._waiting[revision] = max(at, self._waiting.get(revision, NEVER))
        while len(self._waiting) > MOST_WAITING:
            del self._waiting[min(self._waiting)]

    def _on_state_change(self) -> None:
        """Take the proofs that hold now."""
        if not self._waiting or self._state.may_lack_lost_words:
            return
        covers = self._state.history(Topic.OPERATOR).covers
        for revision in [one for one in self._waiting if covers(one)]:
            self._reaches = max(self._reaches, self._waiting.pop(revision))
