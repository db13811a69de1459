"""Which other gateways there are, as far as this one has heard."""

from __future__ import annotations

import random
from collections.abc import Iterable

from tinrudder.gateway.model import Address

ALL_PEERS_UP_TO = 16
RANDOM_PEERS = 6
COUNTED_FOR_S = 30.0
FORGOTTEN_AFTER_S = 90.0
TOLD_PEERS = 8
SETTLE_S = 3.0
ASSUMED_AT_START = 10


class PeerList:
    """Addresses of peers with the time each was last heard of.

    Seeds are kept although they may be stale: after a cut they are the way back.
    """

    def __init__(self, own: Address, random_source: random.Random, started_at: float) -> None:
        """Start with nobody but ``own``; ``started_at`` is when this process began."""
        self._own = own
        self._settled_at = started_at + SETTLE_S
        self._random = random_source
        self._seeds: set[Address] = set()
        self._heard: dict[Address, float] = {}
        self._contacts: dict[Address, float] = {}

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the seeds."""
        self._seeds = {seed for seed in seeds if seed != self._own}

    def heard_from(self, address: Address, now: float) -> None:
        """Note a message of a peer's own."""
        if address != self._own:
            self._heard[address] = now
            self._contacts[address] = now

    def heard_of(self, addresses: Iterable[Address], now: float) -> None:
        """Note peers that another peer names; they count only once they are heard from."""
        for address in addresses:
            if address != self._own:
                self._contacts.setdefault(address, now)

    def nodes(self, now: float) -> int:
        """Return how many gateways there seem to be, this one included.

        A peer counts for long after it falls silent: too low a number would make every gateway
        take too large a part of what they share.  For the same reason a process that has just
        started, perhaps together with all others, assumes some that it has not heard yet.
        """
        horizon = now - COUNTED_FOR_S
        heard = 1 + sum(1 for heard_at in self._heard.values() if heard_at >= horizon)
        return heard if now >= self._settled_at else max(heard, ASSUMED_AT_START)

    @property
    def has_peers(self) -> bool:
        """Tell whether any peer was heard from lately."""
        return bool(self._heard)

    def silent_s(self, now: float) -> float:
        """Return how long no peer was heard from."""
        return now - max(self._heard.values(), default=float("-inf"))

    def receivers(self, now: float) -> list[Address]:
        """Return the peers that the next digest goes to."""
        self._forget(now)
        everybody = sorted(self._seeds | self._contacts.keys(), key=str)
        if len(everybody) <= ALL_PEERS_UP_TO:
            return everybody
        return self._random.sample(everybody, RANDOM_PEERS)

    def to_tell(self) -> tuple[Address, ...]:
        """Return some peers to name in a digest, the most recently heard first."""
        latest = sorted(self._heard, key=self._heard.__getitem__, reverse=True)
        return tuple(latest[:TOLD_PEERS])

    def _forget(self, now: float) -> None:
        """Drop peers that were silent for long."""
        horizon = now - FORGOTTEN_AFTER_S
        for known in (self._heard, self._contacts):
            for address in [address for address, at in known.items() if at < horizon]:
                del known[address]
