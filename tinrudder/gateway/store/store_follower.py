"""Keeps the shared state up with the metadata store, whatever the store does.

One follower for each topic: read everything, then watch; forgotten history leads back to a full
read.  A watch that was silently cut is noticed when its wait ends.  Calls are priced, so of many
gateways only a few readers follow the store, and digests tell the others.  Digests also tell how
old the store's last word is: where no reader gets through, everybody tries.

Owns its place in the store's history; relies on the choice of readers to tell whether it has to
follow, and hands what it reads to the shared state.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_readers import READERS, StoreReaders
from tinrudder.gateway.store.store_status import StoreStatus
from tinrudder.gateway.store.stored_values import (
    HistoryForgottenError,
    MetadataStore,
    Reading,
    StoreUnavailableError,
    Topic,
)

RECHECK_S = 0.2
"""Seconds between two looks whether this gateway has to follow the store.  Chosen, not measured."""
SHORTEST_WAIT_S = 3.0
"""Least seconds that a watch waits at the store for a change, where few gateways follow it.
Chosen, not measured: each end of a watch is a call, and calls to the store are priced."""
LONGEST_WAIT_S = 12.0
"""Most seconds of the same: eight readers times the wait for each."""
WAIT_PER_NODE_S = 1.5
"""Seconds by which a watch waits longer for each reader, so that all readers together call the
store as often however many they are: once in 1.5 s.  Measured on a calm day of a large fleet: with
1.0 s and shorter rests after changes, calls to the store cost 1.7 times as much."""
WAIT_SPREAD = 0.3
"""Part of a wait by which it differs by chance, so that watches do not end together.  Chosen, not
measured."""
FIRST_RETRY_S = 0.1
"""Seconds until a call is repeated that the store did not answer; doubled at every failure.
Chosen, not measured."""
LONGEST_RETRY_S = 0.8
"""Most seconds of the same.  Chosen, not measured: a store that is back must be found within a
second."""
REST_PER_READER_S = {Topic.OPERATOR: 0.05, Topic.BACKENDS: 0.12}
"""Seconds that a follower rests after changes, for each reader.  Back ends change more often, and a
late change of theirs does less harm.  Chosen together with the wait for each reader."""
LONGEST_REST_S = {Topic.OPERATOR: 0.1, Topic.BACKENDS: 1.0}
"""Most seconds of the same.  Chosen, not measured: what the operator asks for must be in force
within seconds, and a back end that leaves must get no new work after a few."""
REST_SPREAD = 0.6
"""Part of a rest by which it differs by chance: wide, so that some readers are awake at any moment.
Chosen, not measured."""

CompleteReadListener = Callable[[Topic, float], None]


class StoreFollower:
    """Follows one topic until it is cancelled."""

    def __init__(
        self,
        topic: Topic,
        store: MetadataStore,
        state: SharedState,
        status: StoreStatus,
        nodes: Callable[[], int],
        readers: StoreReaders,
        random_source: random.Random,
        on_complete_read: CompleteReadListener,
    ) -> None:
        """Note in ``status`` whether the store answers.

        :param nodes: tells how many gateways teach each other.
        :param readers: tells whether this gateway follows the store at all.
        :param on_complete_read: is told when all was read that was there at a moment.
        """
        self._on_complete_read = on_complete_read
        self._nodes = nodes
        self._readers = readers
        self._random = random_source
        self._topic = topic
        self._store = store
        self._state = state
        self._status = status
        self._revision: int | None = None
        self._forgotten = False
        self._retry_s = FIRST_RETRY_S
        # Seconds until everything is read again after a watch was refused; 0: at once.
        self._reread_s = 0.0

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            if not self._readers.must_read(self._topic):
                self._revision = None
                self._status.note_not_asked(self._topic)
                await asyncio.sleep(RECHECK_S)
                continue
            try:
                await self._step()
            except StoreUnavailableError as error:
                self._status.note_unanswered(self._topic, str(error))
                await asyncio.sleep(self._readers.retry_pause_s(self._retry_s))
                self._retry_s = min(LONGEST_RETRY_S, self._retry_s * 2)
            else:
                self._status.note_answered(self._topic)
                self._retry_s = FIRST_RETRY_S

    async def _step(self) -> None:
        """Read everything, or what has changed."""
        self._revision = self._known_revision()
        if self._revision is None:
            asked_at = asyncio.get_running_loop().time()
            reading = await self._store.read(self._topic)
            # Before the values: whoever hears of these may ask how old they are.
            if reading.whole:
                self._on_complete_read(self._topic, asked_at)
            self._note_shown(reading)
            self._state.apply_complete(self._topic, reading)
            self._revision = reading.revision
            self._confirm()
            return
        try:
            reading = await self._store.watch(self._topic, self._revision, self._wait_s())
        except HistoryForgottenError:
            self._revision = None
            self._forgotten = True
            await self._rest_before_reread()
            return
        self._reread_s = 0.0
        self._note_shown(reading)
        self._revision = max(self._revision, reading.revision)
        self._state.apply(self._topic, reading.values)
        self._confirm()
        if reading.values:
            await asyncio.sleep(self._rest_s())

    def _known_revision(self) -> int | None:
        """Return the revision up to which everything is known; ``None``: read it all.

        Every gateway's knowledge is complete up to its highest revision, since the store tells
        changes in their order, and so is what two of them know together.
        """
        if self._forgotten or not self._state.complete:
            return self._revision
        return max(self._revision or 0, self._state.revision(self._topic))

    async def _rest_before_reread(self) -> None:
        """Rest before everything is read again, unless this is the first watch refused in a row.

        A store may refuse the watch that follows a whole read too, and both are answered within
        milliseconds: without rest, one gateway called it 500 times a second.
        """
        if self._reread_s:
            await asyncio.sleep(self._readers.retry_pause_s(self._reread_s))
        self._reread_s = min(LONGEST_RETRY_S, max(FIRST_RETRY_S, self._reread_s * 2))

    def _note_shown(self, reading: Reading) -> None:
        """Note how far the store's history goes, beside what is known here."""
        self._status.note_shown(self._topic, reading, self._state.revision(self._topic))

    def _confirm(self) -> None:
        """Note the store's word that nothing newer is there."""
        self._forgotten = False
        self._state.confirm(self._topic)

    def _wait_s(self) -> float:
        """Return how long the next watch waits; not the same on all gateways."""
        wait_s = min(LONGEST_WAIT_S, max(SHORTEST_WAIT_S, self._reader_count * WAIT_PER_NODE_S))
        return wait_s * self._random.uniform(1.0 - WAIT_SPREAD, 1.0 + WAIT_SPREAD)

    def _rest_s(self) -> float:
        """Return how long to rest after changes, which often come in numbers.

        A change wakes every reader.  The more there are, the longer each rests, at other moments
        than the rest: those that are awake bring what comes next to all, by digest.
        """
        rest_s = self._reader_count * REST_PER_READER_S[self._topic]
        rest_s = min(LONGEST_REST_S[self._topic], rest_s)
        return rest_s * self._random.uniform(1.0 - REST_SPREAD, 1.0 + REST_SPREAD)

    @property
    def _reader_count(self) -> int:
        """Return how many gateways follow the store."""
        return min(READERS, self._nodes())
