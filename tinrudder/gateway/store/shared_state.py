"""What gateways know of the store: for each key the highest revision, whoever told it.

The store gives one revision to every change, so values from the store itself and from other
gateways merge by one rule: the highest revision of a key wins.  Removals are kept for a while, and
values that cannot be read as long as they stand, or an older value from a peer would bring a back
end back.

Owns the newest value of each key and what is in force; relies on the decoders of the platform's
values, and tells its listeners of every change in the order in which they subscribed.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable

from msgspec import Struct

from tinrudder.gateway.model.configuration import BackendEntry, GatewayConfiguration
from tinrudder.gateway.store.evacuations import STORE, Evacuations
from tinrudder.gateway.store.stored_values import (
    ConfigurationKey,
    EvacuationKey,
    Reading,
    StoredValue,
    Topic,
    UnreadableValueError,
    ValueDecoders,
)

REMOVAL_MEMORY_S = 120.0
"""Seconds for which a removal is kept, so that a peer's older value cannot bring a back end back.
Chosen, not measured: it must stay above the 90 s after which peers are forgotten."""
OLDER_START_S = 5.0
"""How long an entry of an older start must stand before it counts.  A late write of a process that
has ended is replaced at the next heartbeat of the one in its place, or goes after three heartbeats
without a write, 3.6 s; what stands longer was written by a live process whose clock went back."""


UNREADABLE_KEPT_BYTES = 4096
"""Of a value that cannot be read: longer ones are kept and told to peers as empty, which cannot be
read either.  A usable entry has some 250 bytes, a value of the store up to a megabyte: sixteen of
these would exceed what a peer accepts as a snapshot, and hide every other entry."""


class EntryStanding(enum.Enum):
    """What the newest value of a back end's key says of the entry that was in force last."""

    IN_FORCE = "in force"
    REMOVED = "removed"
    UNREADABLE = "unreadable"
    OLDER_START = "older start"


class KnownBackend(Struct, frozen=True):
    """A back end's entry with the time this process learned of its present state.

    :param entry: the newest one that was in force.
    :param value: the newest of its key, whatever that says.
    """

    entry: BackendEntry
    value: StoredValue
    since: float
    standing: EntryStanding = EntryStanding.IN_FORCE

    @property
    def in_force(self) -> bool:
        """Tell whether ``entry`` is what the store says now."""
        return self.standing is EntryStanding.IN_FORCE

    @property
    def leaving(self) -> bool:
        """Tell whether it takes no new work."""
        return not self.in_force or self.entry.leaving


class _Newest(Struct, frozen=True):
    """The newest value of a back end's key, and when this process learned of it."""

    value: StoredValue
    since: float


class AcceptedConfiguration(Struct, frozen=True):
    """The configuration in force."""

    configuration: GatewayConfiguration
    value: StoredValue


