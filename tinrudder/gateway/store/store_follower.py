"""Follows the metadata store and applies its changes to the shared state.

There is one follower for each topic. It reads everything, then watches for changes. It reads
everything again if the store has forgotten the history since its revision, or if any gateway has
observed a new epoch of the store. A waiting watch is suspected if the store has not confirmed to
any reader for longer than the first reader's wait (:mod:`.watch_timing`). Calls are charged for, so
of many gateways only a few readers follow the store, and digests inform the others. Digests also
carry the time since the store's latest confirmation: if no reader reaches the store, all gateways
try.

Owns the revision from which it watches. Relies on the choice of readers to decide whether this
gateway follows the store, and passes what it reads to the shared state.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from msgspec import Struct

from tinrudder.gateway.store.epoch_rules import REWRITE_PERIOD_S
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_readers import ReadReason, StoreReaders
from tinrudder.gateway.store.store_revision import NO_REVISION, StoreRevision
from tinrudder.gateway.store.store_status import StoreStatus
from tinrudder.gateway.store.stored_values import (
    EarlierEpochError,
    HistoryForgottenError,
    MetadataStore,
    Reading,
    StoreUnavailableError,
    Topic,
)
from tinrudder.gateway.store.watch_timing import (
    PROBE_WAIT_S,
    seconds_to_suspicion,
    watch_wait_s,
)

ROLE_CHECK_INTERVAL_S = 0.2
"""Interval in seconds between checks of whether this gateway has to follow the store."""
MIN_BACKOFF_S = 0.1
"""Seconds until a call that the store did not answer is retried; doubled with every failure."""
MAX_BACKOFF_S = 0.8
"""Maximum back-off in seconds: a restored connection to the store must be noticed within a
second."""
PAUSE_PER_READER_S = {Topic.OPERATOR: 0.05, Topic.BACKENDS: 0.12}
"""Seconds that a follower pauses after changes, for each reader. Back ends change more often, and a
delay of their changes does less harm."""
MAX_PAUSE_S = {Topic.OPERATOR: 0.1, Topic.BACKENDS: 1.0}
"""Maximum pause after changes, in seconds: changes by the operator must be in force within seconds,
and a leaving back end must get no new work after a few."""
PAUSE_JITTER = 0.6
"""Jitter as a fraction of the pause: wide, so that some readers are watching at any moment."""
RESTORED_WAIT_S = 1.0
"""Seconds that a watch waits just after the store was restored from a copy: the precedence of known
values ends only when the store confirms, so confirmations must be frequent."""
STALE_WATCH_S = 1.0
"""Seconds until a watch is cancelled if it does not report a change known from another source: a
slow store's answer takes a quarter of that."""
NOTIFY_AFTER_S = 0.3
"""A new confirmation is sent to the other readers if the previous one is older than this, seconds;
if several readers receive a change at once, only one notifies."""

CompleteReadListener = Callable[[Topic, float], None]
ReadingListener = Callable[[Topic, ReadReason | None], None]
SilenceListener = Callable[[Topic], None]


class WatchDoubtedError(Exception):
    """A watch was cancelled because its connection may be broken."""


class WatchTooLongError(Exception):
    """A watch was cancelled because the store's answer is needed earlier."""


class FollowerDependencies(Struct, frozen=True):
    """What the followers of all topics depend on.

    :param store: is read and watched; the results go to ``state``.
    :param status: records whether the store answers.
    :param readers: decides whether this gateway follows the store at all.
    :param on_complete_read: called with the topic and the time at which a complete read was
        requested.
    :param on_reading: called with the reason why this gateway begins to query the store, or with
        ``None`` when it stops.
    :param on_silent: called when a new query returned changes that a watch had not reported.
    """

    store: MetadataStore
    state: SharedState
    status: StoreStatus
    readers: StoreReaders
    random_source: random.Random
    on_complete_read: CompleteReadListener
    on_reading: ReadingListener = lambda topic, reason: None
    on_silent: SilenceListener = lambda topic: None


