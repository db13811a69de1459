"""Decides whether the known configuration is recent enough for a final refusal of a request.

Clients do not retry after a status such as 401 or 404, so a gateway may return it only if it would
have received any newer configuration that must be in force by now. Owns no state; relies on the
staleness bound, on peers and on the store's status.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.store.staleness_bound import StalenessBound
from tinrudder.gateway.store.store_status import StoreStatus

FRESH_SHARE = 0.5
"""Fraction of the bound up to which a final refusal may be returned: below the time within which a
change must be in force anyway, and above the usual age."""
MAX_PEER_SILENCE_S = 2.0
"""Seconds without a message from any peer after which a newer configuration may be unknown here:
four digest intervals, so that a few lost datagrams have no effect."""


class ConfigurationFreshness(Struct, frozen=True):
    """Decides how far a refusal may rely on the configuration in force.

    :param bound_s: maximum age of the configuration, seconds; ``None``: its age is not bounded.
    :param change_in_force_s: seconds within which a confirmed change must be in force.
    :param unconfirmed_s: returns the time since the store's latest known confirmation.
    :param is_needed: tells whether the bound applies, as the configuration in force has API keys.
    :param may_lack_lost_writes: tells whether the store may have lost acknowledged writes that have
        not been repeated yet.
    :param clock: returns the time of the event loop, seconds.
    """

    staleness_bound: StalenessBound
    bound_s: float | None
    change_in_force_s: float
    unconfirmed_s: Callable[[], float]
    is_needed: Callable[[], bool]
    peers: PeerList
    store_status: StoreStatus
    may_lack_lost_writes: Callable[[], bool]
    clock: Callable[[], float]

    def is_too_old(self) -> bool:
        """Tell whether this gateway may still accept a key that has been revoked."""
        return self.bound_s is not None and self.staleness_bound.age_s > self.bound_s

    def is_up_to_date(self) -> bool:
        """Tell whether every configuration that must be in force by now would be known here.

        A message from a peer or the store is not sufficient, since its content may be stale too. A
        client that is told "there is no such route" does not retry.
        """
        if self.bound_s is not None and self.is_needed():
            return self.staleness_bound.age_s <= self.bound_s * FRESH_SHARE
        if self.may_lack_lost_writes() or self.unconfirmed_s() > self.change_in_force_s:
            return False
        if self.peers.has_peers:
            return self.peers.silent_s(self.clock()) <= MAX_PEER_SILENCE_S
        return self.store_status.is_reachable
