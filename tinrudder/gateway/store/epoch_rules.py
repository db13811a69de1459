"""Decides which of two values of a key wins if the store was restored from a copy in between.

Owns no state: pure rules and their bounds.

A value of the later epoch may be older than one of the earlier epoch: the copy contained it, and
the newer value has not been written again yet. Revisions of two epochs do not order them, so the
life cycle of the back end or evacuation decides. A back end is ready, then leaving, then removed,
and a later start replaces an earlier one. A value of the earlier epoch takes precedence over a
later one that would go back in this life cycle, for a bounded time; after that the store's value
wins. A value that goes forward wins at once.

A value written in the later epoch after a gateway had read all of it was not in the copy, so it is
a new write. It wins at once, too, except over the leaving state of the same start of a back end.

The operator's configuration needs no such rule: its versions order it over all epochs.
"""

from __future__ import annotations

from msgspec import Struct

from tinrudder.gateway.model.configuration import BackendEntry
from tinrudder.gateway.store.store_revision import StoreRevision
from tinrudder.gateway.store.stored_values import StoredValue

REWRITE_PERIOD_S = 6.0
"""Seconds from the start of an epoch within which everything that the copy lacks is written again.
Back ends write every 1.2 s, an entry that is no longer written expires after three of these
intervals, 3.6 s, and operators repeat lost changes within 5 s. Until then known values take
precedence over a copy that lacks them or holds an older state; after that the store's contents
prevail."""
LEAVING_PRECEDENCE_S = 120.0
"""Precedence in seconds of a back end's leaving state over its ready state in the copy. A back end
never revokes that announcement, so this bound only ends the effects of a wrong epoch; it equals
the time for which removals are retained."""
EVACUATION_END_PRECEDENCE_S = 4.0
"""Precedence in seconds of the end of an evacuation over the evacuation in the copy: the operator
may have evacuated the zone again, which must take effect within 5 s."""


class ObservedValue(Struct, frozen=True):
    """One value of a key, as observed by this gateway.

    :param since: when it was first observed.
    :param entry: decoded entry of a back end; ``None`` if it is removed, undecodable, or another
        kind of value.
    """

    value: StoredValue
    since: float
    entry: BackendEntry | None = None

    @property
    def revision(self) -> StoreRevision:
        """Return its revision in the store."""
        return self.value.revision

    @property
    def is_removal(self) -> bool:
        """Tell whether the key was removed."""
        return self.value.value is None


def backend_precedence_s(
    earlier: ObservedValue, later: ObservedValue, *, may_be_copied: bool
) -> float:
    """Return for how long a back end's value wins over one of a later epoch; 0: not at all.

    :param may_be_copied: the copy may have contained the later value.
    """
    if later.is_removal:
        # An explicit removal in the new epoch; a key that the copy merely lacks has no removal.
        return 0.0
    before, after = earlier.entry, later.entry
    if before is not None and after is not None and after.is_same_process(before):
        return LEAVING_PRECEDENCE_S if before.leaving and not after.leaving else 0.0
    if not may_be_copied:
        return 0.0
    if before is not None and after is not None and before.started_before(after):
        return 0.0
    return REWRITE_PERIOD_S


def evacuation_precedence_s(
    earlier: ObservedValue, later: ObservedValue, *, may_be_copied: bool
) -> float:
    """Return for how long a zone's value wins over one of a later epoch; 0: not at all."""
    if earlier.is_removal and not later.is_removal and may_be_copied:
        return EVACUATION_END_PRECEDENCE_S
    return 0.0
