"""What gateways know of the store: for each key the highest revision, whoever told it.

The store gives one revision to every change, so values from the store itself and from other
gateways merge by one rule: the highest revision of a key wins.  Removals are kept for a while, or
an older value from a peer would bring a back end back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import Struct

from tinrudder.gateway.evacuations import STORE, Evacuations
from tinrudder.gateway.model import BackendEntry, GatewayConfiguration
from tinrudder.gateway.stored_values import (
    ConfigurationKey,
    EvacuationKey,
    Reading,
    StoredValue,
    Topic,
    UnreadableValueError,
    ValueDecoders,
)

REMOVAL_MEMORY_S = 120.0


class KnownBackend(Struct, frozen=True):
    """A back end's entry with the time this process learned of its present state.

    :param removed: its entry is gone from the store; ``entry`` is the last one seen.
    """

    entry: BackendEntry
    value: StoredValue
    since: float
    removed: bool = False

    @property
    def leaving(self) -> bool:
        """Tell whether it takes no new work."""
        return self.removed or self.entry.leaving


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
        self.generation = 0
        self._confirmed_at: dict[Topic, float] = {}
        self._decoders = decoders
        self._clock = clock
        self._on_unreadable = on_unreadable
        self._removals: dict[str, tuple[int, float]] = {}
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
            if topic is Topic.OPERATOR:
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
        the watch, so that this state is complete up to the highest revision that it holds.
        """
        settled = [value for value in reading.values if value.revision <= reading.revision]
        changed = self.apply(topic, settled)
        present = {value.key for value in reading.values}
        held = self.evacuations.keys if topic is Topic.OPERATOR else tuple(self.backends)
        missing = [key for key in held if key not in present]
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
        present = tuple(
            known.value
            for known in self.backends.values()
            if not known.removed and known.value.revision > after
        )
        removed = tuple(
            StoredValue(key, revision, None)
            for key, (revision, _) in self._removals.items()
            if revision > after
        )
        return present + removed

    def forget_old_removals(self) -> None:
        """Drop removals that no peer can contradict any more."""
        horizon = self._clock() - REMOVAL_MEMORY_S
        for key, (revision, since) in tuple(self._removals.items()):
            if since < horizon:
                self._forgotten_up_to = max(self._forgotten_up_to, revision)
                del self._removals[key]
                self.backends.pop(key, None)

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
        """Take a newer entry, or its removal."""
        known = self.backends.get(value.key)
        removed_revision, _ = self._removals.get(value.key, (0, 0.0))
        newest = max(removed_revision, known.value.revision if known is not None else 0)
        if value.revision <= newest:
            return False
        self._backends_revision = max(self._backends_revision, value.revision)
        if value.value is None:
            self._remove(value, known)
            return known is not None
        try:
            entry = self._decoders.backend(value.key, value.value)
        except UnreadableValueError as error:
            self._on_unreadable(str(error))
            return False
        self._removals.pop(value.key, None)
        since = self._clock()
        same = known is not None and not known.removed and known.entry.leaving == entry.leaving
        if same and known is not None:
            since = known.since
        self.backends[value.key] = KnownBackend(entry, value, since)
        return True

    def _remove(self, value: StoredValue, known: KnownBackend | None) -> None:
        """Remember a removal, and what the entry said last."""
        now = self._clock()
        self._removals[value.key] = (value.revision, now)
        if known is not None:
            since = known.since if known.leaving else now
            self.backends[value.key] = KnownBackend(known.entry, value, since, removed=True)

    def _announce(self) -> None:
        """Tell everybody who asked."""
        self.generation += 1
        for listener in self._listeners:
            listener()
