"""Settings of membership, with what each costs.

Owned by whoever embeds the library; figures at 50 to 730 nodes are in docs/MEMBERSHIP.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Intervals and limits; the defaults fit 730 nodes in two regions.

    :param probe_interval_s: every node probes one other this often; detection time falls with
        it, steady traffic grows inversely.
    :param probe_timeout_s: until a probe counts as failed, relays included.
    :param acknowledge_timeout_s: above the round trip between regions.
    :param indirect_probes: relays asked when a direct probe goes unanswered.
    :param suspicion_min_s: shortest time a suspect has to refute.
    :param suspicion_factor: multiplies log10(nodes) probe timeouts, where that is longer.
    :param suspicion_max_ratio: longest time over shortest, before others confirm.
    :param confirmations: independent confirmations that bring the time down to the shortest.
    :param gossip_interval_s: between rounds of gossip while there is news; silent otherwise.
    :param gossip_fanout: members a round goes to.
    :param retransmit_margin: each node sends a piece of news ln(nodes) + margin times; about
        nodes * exp(-transmissions * (1 - loss)) nodes then miss it until digests are compared.
    :param backlog: with more pieces of news waiting than this, each is sent only
        ``backlog_transmissions`` times: comparing digests is cheaper for what is missed then.
    :param sync_interval_s: between comparisons of digests with a random member.
    :param contact_interval_s: between attempts at members that are listed or were known, but
        do not answer; a healed cut is found this way.
    :param dead_retention_s: how long a dead member is remembered.
    """

    probe_interval_s: float = 0.5
    probe_timeout_s: float = 1.0
    acknowledge_timeout_s: float = 0.4
    indirect_probes: int = 3
    suspicion_min_s: float = 2.0
    suspicion_factor: float = 1.0
    suspicion_max_ratio: float = 4.0
    confirmations: int = 3
    gossip_interval_s: float = 0.2
    gossip_fanout: int = 3
    retransmit_margin: int = 7
    backlog: int = 50
    backlog_transmissions: int = 5
    sync_interval_s: float = 10.0
    contact_interval_s: float = 1.0
    dead_retention_s: float = 600.0

    def retransmit_limit(self, nodes: int) -> int:
        """Return how often one piece of news is sent by one node.

        >>> MembershipSettings().retransmit_limit(730)
        14
        """
        return math.ceil(math.log(max(1, nodes))) + self.retransmit_margin

    def transmissions(self, nodes: int, waiting: int) -> int:
        """Return how often a piece of news is sent while ``waiting`` pieces are."""
        limit = self.retransmit_limit(nodes)
        return min(limit, self.backlog_transmissions) if waiting > self.backlog else limit

    def suspicion_range_s(self, nodes: int) -> tuple[float, float]:
        """Return the shortest and the longest time to refute."""
        scaled = self.suspicion_factor * math.log10(max(1, nodes)) * self.probe_timeout_s
        shortest = max(self.suspicion_min_s, scaled)
        return shortest, shortest * self.suspicion_max_ratio
