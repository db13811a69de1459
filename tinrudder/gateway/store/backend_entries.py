"""Keeps the back ends' entries known to this gateway, merged from all sources.

Removals are retained for a while, and undecodable values until they are replaced; otherwise an
older value from a peer would restore a removed back end.

Owns the newest values of each key and the entry that is in force. Relies on the decoder of the
platform's entries, and on the topic's history for the order of values.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from msgspec import Struct

from tinrudder.gateway.model.configuration import BackendEntry
from tinrudder.gateway.store.epoch_merge import EpochMerge
from tinrudder.gateway.store.epoch_rules import (
    REWRITE_PERIOD_S,
    ObservedValue,
    backend_precedence_s,
)
from tinrudder.gateway.store.store_revision import NO_REVISION
from tinrudder.gateway.store.stored_values import StoredValue, UnreadableValueError
from tinrudder.gateway.store.topic_history import TopicHistory

REMOVAL_RETENTION_S = 120.0
"""Seconds for which a removal is retained, so that a peer's older value cannot restore the back
end. Must exceed the 90 s after which silent peers are dropped."""
OLDER_START_S = 5.0
"""Seconds that an entry with an older start time must persist before it is accepted. A late write
of a process that has ended is replaced by the next heartbeat of its successor, or expires after
three heartbeats without a write, 3.6 s; an entry that persists longer was written by a live
process whose clock went back."""
MAX_UNREADABLE_BYTES = 4096
"""Maximum size of an undecodable value: longer ones are stored and sent to peers as empty, which is
undecodable too. A usable entry has some 250 bytes, a value of the store up to a megabyte: 16 of
these would exceed the size of a snapshot that a peer accepts, and hide every other entry."""


class EntryStatus(enum.Enum):
    """State of a back end's key, relative to the entry that was in force last."""

    IN_FORCE = "in force"
    REMOVED = "removed"
    UNREADABLE = "unreadable"
    OLDER_START = "older start"


class KnownBackend(Struct, frozen=True):
    """A back end's entry, and when this process learned of its present state.

    :param entry: the newest one that was in force.
    :param value: the winning value of its key, whether or not it is in force.
    :param since: when the present state was learned.
    :param write_observed_at: when this process learned that the back end wrote ``entry``. Unchanged
        if a store restored from a copy returns the same entry again.
    """

    entry: BackendEntry
    value: StoredValue
    since: float
    write_observed_at: float
    standing: EntryStatus = EntryStatus.IN_FORCE

    @property
    def in_force(self) -> bool:
        """Tell whether ``entry`` is currently in force."""
        return self.standing is EntryStatus.IN_FORCE

    @property
    def is_older_start(self) -> bool:
        """Tell whether the winning value has an older start time, and is not yet accepted."""
        return self.standing is EntryStatus.OLDER_START

    @property
    def leaving(self) -> bool:
        """Tell whether the back end takes no new work."""
        return not self.in_force or self.entry.leaving


