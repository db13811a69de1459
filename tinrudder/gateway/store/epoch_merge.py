"""Merges the values of each key over the epochs of the store and selects the winning one.

Owns the newest observed value of each key in each epoch. Relies on a rule for how long a value
takes precedence over one of a later epoch. The winner depends on the set of observed values only,
so their order and repetitions make no difference.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol

from tinrudder.gateway.store.epoch_rules import REWRITE_PERIOD_S, ObservedValue
from tinrudder.gateway.store.store_revision import StoreRevision
from tinrudder.gateway.store.stored_values import StoredValue
from tinrudder.gateway.store.topic_history import TopicHistory

Observations = tuple[ObservedValue, ...]
"""Observed values of one key, in the order of their epochs; one for each epoch."""


class PrecedenceRule(Protocol):
    """Decides for how long a value takes precedence over one of a later epoch."""

    def __call__(
        self, earlier: ObservedValue, later: ObservedValue, *, may_be_copied: bool
    ) -> float:
        """Return seconds; 0 if the later value wins at once; see :mod:`.epoch_rules`."""


class EpochMerge:
    """The observed values of each key."""

    def __init__(
        self, history: TopicHistory, precedence_s: PrecedenceRule, clock: Callable[[], float]
    ) -> None:
        """Start empty.

        :param history: provides the epoch in which the store is followed, and its age.
        """
        self._history = history
        self._precedence_s = precedence_s
        self._clock = clock
        self._observations: dict[str, Observations] = {}
        self._winners: dict[str, ObservedValue] = {}
        # Keys with values of an earlier epoch.
        self._unsettled: set[str] = set()

    def __iter__(self) -> Iterator[ObservedValue]:
        """Return the winning value of each key."""
        return iter(tuple(self._winners.values()))

    def winner(self, key: str) -> ObservedValue | None:
        """Return the winning value of a key; ``None`` if none was observed."""
        return self._winners.get(key)

    def is_in_current_epoch(self, key: str) -> bool:
        """Tell whether any value of a key was observed in the current epoch."""
        return self._current(key) is not None

    def is_newer(self, value: StoredValue) -> bool:
        """Tell whether a value is newer than the observed one of its key and epoch.

        A value of a later epoch is ignored: an epoch is only entered with a complete read.
        """
        key, epoch = value.key, value.revision.epoch
        if epoch > self._history.epoch:
            return False
        observations = self._observations.get(key, ())
        if not observations and epoch < self._history.epoch and self._is_settled:
            return False
        return all(
            one.revision < value.revision for one in observations if one.revision.epoch == epoch
        )

    def record(self, observed: ObservedValue) -> bool:
        """Record an observed value; tell whether the winner changed."""
        if not self.is_newer(observed.value):
            return False
        key, epoch = observed.value.key, observed.revision.epoch
        others = tuple(
            one for one in self._observations.get(key, ()) if one.revision.epoch != epoch
        )
        self._observations[key] = (
            tuple(sorted((*others, observed), key=_epoch_of)) if others else (observed,)
        )
        if others or epoch < self._history.epoch:
            self._unsettled.add(key)
        return self._decide(key)

    def begin_epoch(self) -> None:
        """Begin to follow a later epoch, whose values may contradict any known one."""
        self._unsettled.update(self._observations)

    def settle(self) -> list[ObservedValue]:
        """Drop values that can no longer matter; return the values that win as a result.

        A key without a value in this epoch counts as removed once all lost writes must have been
        repeated: the epoch was entered with a complete read.
        """
        changed = []
        for key in sorted(self._unsettled):
            if self._is_settled and self._history.is_read_whole and self._current(key) is None:
                self._observations[key] = (self._removal(key),)
            if self._decide(key):
                changed.append(self._winners[key])
            if self._is_settled and self._winners[key].revision.epoch == self._history.epoch:
                self._observations[key] = (self._winners[key],)
                self._unsettled.discard(key)
        return changed

    def retained(self) -> list[ObservedValue]:
        """Return the winning values of earlier epochs."""
        unsettled = (self._winners[key] for key in self._unsettled)
        return [observed for observed in unsettled if observed.revision.epoch < self._history.epoch]

    def changes_since(self, revision: StoreRevision) -> tuple[StoredValue, ...]:
        """Return the values of this epoch after a revision."""
        current = (self._current(key) for key in self._observations)
        return tuple(one.value for one in current if one is not None and one.revision > revision)

    def forget(self, key: str) -> None:
        """Drop all values of a key."""
        del self._observations[key], self._winners[key]
        self._unsettled.discard(key)

    @property
    def _is_settled(self) -> bool:
        """Tell whether all writes that the store lost must have been repeated by now."""
        return self._history.confirmed_epoch_age_s >= REWRITE_PERIOD_S

    def _current(self, key: str) -> ObservedValue | None:
        """Return a key's value of the current epoch; ``None`` if none was observed."""
        observations = self._observations.get(key)
        newest = observations[-1] if observations else None
        return newest if newest and newest.revision.epoch == self._history.epoch else None

    def _decide(self, key: str) -> bool:
        """Select the winner of a key, and tell whether it changed."""
        observations = self._observations[key]
        winner = observations[0]
        for later in observations[1:]:
            is_current = later.revision.epoch == self._history.epoch
            may_be_copied = not is_current or later.revision <= self._history.copy_up_to
            precedence_s = self._precedence_s(winner, later, may_be_copied=may_be_copied)
            # The duration of an intermediate epoch is unknown, so no precedence ended in it.
            if precedence_s <= (self._history.confirmed_epoch_age_s if is_current else 0.0):
                winner = later
        changed = self._winners.get(key) is not winner
        self._winners[key] = winner
        return changed

    def _removal(self, key: str) -> ObservedValue:
        """Return the removal of a key that the complete reads of this epoch lack."""
        return ObservedValue(StoredValue(key, self._history.copy_up_to, None), self._clock())


def _epoch_of(observed: ObservedValue) -> int:
    """Return the epoch of an observed value."""
    return observed.revision.epoch
