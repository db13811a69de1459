"""Places in the history of the platform's store, and their one order.

Owns nothing: values only.  The store gives one number to every change.  When it comes back from an
older copy of itself, it begins a new epoch there, and gives out again the numbers that the copy had
not reached.  So a bare number says nothing of what is newer, and none is compared outside this
module.

What the order does not say: that a value of a later epoch was written later.  The copy holds
values that were replaced before the epoch began; :mod:`tinrudder.gateway.store.epoch_rules` tells
which of two values of different epochs holds.
"""

from __future__ import annotations

from msgspec import Struct


class StoreRevision(Struct, frozen=True, order=True):
    """A place in the store's history; within an epoch, a higher number was given out later.

    >>> StoreRevision(1, 63) < StoreRevision(2, 60) < StoreRevision(2, 61)
    True

    :param epoch: rises whenever the store comes back from an older copy; 0 where it tells none.
    """

    epoch: int = 0
    number: int = 0


NO_REVISION = StoreRevision()
"""Before everything."""


class EpochBegin(Struct, frozen=True):
    """How an epoch began.

    :param age_s: how long ago.
    :param copy_up_to: the copy reached no further than this number.
    """

    age_s: float
    copy_up_to: int


class TopicPosition(Struct, frozen=True):
    """How far a gateway's knowledge of one topic goes.

    :param revision: all up to here is known, in the epoch of this revision.
    :param older: the highest revision of an earlier epoch that was heard of.
    :param restored: the begin of this epoch, where it was lately and the gateway lived through it
        or heard of it from one that did.
    """

    revision: StoreRevision = NO_REVISION
    older: StoreRevision = NO_REVISION
    restored: EpochBegin | None = None
