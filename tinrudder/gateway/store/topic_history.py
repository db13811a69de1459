"""Tracks how much of the store's history of one topic this gateway has observed.

Owns the position, the start of the epoch and the time of the store's latest confirmation. Relies on
the shared state to enter an epoch only with a complete read of it.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.gateway.store.epoch_rules import LEAVING_PRECEDENCE_S
from tinrudder.gateway.store.store_revision import (
    NO_REVISION,
    EpochStart,
    StoreRevision,
    TopicPosition,
)

EPOCH_AGE_REPORTED_S = LEAVING_PRECEDENCE_S
"""Seconds after the start of an epoch during which gateways report its age: as long as a value of
the previous epoch may take precedence."""


class TopicHistory:
    """The part of one topic's history that this gateway has observed.

    The owner must enter an epoch only with a complete read of it.

    :ivar revision: every change up to this revision is known.
    :ivar older: highest revision observed in any earlier epoch.
    :ivar copy_up_to: upper bound of the copy that this epoch began with: the revision of the
        epoch's first complete read, here or at another gateway.
    :ivar is_read_whole: whether a complete read of this epoch had a readable key for every item.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without any history; ``clock`` returns the time of the event loop, seconds."""
        self.revision = NO_REVISION
        self.older = NO_REVISION
        self.copy_up_to = NO_REVISION
        self.is_read_whole = False
        self._clock = clock
        self._entered_at: float | None = None
        self._restored_at: float | None = None
        self._confirmed_at = float("-inf")
        self._shown = NO_REVISION

    @property
    def shown(self) -> StoreRevision:
        """Return the revision of any topic up to which no change of this one is lacking here."""
        return max(self._shown, self.revision)

    @property
    def epoch(self) -> int:
        """Return the epoch in which this gateway follows the store."""
        return self.revision.epoch

    @property
    def confirmed_epoch_age_s(self) -> float:
        """Return how long the current epoch is known to have lasted at the latest confirmation.

        Later time does not count: a process that was suspended or disconnected did not see what was
        rewritten in that time.
        """
        began = [at for at in (self._entered_at, self._restored_at) if at is not None]
        return max(0.0, self._confirmed_at - min(began, default=self._clock()))

    @property
    def unconfirmed_s(self) -> float:
        """Return the time since the store's latest known confirmation that nothing is newer.

        The confirmation may have been given to any gateway.
        """
        return self._clock() - self._confirmed_at

    @property
    def is_restored(self) -> bool:
        """Tell whether this epoch is known to have begun with a restore from a copy."""
        return self._restored_at is not None

    @property
    def restored_s(self) -> float:
        """Return how long ago the store was restored from a copy; infinite if not known."""
        return float("inf") if self._restored_at is None else self._clock() - self._restored_at

    def confirm(self, age_s: float) -> None:
        """Record that the store had nothing newer ``age_s`` seconds ago."""
        self._confirmed_at = max(self._confirmed_at, self._clock() - age_s)

    def show(self, revision: StoreRevision) -> None:
        """Record that every change of this topic up to a revision of any topic was received."""
        if revision.epoch <= self.epoch:
            self._shown = max(self._shown, revision)

    def covers(self, revision: StoreRevision) -> bool:
        """Tell whether every change up to a revision has been observed here."""
        if revision.epoch == self.epoch:
            return revision.number <= self.revision.number
        return revision.epoch < self.epoch and revision <= self.older

    def covers_position(self, position: TopicPosition) -> bool:
        """Tell whether everything known to a gateway at a position has been observed here."""
        return self.covers(position.revision) and self.covers(position.older)

    def is_later_epoch(self, revision: StoreRevision) -> bool:
        """Tell whether a revision belongs to a later epoch than the current one."""
        return self._entered_at is not None and revision.epoch > self.epoch

    def enter(self, read_up_to: StoreRevision) -> bool:
        """Begin an epoch with a complete read of it; tell whether a new epoch began.

        A gateway that followed an earlier epoch learns from this that the store was restored, and
        records the time. A gateway without history may just have started, so it records no restore.
        """
        is_later = self.is_later_epoch(read_up_to)
        if self._entered_at is not None and not is_later:
            return False
        if is_later:
            self.older = max(self.older, self.revision)
            self._restored_at = self._clock()
        self.revision = StoreRevision(read_up_to.epoch, 0)
        self.copy_up_to = read_up_to
        self.is_read_whole = False
        self._entered_at = self._clock()
        return True

    def observe(self, revision: StoreRevision) -> None:
        """Record that a change of this epoch or an earlier one was observed."""
        if revision.epoch == self.epoch:
            self.revision = max(self.revision, revision)
            if self._entered_at is None:
                self._entered_at = self._clock()
        elif revision.epoch < self.epoch:
            self.older = max(self.older, revision)

    def observe_position(self, position: TopicPosition) -> None:
        """Record that everything known to a gateway at a position has been received."""
        self.observe(position.revision)
        self.observe(position.older)
        self.show(position.shown)
        epoch_start = position.restored
        if epoch_start is None or position.revision.epoch != self.epoch:
            return
        began_at = self._clock() - epoch_start.age_s
        known_at = began_at if self._restored_at is None else self._restored_at
        self._restored_at = min(began_at, known_at)
        self.copy_up_to = min(self.copy_up_to, StoreRevision(self.epoch, epoch_start.copy_up_to))

    def position(self) -> TopicPosition:
        """Return this gateway's position, with the start of the epoch if that was recent."""
        epoch_start = None
        if self.restored_s <= EPOCH_AGE_REPORTED_S:
            epoch_start = EpochStart(self.restored_s, self.copy_up_to.number)
        return TopicPosition(self.revision, self.older, epoch_start, self.shown)
