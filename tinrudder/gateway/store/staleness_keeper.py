"""Keeps the knowledge of what the operator asks for young, where the deployment bounds its age.

Readers read the store, everybody else asks them: a question to a peer in the own zone costs
nothing, a call to the store and bytes between zones are paid for.

Owns its one reading of the store; relies on the bound for the age, on probes to ask peers, and on
the choice of readers for whom to ask.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from tinrudder.common.address import Address
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import ProbeAnswer
from tinrudder.gateway.peers.probes import Probes, SentProbe
from tinrudder.gateway.store.configuration_freshness import ConfigurationFreshness
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_readers import StoreReaders
from tinrudder.gateway.store.stored_values import MetadataStore, StoreUnavailableError, Topic

LOOK_S = 0.2
"""How often the age is looked at: a tenth of the shortest share of the bound below."""
ASK_SHARE = 0.2
"""Part of the bound after which a peer in the zone is asked.  With the readers' share an age stays
below half of the bound, so that one lost reader or three lost datagrams refuse nothing."""
READ_SHARE = 0.3
"""The same for the first reader and the store: with a bound of 5 s, one call in 1.5 s for all.  The
other readers ask it: a question across zones costs a 25th of a call."""
READ_STEP_SHARE = 0.025
"""How much later each further reader reads, if nobody answers it: an eighth of a second; the last
of eight before half of the bound."""
FIRST_READERS = 2
"""Readers that others ask beyond their zone: the one that reads first, and one in its place."""
ASK_ELSEWHERE_SHARE = 0.5
"""The same for readers of other zones, when the zone's own do not help."""
READ_ALONE_SHARE = 0.6
"""The same for whoever is no reader: nobody that it can reach knows better."""


class StalenessKeeper:
    """Asks and reads as the knowledge grows old."""

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
        """Keep the age of ``freshness`` within its bound, where it has one."""
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
        """Call ``listener`` with each peer that turns out to know more than this gateway."""
        self._on_newer.append(listener)

    async def run(self) -> None:
        """Look for ever."""
        if self._bound_s is None:
            return
        while True:
            await asyncio.sleep(LOOK_S * self._random.uniform(0.8, 1.2))
            self.look()

    def look(self) -> None:
        """Do what the age asks for now."""
        if self._bound_s is None or not self._freshness.is_needed():
            return
        share = self._staleness_bound.age_s / self._bound_s
        if share < ASK_SHARE:
            return
        place = self._readers.place()
        is_reader = place is not None
        if share >= (READ_ALONE_SHARE if place is None else READ_SHARE + place * READ_STEP_SHARE):
            self._read(is_reader=is_reader)
        if is_reader or share >= ASK_ELSEWHERE_SHARE or not self._ask_beside():
            self._ask_elsewhere()

    def _ask_beside(self) -> bool:
        """Ask one of the zone's readers; tell whether there is one."""
        beside = self._readers.addresses(self._peers.own_zone)
        if beside:
            self._probes.ask(self._random.choice(beside))
        return bool(beside)

    def _ask_elsewhere(self) -> None:
        """Ask one of those that read first, or any peer where no reader is known."""
        anywhere = self._readers.addresses()[:FIRST_READERS]
        if anywhere:
            self._probes.ask(self._random.choice(anywhere))
            return
        peer = self._peers.teacher(seeds_only=False)
        if peer is not None:
            self._probes.ask(peer)

    def _read(self, *, is_reader: bool) -> None:
        """Read the store, unless that is under way or failed a moment ago."""
        now = self._loop.time()
        if self._reading is not None or now < self._read_again_at:
            return
        pause_s = self._readers.retry_pause_s(LOOK_S)
        if not is_reader and self._read_again_at == 0.0:
            # All of those that lost their readers come here at the same moment.
            self._read_again_at = now + self._random.uniform(0.0, pause_s)
            return
        self._read_again_at = now + pause_s
        self._reading = self._loop.create_task(self._read_once())

    async def _read_once(self) -> None:
        """Read everything that the operator asks for: what the answer lacks was not there."""
        asked_at = self._loop.time()
        self.reads += 1
        try:
            reading = await self._store.read(Topic.OPERATOR)
        except StoreUnavailableError:
            # The follower of the same topic logs that the store is lost; the age shows the rest.
            return
        finally:
            self._reading = None
        self._read_again_at = 0.0
        self._state.apply_complete(Topic.OPERATOR, reading)
        if reading.revision.epoch < self._state.epoch:
            # An answer from before the store came back from a copy: it may be as old as that.
            return
        self._state.confirm(Topic.OPERATOR, self._loop.time() - asked_at)
        if reading.whole:
            self._staleness_bound.prove(asked_at)

    def _on_answer(self, sent: SentProbe, answer: ProbeAnswer) -> None:
        """Take a peer's word; fetch what it knows beyond this gateway."""
        if answer.knowledge_age_s is not None:
            at = sent.sent_at - answer.knowledge_age_s
            self._staleness_bound.prove(at, answer.operator_revision)
        if not self._state.history(Topic.OPERATOR).covers(answer.operator_revision):
            for listener in self._on_newer:
                listener(sent.peer)

    def _on_state_change(self) -> None:
        """Ask at once when this gateway begins to need it."""
        if self._state.complete and self._staleness_bound.told_age_s is None:
            self.look()