class BackendEntries:
    """The back ends as known to this process.

    :ivar known: back ends that have ever been in force, by key.
    :ivar forgotten_up_to: highest revision of the removals whose retention is over.
    """

    def __init__(
        self,
        history: TopicHistory,
        decode: Callable[[str, bytes], BackendEntry],
        clock: Callable[[], float],
        on_unreadable: Callable[[str], None],
    ) -> None:
        """Start without any back end."""
        self.known: dict[str, KnownBackend] = {}
        self.forgotten_up_to = NO_REVISION
        self.merge = EpochMerge(history, backend_precedence_s, clock)
        self._history = history
        self._decode = decode
        self._clock = clock
        self._on_unreadable = on_unreadable

    def apply(self, value: StoredValue) -> bool:
        """Apply a value of a key; tell whether it may change which requests a back end gets."""
        if not self.merge.is_newer(value):
            return False
        observed = ObservedValue(value, self._clock(), self._read_entry(value))
        if observed.entry is None and len(value.value or b"") > MAX_UNREADABLE_BYTES:
            observed = ObservedValue(StoredValue(value.key, value.revision, b""), observed.since)
        if self._is_pending_start(observed):
            # A repeated write keeps the time since which its older start waits to be accepted.
            before = self.merge.winner(value.key)
            assert before is not None
            observed = ObservedValue(observed.value, before.since, observed.entry)
        return self.merge.record(observed) and self._update(observed.value.key)

    def settle(self) -> list[ObservedValue]:
        """End expired precedence; return the values that win as a result."""
        settled = self.merge.settle()
        for observed in settled:
            self._update(observed.value.key)
        return settled

    def forget_old_removals(self) -> None:
        """Drop removals whose retention period is over."""
        horizon = self._clock() - REMOVAL_RETENTION_S
        for observed in self.merge:
            if observed.is_removal and observed.since < horizon:
                self.forgotten_up_to = max(self.forgotten_up_to, observed.revision)
                self.merge.forget(observed.value.key)
                self.known.pop(observed.value.key, None)

    def accept_older_starts(self) -> bool:
        """Accept entries with an older start time that have persisted for long enough.

        Tell whether there were any.
        """
        horizon = self._clock() - OLDER_START_S
        waiting = [key for key, one in self.known.items() if one.is_older_start]
        winners = [observed for key in waiting if (observed := self.merge.winner(key)) is not None]
        settled = [observed for observed in winners if observed.since <= horizon]
        for observed in settled:
            assert observed.entry is not None
            self._put_in_force(observed.entry, observed.value)
        return bool(settled)

    def _update(self, key: str) -> bool:
        """Update a back end to its key's winning value; tell whether it is or was in force."""
        observed = self.merge.winner(key)
        assert observed is not None
        if observed.is_removal:
            return self._withdraw(observed.value, EntryStatus.REMOVED)
        if observed.entry is None:
            return self._withdraw(observed.value, EntryStatus.UNREADABLE)
        known = self.known.get(key)
        if known is not None and observed.entry.started_before(known.entry):
            return self._withdraw(observed.value, EntryStatus.OLDER_START)
        self._put_in_force(observed.entry, observed.value)
        return True

    def _is_pending_start(self, observed: ObservedValue) -> bool:
        """Tell whether a value has the same start as one that is waiting to be accepted."""
        known = self.known.get(observed.value.key)
        if observed.entry is None or known is None or not known.is_older_start:
            return False
        waiting = self.merge.winner(observed.value.key)
        return (
            waiting is not None
            and waiting.entry is not None
            and waiting.entry.is_same_process(observed.entry)
        )

    def _read_entry(self, value: StoredValue) -> BackendEntry | None:
        """Decode an entry; ``None`` if it is removed or undecodable."""
        if value.value is None:
            return None
        try:
            return self._decode(value.key, value.value)
        except UnreadableValueError as error:
            self._on_unreadable(str(error))
            return None

    def _put_in_force(self, entry: BackendEntry, value: StoredValue) -> None:
        """Put an entry in force; ``since`` is kept while process and ``leaving`` are unchanged."""
        known = self.known.get(value.key)
        now = self._clock()
        since = write_observed_at = now
        if known is not None and known.in_force and known.entry.is_same_process(entry):
            since = known.since if known.entry.leaving == entry.leaving else now
            write_observed_at = (
                known.write_observed_at if self._is_restored_copy(known, entry) else now
            )
        self.known[value.key] = KnownBackend(entry, value, since, write_observed_at)

    def _is_restored_copy(self, known: KnownBackend, entry: BackendEntry) -> bool:
        """Tell whether an entry is the known one, returned again by a restored store.

        A back end that writes the same entry again restarts its cold period. An entry that is only
        read again, or rewritten because the store lost it, must not restart it; otherwise all back
        ends would be cold at once.
        """
        return known.entry == entry and self._history.restored_s < REWRITE_PERIOD_S

    def _withdraw(self, value: StoredValue, standing: EntryStatus) -> bool:
        """Mark a key's entry as not in force; tell whether one has ever been."""
        known = self.known.get(value.key)
        if known is None:
            return False
        since = known.since if known.leaving else self._clock()
        self.known[value.key] = KnownBackend(
            known.entry, value, since, known.write_observed_at, standing
        )
        return True
