"""Which shards of a scatter are asked by a gateway in another zone, beside their replicas?

What crosses from one zone to another is paid for. A gateway that asks shards without a replica in
its zone fetches every part from elsewhere. Handed to a gateway beside the replicas, one request
and one merged answer cross instead.

Inputs: the zones of each shard's replicas, the sizes of parts and merged answers as observed
(bytes), the route's latencies, and the time left and the time of the path to the other gateway
(seconds).

Answer: groups of shards, each with the zones that serve it equally well; the rest is asked from
here.

Owns: nothing; it is a function of its inputs.

Shown by: metrics ``tinrudder_gateway_delegated`` and ``tinrudder_gateway_delegations_run_here``;
field ``handed_over`` of log line ``coordination_changed``.

When an input is missing or old: sizes that were never seen count as 0 bytes, so that many shards
must be handed over to pay; a path that was never seen counts as 8 ms.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct

from tinrudder.common.latency_window import LatencyWindow

CALL_OVERHEAD_BYTES = 400.0
"""Heads of one call and of its answer, bytes. Chosen, not measured: heads are not counted while
running."""
HANDOVER_BYTES = 700.0
"""A request handed over, the words that it was taken, and the answer without what it holds, bytes.
Chosen, not measured."""
STAMP_BYTES = 48.0
"""A shard's name in the request and its part's signature in the answer, bytes. Chosen, not
measured."""
LEAST_GAIN = 2.0
"""How many times fewer bytes must cross where shards are handed over. Chosen, not measured: that
also costs a hop and another gateway."""
MOST_LATE_BY_PATH = 0.25
"""Part of the calls that may be late for having been handed over, before second calls, which bring
most of it back.  A choice between the two ends seen on a small fleet with little processor time: a
path that takes 23 of 48 ms makes about half of the calls late; 0.1 and 0.25 had 173 and 175 of 200
urgent answers in time (trials, three seeds of two deployments)."""


class ScatterSizes(Struct, frozen=True):
    """How large the bodies of an index's answers have been, bytes; 0 where none was seen.

    :param part: of one shard's answer.
    :param merged: of the merged answer, or of a merged part of it.
    """

    part: float = 0.0
    merged: float = 0.0


class ShardGroup(Struct, frozen=True):
    """Shards that are handed over together, and the zones that serve them equally well."""

    shards: tuple[str, ...]
    zones: frozenset[str]


def pays_to_hand_over(shards: int, sizes: ScatterSizes) -> bool:
    """Tell whether handing shards over lets so much less cross that it is worth a hop.

    >>> pays_to_hand_over(7, ScatterSizes(part=1000.0, merged=800.0))
    True
    >>> pays_to_hand_over(1, ScatterSizes(part=1000.0, merged=800.0))
    False
    """
    fetched = shards * (CALL_OVERHEAD_BYTES + sizes.part)
    handed_over = HANDOVER_BYTES + shards * STAMP_BYTES + sizes.merged
    return fetched >= LEAST_GAIN * handed_over


def leaves_time(latency: LatencyWindow, left_s: float, path_s: float) -> bool:
    """Tell whether calls are about as often in time behind another gateway as sent from here.

    Load: urgent scatters, and gateways that are busy or have little processor time.  The path to
    one of them and back takes what calls beside the replicas would need.

    :param latency: how long calls of the route take, from here.
    :param left_s: the time until the answer leaves.
    :param path_s: what is left of it for the way to the other gateway and back.

    >>> window = LatencyWindow()
    >>> for latency_ms in range(100):
    ...     window.observe(latency_ms / 1000)
    >>> leaves_time(window, left_s=0.5, path_s=0.1), leaves_time(window, left_s=0.1, path_s=0.04)
    (True, False)
    """
    late_there, late_here = latency.shares_above([left_s - path_s, left_s])
    return late_there - late_here <= MOST_LATE_BY_PATH


def group_by_place(
    own_zone: str,
    zones: Iterable[str],
    replica_zones: Mapping[str, Collection[str]],
    sizes: ScatterSizes,
) -> tuple[ShardGroup, ...]:
    """Return the groups of shards to hand over; the rest is asked from here.

    The zone with replicas of the most such shards comes first, together with all others that have
    replicas of just the same ones.

    :param zones: the zones in which gateways would take shards.
    :param replica_zones: for each shard the zones of its replicas.

    >>> replicas = {f"s{i}": ("a", "b") for i in range(5)} | {"s5": ("c",)}
    >>> [(len(group.shards), sorted(group.zones))
    ...     for group in group_by_place("c", "abc", replicas, ScatterSizes(1000.0, 800.0))]
    [(5, ['a', 'b'])]
    """
    lacking = [shard for shard, places in replica_zones.items() if own_zone not in places]
    others = sorted(set(zones) - {own_zone})
    groups: list[ShardGroup] = []
    while lacking:
        served = {zone: [one for one in lacking if zone in replica_zones[one]] for zone in others}
        most = max(served.values(), key=len, default=[])
        if not most or not pays_to_hand_over(len(most), sizes):
            break
        equals = frozenset(zone for zone, shards in served.items() if shards == most)
        groups.append(ShardGroup(tuple(most), equals))
        lacking = [shard for shard in lacking if shard not in most]
    return tuple(groups)
