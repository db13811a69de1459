"""Membership settings and their costs.

Owned by the embedder; figures for 50 to 730 nodes are in docs/MEMBERSHIP.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Intervals and limits; the defaults fit 730 nodes in two regions. Times are in seconds.

    :param probe_interval_s: interval at which a node probes one other; a shorter interval detects
        failures sooner and increases steady traffic in inverse proportion.
    :param probe_timeout_s: time until a probe fails, indirect probes included.
    :param acknowledge_timeout_s: time until indirect probes start; above the round trip between
        regions.
    :param indirect_probes: relays asked after a direct probe went unanswered.
    :param suspicion_min_s: shortest time that a suspect has to refute.
    :param suspicion_factor: multiplies log10(nodes) probe timeouts; the product replaces
        ``suspicion_min_s`` if it is longer.
    :param suspicion_max_ratio: ratio of the longest suspicion time, without confirmations, to the
        shortest.
    :param confirmations: independent confirmations that reduce the suspicion time to the shortest.
    :param gossip_interval_s: interval of gossip rounds while updates are queued; otherwise none are
        sent.
    :param gossip_fanout: members that receive each gossip round.
    :param retransmit_margin: each node sends an update ln(nodes) + margin times; about nodes *
        exp(-transmissions * (1 - loss)) nodes then miss it until digests are compared.
    :param backlog: number of queued updates above which each is sent only ``backlog_transmissions``
        times: anti-entropy is cheaper for what is missed then.
    :param sync_interval_s: interval of digest comparisons with a random member.
    :param contact_interval_s: interval of attempts to contact listed or formerly known members that
        do not answer; these detect a healed partition.
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
        """Return how often a node sends one update.

        >>> MembershipSettings().retransmit_limit(730)
        14
        """
        return math.ceil(math.log(max(1, nodes))) + self.retransmit_margin

    def transmissions(self, nodes: int, waiting: int) -> int:
        """Return how often a node sends an update while ``waiting`` updates are queued."""
        limit = self.retransmit_limit(nodes)
        return min(limit, self.backlog_transmissions) if waiting > self.backlog else limit

    def suspicion_range_s(self, nodes: int) -> tuple[float, float]:
        """Return the shortest and the longest suspicion time, seconds."""
        scaled = self.suspicion_factor * math.log10(max(1, nodes)) * self.probe_timeout_s
        shortest = max(self.suspicion_min_s, scaled)
        return shortest, shortest * self.suspicion_max_ratio
