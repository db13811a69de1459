"""Merges the values of each key over the epochs of the store and selects the winning one.

Owns the newest observed value of each key in each epoch. Relies on a rule for how long a value
takes precedence over one of a later epoch. The winner depends on the set of observed values only,
so their order and repetitions make no difference.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Protocol

from tinrudder.gateway.store.epoch_rules import WRITTEN_AGAIN_S, HeardValue
from tinrudder.gateway.store.store_revision import StoreRevision
from tinrudder.gateway.store.stored_values import StoredValue
from tinrudder.gateway.store.topic_history import TopicHistory

Words = tuple[HeardValue, ...]
"""Observed values of one key, in the order of their epochs; one for each epoch."""


class StandsRule(Protocol):
    """Decides for how long a value takes precedence over one of a later epoch."""

    def __call__(self, earlier: HeardValue, later: HeardValue, *, may_be_copied: bool) -> float:
        """Return seconds; 0 if the later value wins at once; see :mod:`.epoch_rules`."""


class EpochMerge:
    """The observed values of each key."""

    def __init__(
        self, history: TopicHistory, precedence_s: StandsRule, clock: Callable[[], float]
    ) -> None:
        """Start empty.

        :param history: provides the epoch in which the store is followed, and its age.
        """
        self._history = history
        self._stands_s = precedence_s
        self._clock = clock
        self._words: dict[str, Words] = {}
        self._holds: dict[str, HeardValue] = {}
        # Keys with values of an earlier epoch.
        self._unsettled: set[str] = set()

    def __iter__(self) -> Iterator[HeardValue]:
        """Return the winning value of each key."""
        return iter(tuple(self._holds.values()))

    def winner(self, key: str) -> HeardValue | None:
        """Return the winning value of a key; ``None`` if none was observed."""
        return self._holds.get(key)

    def is_shown(self, key: str) -> bool:
        """Tell whether any value of a key was observed in the current epoch."""
        return self._shown(key) is not None

    def is_news(self, value: StoredValue) -> bool:
        """Tell whether a value is newer than the observed one of its key and epoch.

        A value of a later epoch is ignored: an epoch is only entered with a complete read.
        """
        key, epoch = value.key, value.revision.epoch
        if epoch > self._history.epoch:
            return False
        words = self._words.get(key, ())
        if not words and epoch < self._history.epoch and self._is_settled:
            return False
        return all(one.revision < value.revision for one in words if one.revision.epoch == epoch)

    def take(self, word: HeardValue) -> bool:
        """Add an observed value; tell whether the winner changed."""
        if not self.is_news(word.value):
            return False
        key, epoch = word.value.key, word.revision.epoch
        others = tuple(one for one in self._words.get(key, ()) if one.revision.epoch != epoch)
        self._words[key] = tuple(sorted((*others, word), key=_epoch_of)) if others else (word,)
        if others or epoch < self._history.epoch:
            self._unsettled.add(key)
        return self._decide(key)

    def note_epoch(self) -> None:
        """Begin to follow a later epoch, whose values may contradict any known one."""
        self._unsettled.update(self._words)

    def settle(self) -> list[HeardValue]:
        """Drop values that can no longer matter; return the values that win since.

        A key without a value in this epoch counts as removed once all lost writes must have been
        repeated: the epoch was entered with a complete read.
        """
        changed = []
        for key in sorted(self._unsettled):
            if self._is_settled and self._history.is_read_whole and self._shown(key) is None:
                self._words[key] = (self._gone(key),)
            if self._decide(key):
                changed.append(self._holds[key])
            if self._is_settled and self._holds[key].revision.epoch == self._history.epoch:
                self._words[key] = (self._holds[key],)
                self._unsettled.discard(key)
        return changed

    def kept(self) -> list[HeardValue]:
        """Return the winning values of earlier epochs."""
        held = (self._holds[key] for key in self._unsettled)
        return [word for word in held if word.revision.epoch < self._history.epoch]

    def changes_since(self, revision: StoreRevision) -> tuple[StoredValue, ...]:
        """Return the values of this epoch after a revision."""
        shown = (self._shown(key) for key in self._words)
        return tuple(one.value for one in shown if one is not None and one.revision > revision)

    def forget(self, key: str) -> None:
        """Drop all values of a key."""
        del self._words[key], self._holds[key]
        self._unsettled.discard(key)

    @property
    def _is_settled(self) -> bool:
        """Tell whether all writes that the store lost must have been repeated by now."""
        return self._history.seen_s >= WRITTEN_AGAIN_S

    def _shown(self, key: str) -> HeardValue | None:
        """Return a key's value of the current epoch; ``None`` if none was observed."""
        words = self._words.get(key)
        newest = words[-1] if words else None
        return newest if newest and newest.revision.epoch == self._history.epoch else None

    def _decide(self, key: str) -> bool:
        """Select the winner of a key, and tell whether it changed."""
        words = self._words[key]
        holds = words[0]
        for later in words[1:]:
            is_present = later.revision.epoch == self._history.epoch
            may_be_copied = not is_present or later.revision <= self._history.copy_up_to
            precedence_s = self._stands_s(holds, later, may_be_copied=may_be_copied)
            # The duration of an intermediate epoch is unknown, so no precedence ended in it.
            if precedence_s <= (self._history.seen_s if is_present else 0.0):
                holds = later
        changed = self._holds.get(key) is not holds
        self._holds[key] = holds
        return changed

    def _gone(self, key: str) -> HeardValue:
        """Return the removal of a key that the complete reads of this epoch lack."""
        return HeardValue(StoredValue(key, self._history.copy_up_to, None), self._clock())


def _epoch_of(word: HeardValue) -> int:
    """Return the epoch of an observed value."""
    return word.revision.epoch
