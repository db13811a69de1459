"""Merges the store's values from all sources: for each key, the value that is in force.

The store assigns one revision to every change, so values from the store itself and from other
gateways merge by one rule: within an epoch of the store, the highest revision of a key wins. After
a restore from an older copy, a later epoch may hold less than is known here. Then the operator's
version decides for the configuration, and :mod:`.epoch_rules` for all other keys.

Owns the values in force, and the revisions up to which they are known. Relies on the decoders of
the platform's values; notifies listeners of every change in the order in which they subscribed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from tinrudder.gateway.store.backend_entries import BackendEntries, KnownBackend
from tinrudder.gateway.store.configuration_in_force import (
    AcceptedConfiguration,
    ConfigurationInForce,
)
from tinrudder.gateway.store.epoch_change import IGNORE_HISTORY, EpochChange, HistoryListener
from tinrudder.gateway.store.epoch_merge import EpochMerge
from tinrudder.gateway.store.epoch_rules import REWRITE_PERIOD_S
from tinrudder.gateway.store.evacuations import Evacuations
from tinrudder.gateway.store.store_revision import NO_REVISION, StoreRevision, TopicPosition
from tinrudder.gateway.store.stored_values import (
    STORE,
    ConfigurationKey,
    EvacuationKey,
    Reading,
    StoredValue,
    Topic,
    UnreadableValueError,
    ValueDecoders,
)
from tinrudder.gateway.store.topic_history import TopicHistory


class SharedState:
    """The operator's settings and the back ends, as known to this process.

    No key goes back to an older value while the process runs, with one exception: after a restore
    from a copy, the store's contents prevail once lost writes must have been repeated there.

    :ivar evacuations: zones whose back ends receive no requests.
    """

    def __init__(
        self,
        decoders: ValueDecoders,
        clock: Callable[[], float],
        on_unreadable: Callable[[str], None],
        history_listener: HistoryListener = IGNORE_HISTORY,
    ) -> None:
        """Start empty."""
        self._configuration = ConfigurationInForce(decoders.configuration)
        self.backends_read = False
        self._histories = {topic: TopicHistory(clock) for topic in Topic}
        self.evacuations = Evacuations(
            self._histories[Topic.OPERATOR], self._histories[Topic.BACKENDS], clock
        )
        self._entries = BackendEntries(
            self._histories[Topic.BACKENDS], decoders.backend, clock, on_unreadable
        )
        self._decoders = decoders
        self._clock = clock
        self._on_unreadable = on_unreadable
        self._history_listener = history_listener
        self._listeners: list[Callable[[], None]] = []

    @property
    def backends(self) -> Mapping[str, KnownBackend]:
        """Return the back ends that have ever been in force, by their keys."""
        return self._entries.known

    @property
    def accepted(self) -> AcceptedConfiguration | None:
        """Return the configuration in force; ``None`` until one is received."""
        return self._configuration.accepted

    @property
    def configuration_revision(self) -> StoreRevision:
        """Return the latest known revision of the configuration; the lowest one for none."""
        return self._configuration.revision

    @property
    def configuration_version(self) -> int:
        """Return the operator's version of the configuration in force; 0 for none."""
        return self._configuration.version

    @property
    def forgotten_up_to(self) -> StoreRevision:
        """Return the highest revision of the removals whose retention is over."""
        return self._entries.forgotten_up_to

    @property
    def complete(self) -> bool:
        """Tell whether enough is known to serve."""
        return self.accepted is not None and self.backends_read

    @property
    def epoch(self) -> int:
        """Return the latest epoch in which the store is followed here."""
        return max(history.epoch for history in self._histories.values())

    @property
    def may_lack_lost_writes(self) -> bool:
        """Tell whether an acknowledged write of the operator may be unknown to every gateway.

        A restored store has lost its latest acknowledged writes; those that had reached no gateway
        become known only once they are written again. The configuration is a single key: if its
        revision is beyond the end of the copy, it is the newest.
        """
        history = self._histories[Topic.OPERATOR]
        if self.configuration_revision > history.copy_up_to:
            return False
        return history.restored_s < REWRITE_PERIOD_S

    @property
    def retained_keys(self) -> list[str]:
        """Return the keys whose known value takes precedence over the store's latest epoch."""
        return [key for topic in Topic for key in self._retained_keys(topic)]

    @property
    def retained_s(self) -> float:
        """Return for how long the restored store has lacked values known here; 0: it lacks none."""
        if not self.retained_keys:
            return 0.0
        return max(history.confirmed_epoch_age_s for history in self._histories.values())

    def history(self, topic: Topic) -> TopicHistory:
        """Return the observed history of a topic."""
        return self._histories[topic]

    def revision(self, topic: Topic) -> StoreRevision:
        """Return the revision up to which every change of a topic is known."""
        return self._histories[topic].revision

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after every change."""
        self._listeners.append(listener)

    def apply(self, topic: Topic, values: Iterable[StoredValue], source: str = STORE) -> bool:
        """Merge changed values; tell whether the state changed.

        :param source: the store, or the address of the peer that sent them.
        """
        changed = False
        history = self._histories[topic]
        for value in values:
            if not value.key:
                self._on_unreadable(f"{topic.value}: an item without key or revision")
            elif topic is Topic.OPERATOR:
                changed |= self._apply_operator_value(value, source)
            else:
                changed |= self._entries.apply(value)
                history.observe(value.revision)
        if changed:
            self._notify()
        return changed

    def apply_complete(self, topic: Topic, reading: Reading, source: str = STORE) -> bool:
        """Merge a complete read: keys that it lacks are removed as of its revision.

        Its pages are not a snapshot: a value that changed during the read may be on a later page
        although an earlier change was missed on a previous page. Such values are left to the watch,
        so that this state is complete up to the highest revision that it holds. If the key of any
        value is unreadable, no key is taken as missing.

        The first read of a later epoch returns the contents of the copy. A key that it lacks is not
        removed at once, since it may be written again; it is removed if that does not happen in
        time.
        """
        history = self._histories[topic]
        known = history.revision
        entered = history.enter(reading.revision)
        if reading.revision.epoch < history.epoch:
            return self.apply(topic, reading.values, source)
        if entered:
            self._merge(topic).begin_epoch()
        settled = [value for value in reading.values if value.revision <= reading.revision]
        changed = self.apply(topic, settled, source)
        if reading.whole:
            history.is_read_whole = True
            changed |= self.apply(topic, self._missing(topic, reading), source)
            self.show(topic, reading.revision)
        if topic is Topic.BACKENDS:
            self.note_backends_read()
        if entered and known != NO_REVISION:
            self._report_epoch(topic, known, reading.revision)
        return changed

    def settle(self) -> None:
        """End expired precedence, and drop removals whose retention period is over."""
        self._entries.forget_old_removals()
        settled = [*self.evacuations.settle(), *self._entries.settle()]
        if settled:
            self._history_listener.on_settled(settled)
        if self._entries.accept_older_starts() or settled:
            self._notify()

    def confirm(self, topic: Topic, age_s: float = 0.0) -> None:
        """Record that ``age_s`` seconds ago the store held nothing newer than is known now."""
        self._histories[topic].confirm(age_s)

    def show(self, topic: Topic, revision: StoreRevision) -> None:
        """Record that every change of a topic up to a revision of any topic was received.

        Zones may open that waited for the entries of their back ends.
        """
        closed = self.evacuations.zones
        self._histories[topic].show(revision)
        if self.evacuations.zones != closed:
            self._notify()

    def unconfirmed_s(self, topic: Topic) -> float:
        """Return the time since the store's latest known confirmation that nothing is newer."""
        return self._histories[topic].unconfirmed_s

    def note_backends_read(self) -> None:
        """Record that the list of back ends has been complete once."""
        if not self.backends_read:
            self.backends_read = True
            self._notify()

    def values_for(self, topic: Topic, position: TopicPosition) -> tuple[StoredValue, ...]:
        """Return values of back ends or evacuations, with removals, that a peer may lack.

        :param position: the peer's position; a peer in another epoch gets everything.
        """
        history = self._histories[topic]
        merge = self._merge(topic)
        is_same_epoch = position.revision.epoch == history.epoch
        values = merge.changes_since(position.revision if is_same_epoch else NO_REVISION)
        if is_same_epoch and position.older >= history.older:
            return values
        return values + tuple(observed.value for observed in merge.retained())

    def _merge(self, topic: Topic) -> EpochMerge:
        """Return the merge of a topic's keys, without the configuration."""
        return self.evacuations.merge if topic is Topic.OPERATOR else self._entries.merge

    def _retained_keys(self, topic: Topic) -> list[str]:
        """Return a topic's keys whose known value takes precedence over the store's epoch."""
        keys = [observed.value.key for observed in self._merge(topic).retained()]
        accepted = self.accepted
        is_older = self.configuration_revision.epoch < self._histories[topic].epoch
        if topic is Topic.OPERATOR and accepted is not None and is_older:
            keys.append(accepted.value.key)
        return keys

    def _missing(self, topic: Topic, reading: Reading) -> list[StoredValue]:
        """Return removals for the keys observed in this epoch that a complete read of it lacks."""
        present = {value.key for value in reading.values}
        merge = self._merge(topic)
        keys = [observed.value.key for observed in merge if observed.value.key not in present]
        return [
            StoredValue(key, reading.revision, None)
            for key in keys
            if merge.is_in_current_epoch(key)
        ]

    def _report_epoch(self, topic: Topic, known: StoreRevision, shown: StoreRevision) -> None:
        """Report the change to a later epoch: peers must learn of it even if no value changed."""
        retained_keys = tuple(self._retained_keys(topic))
        self._history_listener.on_epoch(EpochChange(topic, known, shown, retained_keys))
        self._notify()

    def _apply_operator_value(self, value: StoredValue, source: str) -> bool:
        """Apply a newer configuration, evacuation or end of one; ignore other keys."""
        try:
            key = self._decoders.operator_key(value.key)
            match key:
                case ConfigurationKey():
                    changed = self._configuration.apply(value, source)
                case EvacuationKey(zone=zone):
                    changed = self.evacuations.apply(zone, value, source)
                case _:
                    return False
        except UnreadableValueError as error:
            # Not recorded as observed: a peer with newer software may be able to read the value,
            # and must not conclude from this gateway's position that nothing is newer.
            self._on_unreadable(str(error))
            return False
        self._histories[Topic.OPERATOR].observe(value.revision)
        return changed

    def _notify(self) -> None:
        """Call all listeners."""
        for listener in self._listeners:
            listener()