class SharedState:
    """What the operator asks for and the back ends, as this process knows them.

    Nothing goes back within one life of the process.

    :ivar evacuations: zones whose back ends get nothing.
    """

    def __init__(
        self,
        decoders: ValueDecoders,
        clock: Callable[[], float],
        on_unreadable: Callable[[str], None],
    ) -> None:
        """Start knowing nothing."""
        self.accepted: AcceptedConfiguration | None = None
        self.evacuations = Evacuations()
        self.backends: dict[str, KnownBackend] = {}
        self.backends_read = False
        self._confirmed_at: dict[Topic, float] = {}
        self._decoders = decoders
        self._clock = clock
        self._on_unreadable = on_unreadable
        self._newest: dict[str, _Newest] = {}
        self._backends_revision = 0
        self._forgotten_up_to = 0
        self._listeners: list[Callable[[], None]] = []

    @property
    def configuration_revision(self) -> int:
        """Return the revision of the configuration in force; 0 for none."""
        return self.accepted.value.revision if self.accepted is not None else 0

    @property
    def operator_revision(self) -> int:
        """Return the highest revision of anything that the operator asks for; 0 for none."""
        return max(self.configuration_revision, self.evacuations.revision)

    @property
    def backends_revision(self) -> int:
        """Return the highest revision of any back end's entry or removal; 0 for none."""
        return self._backends_revision

    @property
    def forgotten_up_to(self) -> int:
        """Return the highest revision of a removal that was forgotten; 0 for none."""
        return self._forgotten_up_to

    @property
    def complete(self) -> bool:
        """Tell whether enough is known to serve."""
        return self.accepted is not None and self.backends_read

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after every change."""
        self._listeners.append(listener)

    def apply(self, topic: Topic, values: Iterable[StoredValue], source: str = STORE) -> bool:
        """Take changed values; tell whether anything was new.

        :param source: where they come from; a peer's address if not from the store.
        """
        changed = False
        for value in values:
            if not value.key:
                self._on_unreadable(f"{topic.value}: an item without key or revision")
            elif topic is Topic.OPERATOR:
                changed |= self._apply_operator_value(value, source)
            else:
                changed |= self._apply_backend(value)
        if changed:
            self._announce()
        return changed

    def apply_complete(self, topic: Topic, reading: Reading) -> bool:
        """Take a complete reading: what it lacks is gone as of its revision.

        Its pages are no snapshot: a value that changed while they were read may stand on a later
        page although another change before it was missed on an earlier one.  Such values wait for
        the watch, so that this state is complete up to the highest revision that it holds.  Where
        the key of a value cannot be read, nothing is known to be missing.
        """
        settled = [value for value in reading.values if value.revision <= reading.revision]
        changed = self.apply(topic, settled)
        present = {value.key for value in reading.values}
        held = self.evacuations.keys if topic is Topic.OPERATOR else tuple(self._newest)
        missing = [key for key in held if key not in present] if reading.whole else []
        removals = (StoredValue(key, reading.revision, None) for key in missing)
        changed |= self.apply(topic, removals)
        if topic is Topic.BACKENDS:
            self.note_backends_read()
        return changed

    def confirm(self, topic: Topic, age_s: float = 0.0) -> None:
        """Note that some time ago nothing newer was in the store than what is known now."""
        at = self._clock() - age_s
        self._confirmed_at[topic] = max(at, self._confirmed_at.get(topic, at))

    def unconfirmed_s(self, topic: Topic) -> float:
        """Return for how long nobody is known to have seen the store say that this is all."""
        confirmed_at = self._confirmed_at.get(topic)
        return self._clock() - confirmed_at if confirmed_at is not None else float("inf")

    def revision(self, topic: Topic) -> int:
        """Return the highest revision known of a topic; 0 for none."""
        if topic is Topic.OPERATOR:
            return self.operator_revision
        return self.backends_revision

    def note_backends_read(self) -> None:
        """Note that the list of back ends has been complete once."""
        if not self.backends_read:
            self.backends_read = True
            self._announce()

    def snapshot(self, after: int = 0) -> tuple[StoredValue, ...]:
        """Return back ends' values and removals behind a revision, for a peer."""
        return tuple(
            newest.value for newest in self._newest.values() if newest.value.revision > after
        )

    def forget_old_removals(self) -> None:
        """Drop removals that no peer can contradict any more."""
        horizon = self._clock() - REMOVAL_MEMORY_S
        for key, newest in tuple(self._newest.items()):
            if newest.value.value is None and newest.since < horizon:
                self._forgotten_up_to = max(self._forgotten_up_to, newest.value.revision)
                del self._newest[key]
                self.backends.pop(key, None)

    def accept_older_starts(self) -> None:
        """Put entries in force that stood for long, although a younger start was known."""
        now = self._clock()
        settled = [
            known
            for key, known in self.backends.items()
            if known.standing is EntryStanding.OLDER_START
            and now - self._newest[key].since >= OLDER_START_S
        ]
        for known in settled:
            entry = self._read_entry(known.value)
            assert entry is not None
            self._put_in_force(entry, known.value)
        if settled:
            self._announce()

    def _apply_operator_value(self, value: StoredValue, source: str) -> bool:
        """Take a newer configuration, evacuation or removal of one; leave other keys alone."""
        try:
            key = self._decoders.operator_key(value.key)
        except UnreadableValueError as error:
            self._on_unreadable(str(error))
            return False
        match key:
            case ConfigurationKey():
                return self._apply_configuration(value)
            case EvacuationKey(zone=zone):
                return self.evacuations.apply(zone, value, source)
            case _:
                return False

    def _apply_configuration(self, value: StoredValue) -> bool:
        """Put a newer configuration in force."""
        if value.value is None or value.revision <= self.configuration_revision:
            return False
        try:
            configuration = self._decoders.configuration(value.value)
        except UnreadableValueError as error:
            self._on_unreadable(str(error))
            return False
        accepted = self.accepted
        if accepted is not None and configuration.version < accepted.configuration.version:
            return False
        self.accepted = AcceptedConfiguration(configuration, value)
        return True

    def _apply_backend(self, value: StoredValue) -> bool:
        """Take a newer entry, its removal, or a value that names no back end."""
        newest = self._newest.get(value.key)
        if newest is not None and value.revision <= newest.value.revision:
            return False
        entry = self._read_entry(value)
        if entry is None and len(value.value or b"") > UNREADABLE_KEPT_BYTES:
            value = StoredValue(value.key, value.revision, b"")
        since = self._clock()
        if newest is not None and self._is_set_aside(value.key, entry):
            since = newest.since
        self._newest[value.key] = _Newest(value, since)
        self._backends_revision = max(self._backends_revision, value.revision)
        if value.value is None:
            return self._withdraw(value, EntryStanding.REMOVED)
        if entry is None:
            return self._withdraw(value, EntryStanding.UNREADABLE)
        known = self.backends.get(value.key)
        if known is not None and entry.started_before(known.entry):
            return self._withdraw(value, EntryStanding.OLDER_START)
        self._put_in_force(entry, value)
        return True

    def _is_set_aside(self, key: str, entry: BackendEntry | None) -> bool:
        """Tell whether the newest value of a key is of the same start, and waits to count.

        Who writes again within that time does not wait anew.
        """
        known = self.backends.get(key)
        if entry is None or known is None or known.standing is not EntryStanding.OLDER_START:
            return False
        waiting = self._read_entry(known.value)
        return waiting is not None and waiting.is_same_start(entry)

    def _read_entry(self, value: StoredValue) -> BackendEntry | None:
        """Decode an entry; ``None`` if it is removed or cannot be read."""
        if value.value is None:
            return None
        try:
            return self._decoders.backend(value.key, value.value)
        except UnreadableValueError as error:
            self._on_unreadable(str(error))
            return None

    def _put_in_force(self, entry: BackendEntry, value: StoredValue) -> None:
        """Take a back end's word; what it said of leaving dates from when it said so first."""
        known = self.backends.get(value.key)
        since = self._clock()
        if known is not None and known.in_force and known.entry.is_same_start(entry):
            since = known.since if known.entry.leaving == entry.leaving else since
        self.backends[value.key] = KnownBackend(entry, value, since)

    def _withdraw(self, value: StoredValue, standing: EntryStanding) -> bool:
        """Note that no entry of a key is in force; tell whether one has ever been."""
        known = self.backends.get(value.key)
        if known is None:
            return False
        since = known.since if known.leaving else self._clock()
        self.backends[value.key] = KnownBackend(known.entry, value, since, standing)
        return True

    def _announce(self) -> None:
        """Tell everybody who asked."""
        for listener in self._listeners:
            listener()
