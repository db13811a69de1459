"""Which gateways follow the metadata store for all."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tinrudder.gateway.model import Address
from tinrudder.gateway.peer_list import PeerList
from tinrudder.gateway.peer_messages import Member
from tinrudder.gateway.shared_state import SharedState
from tinrudder.gateway.stored_values import Topic
from tinrudder.routing.coordinator_choice import Candidate, choose_coordinators

READERS = 8
ACQUAINTANCE_S = 1.0
SILENCE_S = 1.5
PULL_FAILURE_MEMORY_S = 5.0
ROLE = "store reader"


@dataclass(slots=True)
class StoreReaders:
    """Decides whether this gateway follows the store itself or relies on others' digests.

    Calls to the store are priced, so of many gateways a few in every zone follow it.  Whoever has
    a reason to doubt that news reaches it through peers asks the store too.

    :param own: this gateway's address.
    :param describe_own: returns this gateway as it would describe itself now.
    :param stale_after_s: how old the store's last word may be; differs between gateways.
    :ivar seeds: the gateways that all others know from the start.
    """

    own: Address
    peers: PeerList
    state: SharedState
    clock: Callable[[], float]
    describe_own: Callable[[], Member]
    started_at: float
    stale_after_s: float
    seeds: tuple[Address, ...] = ()
    _pull_failed_at: float = field(default=float("-inf"))

    def note_pull(self, *, succeeded: bool) -> None:
        """Take the end of a pull: whoever cannot pull must not rely on peers."""
        self._pull_failed_at = float("-inf") if succeeded else self.clock()

    def must_read(self, topic: Topic) -> bool:
        """Tell whether this gateway asks the store now."""
        now = self.clock()
        if not self.state.complete or self.is_reader():
            return True
        doubts_peers = (
            self.peers.silent_s(now) > SILENCE_S
            or now - self._pull_failed_at < PULL_FAILURE_MEMORY_S
        )
        return doubts_peers or self.state.unconfirmed_s(topic) > self.stale_after_s

    def is_reader(self) -> bool:
        """Tell whether this gateway is one of those that follow the store for all.

        Just after a start the seeds alone do: everybody knows them, and who else there is shows
        within a second.  A reader that the store refuses keeps trying, while others, who hear of
        that, take its place.
        """
        now = self.clock()
        if self.seeds and now - self.started_at < ACQUAINTANCE_S:
            return self.own in self.seeds
        if self.peers.nodes(now) <= READERS:
            return True
        others = [one for one in self.peers.candidates(now) if not one.without_store]
        members = [self.describe_own(), *others]
        candidates = [Candidate(str(one.address), one.zone, 1.0) for one in members]
        chosen = choose_coordinators(ROLE, candidates, READERS)
        return any(one.name == str(self.own) for one in chosen)
