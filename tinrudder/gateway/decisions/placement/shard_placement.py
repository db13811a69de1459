"""Which shards of a scatter are delegated to a gateway in the zone of their replicas?

Traffic between zones costs money. A gateway that calls shards without a replica in its own zone
fetches each shard's answer from another zone. If it delegates these shards to a gateway in the
replicas' zone, only one request and one merged answer cross.

Inputs: the zones of each shard's replicas, the observed sizes of shard answers and merged answers
(bytes), the route's latencies, the time left and the round trip to the other gateway (seconds).

Answer: groups of shards, each with the zones that serve it equally well; this gateway calls the
remaining shards itself.

Owns: nothing; it is a function of its inputs.

Shown by: metrics ``tinrudder_gateway_delegated`` and ``tinrudder_gateway_delegations_run_here``;
field ``handed_over`` of log line ``coordination_changed``.

When an input is missing or old: unknown sizes count as 0 bytes, so that delegation is worthwhile
only for many shards; an unknown round trip counts as 8 ms.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct

from tinrudder.common.latency_window import LatencyWindow

CALL_OVERHEAD_BYTES = 400.0
"""Estimated headers of one call and of its answer, bytes: header sizes are not recorded at run
time."""
DELEGATION_BYTES = 700.0
"""Estimated overhead of one delegation, bytes: the request, the acknowledgement, and the answer
without its content."""
DELEGATED_SHARD_BYTES = 48.0
"""Estimated overhead of each delegated shard, bytes: its name in the request and the signature of
its part in the answer."""
MIN_BYTES_REDUCTION = 2.0
"""Factor by which delegation must reduce the bytes between zones: it also costs one more hop and
the work of another gateway."""
MAX_EXTRA_LATE_SHARE = 0.25
"""Maximum increase in the share of late calls due to delegation, not counting hedges, which
compensate for most of it.  On a small fleet with little processor time, a path that takes 23 of
48 ms makes about half of the calls late; with 0.1 and 0.25, 173 and 175 of 200 urgent answers were
in time (three seeds of two deployments)."""


class ScatterSizes(Struct, frozen=True):
    """Observed body sizes of an index's answers, bytes; 0 where none was seen.

    :param part: size of one shard's answer.
    :param merged: size of the merged answer, or of a merged part of it.
    """

    part: float = 0.0
    merged: float = 0.0


class ShardGroup(Struct, frozen=True):
    """Shards that are delegated together, and the zones that serve them equally well."""

    shards: tuple[str, ...]
    zones: frozenset[str]


def is_delegation_worthwhile(shards: int, sizes: ScatterSizes) -> bool:
    """Return whether delegating a number of shards saves enough bytes between zones.

    >>> is_delegation_worthwhile(7, ScatterSizes(part=1000.0, merged=800.0))
    True
    >>> is_delegation_worthwhile(1, ScatterSizes(part=1000.0, merged=800.0))
    False
    """
    direct_bytes = shards * (CALL_OVERHEAD_BYTES + sizes.part)
    delegated_bytes = DELEGATION_BYTES + shards * DELEGATED_SHARD_BYTES + sizes.merged
    return direct_bytes >= MIN_BYTES_REDUCTION * delegated_bytes


def delegation_meets_deadline(latency: LatencyWindow, left_s: float, round_trip_s: float) -> bool:
    """Return whether delegated calls are in time about as often as calls sent from this gateway.

    Matters for urgent scatters, and where gateways are busy or have little processor time: the
    round trip to such a gateway takes time that its calls to the replicas need.

    :param latency: latencies of the route's calls from this gateway.
    :param left_s: time until the answer must be sent.
    :param round_trip_s: the part of that time taken by the round trip to the other gateway.

    >>> window = LatencyWindow()
    >>> for latency_ms in range(100):
    ...     window.observe(latency_ms / 1000)
    >>> delegation_meets_deadline(window, left_s=0.5, round_trip_s=0.1)
    True
    >>> delegation_meets_deadline(window, left_s=0.1, round_trip_s=0.04)
    False
    """
    late_delegated, late_direct = latency.fractions_above([left_s - round_trip_s, left_s])
    return late_delegated - late_direct <= MAX_EXTRA_LATE_SHARE


def group_shards_by_zones(
    own_zone: str,
    zones: Iterable[str],
    replica_zones: Mapping[str, Collection[str]],
    sizes: ScatterSizes,
) -> tuple[ShardGroup, ...]:
    """Return the groups of shards to delegate; this gateway calls the remaining shards itself.

    Starts with the zone that has replicas of the largest number of shards; all zones with replicas
    of exactly the same shards share its group.

    :param zones: zones with gateways that accept delegated shards.
    :param replica_zones: the zones of each shard's replicas.

    >>> replicas = {f"s{i}": ("a", "b") for i in range(5)} | {"s5": ("c",)}
    >>> [(len(group.shards), sorted(group.zones))
    ...     for group in group_shards_by_zones("c", "abc", replicas, ScatterSizes(1000.0, 800.0))]
    [(5, ['a', 'b'])]
    """
    remote_shards = [shard for shard, in_zones in replica_zones.items() if own_zone not in in_zones]
    other_zones = sorted(set(zones) - {own_zone})
    groups: list[ShardGroup] = []
    while remote_shards:
        shards_by_zone = {
            zone: [one for one in remote_shards if zone in replica_zones[one]]
            for zone in other_zones
        }
        largest = max(shards_by_zone.values(), key=len, default=[])
        if not largest or not is_delegation_worthwhile(len(largest), sizes):
            break
        equal_zones = frozenset(
            zone for zone, shards in shards_by_zone.items() if shards == largest
        )
        groups.append(ShardGroup(tuple(largest), equal_zones))
        remote_shards = [shard for shard in remote_shards if shard not in largest]
    return tuple(groups)
