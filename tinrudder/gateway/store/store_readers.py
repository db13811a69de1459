"""Chooses the gateways that follow the metadata store on behalf of all.

Owns a short-lived cache of the choice and the time of the latest failed pull. Relies on the list of
peers and on the rule that ranks candidates.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from msgspec import Struct, field

from tinrudder.common.address import Address
from tinrudder.gateway.decisions.placement.coordinator_choice import Candidate, choose_readers
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import Member
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.stored_values import Topic

READERS = 4
"""Number of gateways that follow the store for all: one per zone in a deployment of four zones, so
that others remain if one reader or one zone is lost. Each change costs one call by each of them."""
SEEDS_ONLY_S = 1.0
"""Seconds after its start for which a process uses the seeds as readers instead of its own choice:
after five of its first digests it knows the other gateways."""
PEER_SILENCE_S = 1.5
"""Seconds without a message from any peer after which a gateway queries the store itself: three
digest intervals, so that two lost datagrams cause no calls."""
PULL_FAILURE_MEMORY_S = 5.0
"""Seconds for which a gateway queries the store itself after it failed to pull from a peer: several
pulls are tried in this time, and a successful one ends it."""
ROLE = "store reader"
"""Part of the hash input for the choice of readers, so that other roles go to other gateways."""
NO_PEER_START_WAIT_S = 0.1
"""Seconds that a starting gateway waits for a first message from any peer: three of its first
digests and a round trip. It does not wait for seeds that start later, since its clients wait
meanwhile. Gateways wait one to two times as long, so that they do not all call at once."""
START_WAIT_S = 1.2
"""The same if a message from a peer has arrived but no peer has sent the state yet: six calls of
0.2 s to a store."""
CHOICE_CACHE_S = 0.1
"""Seconds for which a choice of readers is cached: it is requested ten times a second, and
computing it takes a millisecond with hundreds of known gateways."""
FLEET_RETRIES_PER_S = 20.0
"""Retries per second by all non-reader gateways together while the store does not answer: one of
them finds within 0.1 s that it is back, and notifies all."""


class ReadReason(enum.Enum):
    """Why a gateway queries the store itself."""

    READER = "reader for all"
    PULL_FAILED = "a pull from a peer failed"
    STARTING = "peers did not teach a start in time"
    NO_PEER = "no peer was heard"
    NO_CONFIRMATION = "nobody told of the store's word lately"
    ZONE_WAITS = "a zone waits for the entries of its back ends"


class StoreReaders(Struct):
    """Decides whether this gateway follows the store itself or relies on digests.

    Calls to the store are charged for, so of many gateways a few in every zone follow it. A gateway
    that cannot rely on its peers for changes queries the store itself.

    :param own: this gateway's address.
    :param describe_own: returns this gateway's current description of itself.
    :param stale_after_s: maximum age of the store's latest confirmation; differs between gateways.
    :param startup_wait_factor: factor on :data:`NO_PEER_START_WAIT_S` and
        :data:`START_WAIT_S`; differs between gateways.
    :ivar seeds: the gateways that all others know from the start.
    """

    own: Address
    peers: PeerList
    state: SharedState
    clock: Callable[[], float]
    describe_own: Callable[[], Member]
    started_at: float
    stale_after_s: float
    startup_wait_factor: float = 1.0
    seeds: tuple[Address, ...] = ()
    _pull_failed_at: float = field(default=float("-inf"))
    _chosen_at: float | None = None
    _choice: list[Member] = field(default_factory=list)

    def note_pull(self, *, succeeded: bool) -> None:
        """Record the result of a pull: after a failure this gateway must not rely on peers."""
        self._pull_failed_at = float("-inf") if succeeded else self.clock()

    def reason_to_read(self, topic: Topic) -> ReadReason | None:
        """Return why this gateway queries the store now; ``None``: others do it."""
        now = self.clock()
        if self.is_reader():
            return ReadReason.READER
        if topic is Topic.BACKENDS and self.state.evacuations.awaited_revision is not None:
            return ReadReason.ZONE_WAITS
        if now - self._pull_failed_at < PULL_FAILURE_MEMORY_S:
            return ReadReason.PULL_FAILED
        if not self.state.complete:
            is_late = now - self.started_at > self._start_wait_s
            return ReadReason.STARTING if is_late else None
        if self.peers.silent_s(now) > PEER_SILENCE_S:
            return ReadReason.NO_PEER
        is_unconfirmed = self.state.unconfirmed_s(topic) > self.stale_after_s
        return ReadReason.NO_CONFIRMATION if is_unconfirmed else None

    def retry_pause_s(self, own_pause_s: float) -> float:
        """Return how long to pause after a call that the store did not answer.

        :param own_pause_s: pause of a gateway that is a reader.
        """
        if self.is_reader():
            return own_pause_s
        retrying_followers = self.peers.nodes(self.clock()) * len(Topic)
        return max(own_pause_s, retrying_followers / FLEET_RETRIES_PER_S)

    @property
    def _start_wait_s(self) -> float:
        """Return how long after the start this gateway waits for peers to send the state."""
        usual_s = START_WAIT_S if self.peers.has_peers else NO_PEER_START_WAIT_S
        return usual_s * self.startup_wait_factor

    def is_reader(self) -> bool:
        """Tell whether this gateway is one of those that follow the store for all.

        Just after a start, only the seeds are readers: all gateways know them, and the others
        become known within a second. Gateways that know too little to serve get the state from the
        seeds. A reader whose calls the store refuses continues to try, while others, which learn of
        that, replace it.
        """
        now = self.clock()
        if self._relies_on_seeds(now):
            return self.own in self.seeds
        if self.peers.nodes(now) <= READERS:
            return True
        return self.own in {one.address for one in self._chosen(now)}

    def count(self) -> int:
        """Return the number of gateways that follow the store, including this one."""
        return len(self.addresses()) + 1

    def rank(self) -> int | None:
        """Return this gateway's rank among the readers, from 0; ``None`` if it is not a reader."""
        if not self.is_reader():
            return None
        return sum(1 for address in self.addresses() if str(address) < str(self.own))

    def addresses(self, zone: str | None = None) -> list[Address]:
        """Return the other known readers, ordered by rank.

        :param zone: only readers of this zone; ``None``: all of them.
        """
        now = self.clock()
        if self._relies_on_seeds(now) and zone is None:
            return [seed for seed in self.seeds if seed != self.own]
        found = (
            one.address
            for one in self._chosen(now)
            if one.address != self.own and zone in (None, one.zone)
        )
        return sorted(found, key=str)

    def _relies_on_seeds(self, now: float) -> bool:
        """Tell whether too few other gateways are known to choose among them."""
        knows_peers = self.state.complete and now - self.started_at >= SEEDS_ONLY_S
        return bool(self.seeds) and not knows_peers

    def _chosen(self, now: float) -> list[Member]:
        """Return the readers of all gateways, as chosen from this gateway's list of peers."""
        if self._chosen_at is not None and now - self._chosen_at < CHOICE_CACHE_S:
            return self._choice
        others = [one for one in self.peers.candidates(now) if not one.without_store]
        members = {str(one.address): one for one in (self.describe_own(), *others)}
        candidates = [Candidate(name, one.zone, 1.0) for name, one in members.items()]
        chosen = choose_readers(ROLE, candidates, READERS)
        self._chosen_at = now
        self._choice = [members[one.name] for one in chosen]
        return self._choice
