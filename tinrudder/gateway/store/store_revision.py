"""Revisions of the platform's store across restores, and their order.

Owns nothing: values only. The store assigns a number to every change. When it is restored from an
older copy of itself, it begins a new epoch and assigns the numbers after the end of the copy again.
So numbers alone do not order changes, and no other module compares them.

A value of a later epoch was not necessarily written later: the copy holds values that had been
replaced before the epoch began. :mod:`tinrudder.gateway.store.epoch_rules` decides which of two
values of different epochs wins.
"""

from __future__ import annotations

from msgspec import Struct


class StoreRevision(Struct, frozen=True, order=True):
    """A revision of the store; within an epoch, higher numbers were assigned later.

    >>> StoreRevision(1, 63) < StoreRevision(2, 60) < StoreRevision(2, 61)
    True

    :param epoch: rises whenever the store is restored from an older copy; 0 if the store reports
        none.
    """

    epoch: int = 0
    number: int = 0


NO_REVISION = StoreRevision()
"""The lowest revision, before any change."""


class EpochStart(Struct, frozen=True):
    """How an epoch began.

    :param age_s: seconds since then.
    :param copy_up_to: upper bound of the copy's revision numbers.
    """

    age_s: float
    copy_up_to: int


class TopicPosition(Struct, frozen=True):
    """How much of one topic's history a gateway has observed.

    :param revision: every change of its epoch up to this revision is known.
    :param older: highest revision observed in any earlier epoch.
    :param restored: start of this epoch, if it was recent and observed by this gateway or reported
        by one that observed it.
    :param shown: the store has shown that no change of the topic up to this revision of the same
        epoch is lacking; it may be the revision of another topic's change.
    """

    revision: StoreRevision = NO_REVISION
    older: StoreRevision = NO_REVISION
    restored: EpochStart | None = None
    shown: StoreRevision = NO_REVISION
