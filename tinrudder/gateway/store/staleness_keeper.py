"""Limits the staleness of the operator's settings, if the deployment sets a bound on it.

Readers read the store and all other gateways query the readers: a query to a peer in the same zone
is free, while calls to the store and traffic between zones are charged for.

Owns its single read of the store in flight. Relies on the staleness bound for the age, on probes to
query peers, and on the choice of readers for the peers to query.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from tinrudder.common.address import Address
from tinrudder.common.supervisor import run_logged
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import ProbeAnswer
from tinrudder.gateway.peers.probes import Probes, SentProbe
from tinrudder.gateway.store.configuration_freshness import ConfigurationFreshness
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_readers import StoreReaders
from tinrudder.gateway.store.stored_values import MetadataStore, StoreUnavailableError, Topic

CHECK_INTERVAL_S = 0.2
"""Seconds between checks of the age: a fifth of the time until the first query with a 5 s bound."""
QUERY_IN_ZONE_SHARE = 0.2
"""Fraction of the bound after which a reader in the own zone is queried. Together with the readers'
fraction below, it keeps the age under half of the bound, so that one lost reader or three lost
datagrams cause no refusals."""
READ_SHARE = 0.3
"""Fraction of the bound after which the first reader reads the store: with a bound of 5 s, one call
every 1.5 s for all gateways. The other readers query the first one: a query between zones costs a
25th of a call."""
READ_STEP_SHARE = 0.025
"""Increment of that fraction for each further rank, if no query was answered: an eighth of a second
with that bound. Even the last of eight readers reads before half of the bound."""
FIRST_READERS = 2
"""Number of readers that are queried from other zones: the one that reads the store first, and its
substitute."""
QUERY_OTHER_ZONES_SHARE = 0.5
"""Fraction of the bound after which readers in other zones are queried: those in the own zone did
not answer."""
NON_READER_SHARE = 0.6
"""Fraction of the bound after which a gateway that is not a reader reads the store: no reachable
peer gave a newer proof."""


class StalenessKeeper:
    """Queries peers and reads the store as the state ages."""

    def __init__(
        self,
        freshness: ConfigurationFreshness,
        state: SharedState,
        store: MetadataStore,
        readers: StoreReaders,
        peers: PeerList,
        probes: Probes,
        random_source: random.Random,
    ) -> None:
        """Keep the age of ``freshness`` within its bound, if it has one."""
        self.reads = 0
        self._freshness = freshness
        self._staleness_bound = freshness.staleness_bound
        self._state = state
        self._store = store
        self._readers = readers
        self._peers = peers
        self._probes = probes
        self._bound_s = freshness.bound_s
        self._on_newer: list[Callable[[Address], None]] = []
        self._random = random_source
        self._loop = asyncio.get_running_loop()
        self._reading: asyncio.Task[None] | None = None
        self._read_again_at = 0.0
        probes.subscribe(self._on_answer)
        state.subscribe(self._on_state_change)

    def subscribe_to_newer(self, listener: Callable[[Address], None]) -> None:
        """Call ``listener`` with each peer that turns out to have newer state than this gateway."""
        self._on_newer.append(listener)

    async def run(self) -> None:
        """Check the age forever."""
        if self._bound_s is None:
            return
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * self._random.uniform(0.8, 1.2))
            self.check()

    def check(self) -> None:
        """Start the queries and the read that the current age requires."""
        if self._bound_s is None or not self._freshness.is_needed():
            return
        share = self._staleness_bound.age_s / self._bound_s
        if share < QUERY_IN_ZONE_SHARE:
            return
        rank = self._readers.rank()
        is_reader = rank is not None
        if share >= (NON_READER_SHARE if rank is None else READ_SHARE + rank * READ_STEP_SHARE):
            self._read(is_reader=is_reader)
        if is_reader or share >= QUERY_OTHER_ZONES_SHARE or not self._query_in_zone():
            self._query_first_readers()

    def _query_in_zone(self) -> bool:
        """Query one of the zone's readers; tell whether there is one."""
        in_zone = self._readers.addresses(self._peers.own_zone)
        if in_zone:
            self._probes.send_probes(self._random.choice(in_zone))
        return bool(in_zone)

    def _query_first_readers(self) -> None:
        """Query one of the first readers, or any peer if no reader is known."""
        first_readers = self._readers.addresses()[:FIRST_READERS]
        if first_readers:
            self._probes.send_probes(self._random.choice(first_readers))
            return
        peer = self._peers.random_peer(seeds_only=False)
        if peer is not None:
            self._probes.send_probes(peer)

    def _read(self, *, is_reader: bool) -> None:
        """Read the store, unless a read is in flight or has just failed."""
        now = self._loop.time()
        if self._reading is not None or now < self._read_again_at:
            return
        pause_s = self._readers.retry_pause_s(CHECK_INTERVAL_S)
        if not is_reader and self._read_again_at == 0.0:
            # Jitter: all gateways that lost their readers get here at the same time.
            self._read_again_at = now + self._random.uniform(0.0, pause_s)
            return
        self._read_again_at = now + pause_s
        self._reading = self._loop.create_task(run_logged("staleness read", self._read_once()))

    async def _read_once(self) -> None:
        """Read the settings because of their age."""
        try:
            answered = await self.read_settings()
        finally:
            self._reading = None
        if answered:
            self._read_again_at = 0.0

    async def read_settings(self) -> bool:
        """Read all of the operator's settings; keys that the answer lacks did not exist.

        :return: whether the store answered.
        """
        requested_at = self._loop.time()
        self.reads += 1
        try:
            reading = await self._store.read(Topic.OPERATOR)
        except StoreUnavailableError:
            # The follower of the same topic logs that the store is lost; the age shows the effect.
            return False
        self._state.apply_complete(Topic.OPERATOR, reading)
        if reading.revision.epoch < self._state.epoch:
            # Answered from before the store's restore: it may be as old as the restore.
            return True
        self._state.confirm(Topic.OPERATOR, self._loop.time() - requested_at)
        if reading.whole:
            self._staleness_bound.prove(requested_at)
        return True

    def _on_answer(self, sent: SentProbe, answer: ProbeAnswer) -> None:
        """Apply a peer's answer; report the peer if it has newer state than this gateway."""
        if answer.knowledge_age_s is not None:
            at = sent.sent_at - answer.knowledge_age_s
            self._staleness_bound.prove(at, answer.operator_revision)
        if not self._state.history(Topic.OPERATOR).covers(answer.operator_revision):
            for listener in self._on_newer:
                listener(sent.peer)

    def _on_state_change(self) -> None:
        """Check at once when the state becomes complete, as nothing is proven yet."""
        if self._state.complete and self._staleness_bound.proven_age_s is None:
            self.check()