class StoreFollower:
    """Follows one topic until it is cancelled."""

    def __init__(self, topic: Topic, dependencies: FollowerDependencies) -> None:
        """Begin with a complete read."""
        self._topic = topic
        self._store = dependencies.store
        self._state = dependencies.state
        self._status = dependencies.status
        self._readers = dependencies.readers
        self._random = dependencies.random_source
        self._on_complete_read = dependencies.on_complete_read
        self._revision: StoreRevision | None = None
        self._must_reread = False
        self._watching: asyncio.Task[Reading] | None = None
        self._is_epoch_over = False
        self._is_stale = False
        self._is_too_long = False
        # The watch in progress is answered at once.
        self._is_asked_soon = False
        # The next watch only probes whether the store answers.
        self._is_probe = False
        # The last watch was cancelled, or had no answer.
        self._is_watch_lost = False
        self._on_confirmed: list[Callable[[], None]] = []
        self._on_silent = dependencies.on_silent
        self._on_reading = dependencies.on_reading
        self._reason: ReadReason | None = None
        self._backoff_s = MIN_BACKOFF_S
        # Seconds to pause before a complete read after a refused watch; 0: none.
        self._reread_backoff_s = 0.0
        self._state.subscribe(self._on_state_change)

    @property
    def topic(self) -> Topic:
        """Return the topic that is followed."""
        return self._topic

    def subscribe_to_confirmed(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` on the store's first confirmation after a time without any."""
        self._on_confirmed.append(listener)

    def restart_watch(self) -> None:
        """Cancel the waiting watch, if any, and query the store over a new connection.

        A query that only probes the store is not cancelled, as it ends soon.
        """
        if self._watching is not None and not self._is_probe:
            self._watching.cancel()

    async def run(self) -> None:
        """Follow forever."""
        while True:
            reason = self._readers.reason_to_read(self._topic)
            self._report_reason(reason)
            if reason is None:
                self._revision = None
                # A gateway that begins to query has a reason to distrust its connections, so it
                # probes first.
                self._is_probe = True
                self._status.note_not_followed(self._topic)
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            try:
                await self._step()
            except WatchTooLongError:
                continue
            except WatchDoubtedError:
                self._is_probe = self._is_watch_lost = True
            except StoreUnavailableError as error:
                self._is_probe = self._is_watch_lost = True
                self._status.note_unanswered(self._topic, str(error))
                await asyncio.sleep(self._readers.retry_pause_s(self._backoff_s))
                self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
            else:
                self._status.note_answered(self._topic)
                self._backoff_s = MIN_BACKOFF_S

    def _report_reason(self, reason: ReadReason | None) -> None:
        """Report when this gateway begins or stops to query the store, or its reason changes."""
        if reason is not self._reason:
            self._reason = reason
            self._on_reading(self._topic, reason)

    async def _step(self) -> None:
        """Read everything, or wait for changes."""
        self._revision = self._known_revision()
        if self._revision is None:
            await self._read()
            return
        try:
            reading = await self._watch(self._revision)
        except HistoryForgottenError:
            self._reset_position()
            await self._pause_before_reread()
            return
        if reading is None or reading.revision.epoch != self._revision.epoch:
            # The given number denotes another change in that epoch, so changes may be missing.
            self._reset_position()
            await self._pause_before_reread()
            return
        self._reread_backoff_s = 0.0
        if self._is_watch_lost and reading.values:
            # The cancelled watch had not reported these changes: its connection was broken.
            self._on_silent(self._topic)
        self._is_probe = self._is_watch_lost = False
        self._revision = max(self._revision, reading.revision)
        self._state.apply(self._topic, reading.values)
        self._state.show(self._topic, reading.revision)
        if reading.revision >= max(self._state.revision(topic) for topic in Topic):
            # Otherwise the store is known to be ahead of this answer, which then proves nothing.
            self._confirm()
        if self._is_awaited:
            # The answer was from before the change that a zone waits for.
            await asyncio.sleep(MIN_BACKOFF_S)
        elif reading.values:
            await asyncio.sleep(self._pause_s())

    async def _read(self) -> None:
        """Read everything.

        :raises EarlierEpochError: the answer is from before the store's latest restore.
        """
        requested_at = asyncio.get_running_loop().time()
        reading = await self._store.read(self._topic)
        if reading.revision.epoch < self._state.epoch:
            self._state.apply_complete(self._topic, reading)
            detail = f"answer from epoch {reading.revision.epoch}, expected {self._state.epoch}"
            raise EarlierEpochError(detail)
        # Before the values are applied: their listeners may query the staleness. A copy may lack
        # acknowledged writes, so the first read of a later epoch proves nothing.
        is_copy = self._state.history(self._topic).is_later_epoch(reading.revision)
        if reading.whole and not is_copy:
            self._on_complete_read(self._topic, requested_at)
        self._state.apply_complete(self._topic, reading)
        self._revision = reading.revision
        self._confirm()

    async def _watch(self, after: StoreRevision) -> Reading | None:
        """Watch for changes; ``None`` if a later epoch was observed elsewhere meanwhile.

        The store may answer such a watch only at the end of its wait if no change follows the given
        number, which denotes another change in the new epoch.

        :raises WatchDoubtedError: its connection may be broken.
        :raises WatchTooLongError: a zone has to wait for its answer.
        """
        loop = asyncio.get_running_loop()
        watch = loop.create_task(self._store.watch(self._topic, after, self._wait_s()))
        self._watching = watch
        self._is_epoch_over = self._is_stale = self._is_too_long = False
        try:
            await self._wait_for(watch)
            if self._is_epoch_over:
                return None
            if self._is_too_long and watch.cancelled():
                raise WatchTooLongError
            if watch.cancelled() or not watch.done():
                raise WatchDoubtedError
            return watch.result()
        finally:
            self._watching = None
            watch.cancel()

    async def _wait_for(self, watch: asyncio.Task[Reading]) -> None:
        """Wait until a watch has ended or is suspected."""
        while not watch.done():
            suspected_in_s = self._seconds_to_suspicion()
            if suspected_in_s == 0.0:
                return
            await asyncio.wait({watch}, timeout=suspected_in_s)

    def _seconds_to_suspicion(self) -> float | None:
        """Return in how many seconds the watch is suspected; ``None``: only its timeout applies."""
        if self._is_probe:
            return None
        unconfirmed_s = self._state.unconfirmed_s(self._topic)
        return seconds_to_suspicion(self._topic, unconfirmed_s, self._rank)

    def _on_state_change(self) -> None:
        """Cancel a watch of a past epoch, or one that has not reported a known change in time."""
        watch = self._watching
        if watch is None or self._revision is None:
            return
        if self._revision.epoch < self._state.epoch:
            self._is_epoch_over = True
            watch.cancel()
        elif self._is_awaited and not self._is_asked_soon:
            self._is_too_long = True
            watch.cancel()
        elif self._state.revision(self._topic) > self._revision and not self._is_stale:
            # The store answers all watches at once: one that continues to wait is cut off.
            self._is_stale = True
            asyncio.get_running_loop().call_later(STALE_WATCH_S, watch.cancel)

    def _reset_position(self) -> None:
        """Make the next step a complete read."""
        self._revision = None
        self._must_reread = True

    def _known_revision(self) -> StoreRevision | None:
        """Return the revision up to which everything is known; ``None``: a read is needed.

        Every gateway's state is complete up to its highest revision, since the store reports
        changes in order; hence the merged state of two gateways is complete up to the higher one.
        """
        revision = self._revision
        if not self._must_reread and self._state.complete:
            revision = max(revision or NO_REVISION, self._state.revision(self._topic))
        is_over = revision is not None and revision.epoch < self._state.epoch
        return None if is_over else revision

    async def _pause_before_reread(self) -> None:
        """Pause before a complete read, unless this is the first useless watch in a row.

        A store may refuse the watch after a complete read too, or answer it from another epoch,
        each within milliseconds: without a pause, one gateway called it 500 times a second.
        """
        if self._reread_backoff_s:
            await asyncio.sleep(self._readers.retry_pause_s(self._reread_backoff_s))
        self._reread_backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, self._reread_backoff_s * 2))

    def _confirm(self) -> None:
        """Record that the store has nothing newer; notify other readers if that was overdue."""
        self._must_reread = False
        unconfirmed_s = self._state.unconfirmed_s(self._topic)
        self._state.confirm(self._topic)
        if unconfirmed_s > NOTIFY_AFTER_S:
            for listener in self._on_confirmed:
                listener()

    def _wait_s(self) -> float:
        """Return how long the next watch waits."""
        self._is_asked_soon = self._is_probe or self._is_awaited
        if self._is_asked_soon:
            return PROBE_WAIT_S
        history = self._state.history(self._topic)
        if history.is_restored and history.confirmed_epoch_age_s < REWRITE_PERIOD_S:
            return RESTORED_WAIT_S
        return watch_wait_s(self._topic, self._rank)

    @property
    def _is_awaited(self) -> bool:
        """Return whether a zone opens only when the store has shown all changes of this topic."""
        return (
            self._topic is Topic.BACKENDS and self._state.evacuations.awaited_revision is not None
        )

    @property
    def _rank(self) -> int:
        """Return this gateway's rank among the readers; the last one if it is not a reader."""
        rank = self._readers.rank()
        return self._readers.count() - 1 if rank is None else rank

    def _pause_s(self) -> float:
        """Return how long to pause after changes, which often come in groups.

        Every change wakes every reader. The more readers there are, the longer each one pauses,
        with jitter: those that are watching send the next changes to all others by digest.
        """
        pause_s = self._readers.count() * PAUSE_PER_READER_S[self._topic]
        pause_s = min(MAX_PAUSE_S[self._topic], pause_s)
        return pause_s * self._random.uniform(1.0 - PAUSE_JITTER, 1.0 + PAUSE_JITTER)
