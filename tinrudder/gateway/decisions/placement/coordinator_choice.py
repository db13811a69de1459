"""Which gateways coordinate the scatters of an index, and which read the store for all gateways?

A back end accepts a limited number of connections. In a small fleet each gateway calls the back
ends itself. In a larger fleet only a few coordinators in every zone call them, and the other
gateways forward their scatters to one of them: connections stay warm, and each coordinator gets
enough answers from every back end to estimate its latency. While gateways disagree about the
coordinators, more connections are opened, but no answer is lost: any gateway that is asked serves
the scatter.

Inputs: the gateways that sent a message within the last 15 s with zone and capacity (processor
cores), the number of replicas of a shard, and the connections that a back end accepts.

Answer: the number of coordinators, the coordinators, and the order in which a gateway asks them.

Owns: nothing; it is a function of its inputs.

Shown by: log line ``coordination_changed``; metrics ``tinrudder_gateway_relayed``,
``tinrudder_gateway_coordinated`` and ``tinrudder_gateway_nodes``.

When an input is missing or old: a gateway that receives no messages from others calls the back ends
itself, and so does one whose coordinators do not accept a scatter.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable

from msgspec import Struct

from tinrudder.common.rendezvous import weighted_score

DIVIDED_CONNECTION_SHARE = 0.9
"""Part of a back end's connections that is divided among gateways.  The rest is headroom for
gateways that do not know of each other yet, and for connections that are closing."""
MIN_CONNECTIONS_PER_SHARD = 4.0
"""Connections to one shard's back ends that every gateway must get for all gateways to call them:
two to each of two replicas, one for a call and one for a hedge.  8 gateways get 5.9 of 2 x 26
connections each, 64 gateways 2.3 of 3 x 54."""
TARGET_CONNECTIONS_PER_SHARD = 24.0
"""Connections to one shard's back ends for each coordinator: 64 gateways with 3 x 54 connections a
shard get six coordinators, two in each of three zones."""
MIN_COORDINATORS_PER_ZONE = 2
"""Minimum number of coordinators in each zone: if one fails, another still serves."""
CAPACITY_EXPONENT = 6.0
"""Exponent that turns a gateway's capacity into its rendezvous weight.  A machine with half a core
takes about 30 ms for the burst of a scatter over 90 shards, one with two cores 7 ms; so strong
machines are nearly always ranked first, while indexes still spread over equal ones."""
STRONG_CAPACITY_SHARE = 0.5
"""Part of the strongest candidate's capacity from which a gateway counts as strong.  A scatter over
135 shards is a burst of 15 ms of work: answers of gateways with a quarter of the strongest capacity
lacked 4 to 7.5 shards on average, those of strong ones in the same seconds 0.4 to 2.6."""


class Candidate(Struct, frozen=True):
    """A gateway that can be chosen as a coordinator.

    :param name: its address.
    :param capacity: its processor cores.
    """

    name: str
    zone: str
    capacity: float


class IndexDemand(Struct, frozen=True):
    """Replication and connection limit of an index's back ends.

    :param replicas: number of back ends of one shard.
    :param max_connections: connections that one back end accepts from all gateways together.
    """

    replicas: int
    max_connections: int

    @property
    def connections(self) -> float:
        """Return how many connections to one shard's back ends all gateways may divide."""
        return DIVIDED_CONNECTION_SHARE * self.max_connections * self.replicas


def coordinators_needed(demand: IndexDemand, nodes: int) -> int | None:
    """Return how many gateways should call an index's back ends; ``None``: all of them.

    >>> coordinators_needed(IndexDemand(replicas=2, max_connections=26), nodes=8)
    >>> coordinators_needed(IndexDemand(replicas=3, max_connections=54), nodes=64)
    6
    """
    if demand.connections / nodes >= MIN_CONNECTIONS_PER_SHARD:
        return None
    return max(1, int(demand.connections / TARGET_CONNECTIONS_PER_SHARD))


def choose_coordinators(
    index: str, candidates: Iterable[Candidate], count: int
) -> tuple[Candidate, ...]:
    """Choose coordinators by weighted rendezvous hashing, equally many in every zone.

    Machines with more capacity are strongly preferred: a scatter is a burst of work, which takes
    long on a slow processor.

    :param index: hash key; different indexes are spread over the gateways.
    :param count: total number, rounded up to a multiple of the zones; at least two in each zone.

    >>> pair = [Candidate("a", "z1", 2.0), Candidate("b", "z2", 2.0)]
    >>> len(choose_coordinators("index", pair, count=1))
    2
    """
    by_zone = _by_zone(candidates)
    per_zone = max(MIN_COORDINATORS_PER_ZONE, math.ceil(count / max(1, len(by_zone))))
    return _best_in_each_zone(index, by_zone, per_zone)


def choose_readers(
    role: str, candidates: Iterable[Candidate], max_readers: int
) -> tuple[Candidate, ...]:
    """Choose gateways that read on behalf of all gateways, equally many in every zone.

    :param role: hash key; different roles fall on different gateways.
    :param max_readers: maximum total, rounded down to a multiple of the zones; at least one in
        each zone.

    >>> three_zones = [Candidate(f"{zone}{i}", zone, 1.0) for zone in "abc" for i in range(5)]
    >>> len(choose_readers("reader", three_zones, max_readers=8))
    6
    """
    by_zone = _by_zone(candidates)
    return _best_in_each_zone(role, by_zone, max(1, max_readers // max(1, len(by_zone))))


def _by_zone(candidates: Iterable[Candidate]) -> dict[str, list[Candidate]]:
    """Group candidates by zone."""
    by_zone: defaultdict[str, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        by_zone[candidate.zone].append(candidate)
    return by_zone


def _best_in_each_zone(
    name: str, by_zone: dict[str, list[Candidate]], per_zone: int
) -> tuple[Candidate, ...]:
    """Return the ``per_zone`` highest-ranked candidates of every zone."""
    chosen: list[Candidate] = []
    for zone in sorted(by_zone):
        ranked = sorted(by_zone[zone], key=lambda one: _rank_key(name, one), reverse=True)
        chosen.extend(ranked[:per_zone])
    return tuple(chosen)


def order_coordinators(
    own_name: str, own_zone: str, coordinators: Iterable[Candidate]
) -> tuple[Candidate, ...]:
    """Return the coordinators in the order in which one gateway asks them.

    Coordinators in its own zone come first, and strong ones before weak ones.  Among equals each
    gateway always ranks the same one first, so that it needs one connection; rendezvous hashing
    weighted by capacity spreads gateways over the coordinators.
    """
    members = tuple(coordinators)
    strong = frozenset(
        one for in_zone in _by_zone(members).values() for one in strong_candidates(in_zone)
    )

    def order(candidate: Candidate) -> tuple[bool, bool, float]:
        score = weighted_score(own_name, candidate.name, candidate.capacity)
        return candidate.zone != own_zone, candidate not in strong, -score

    return tuple(sorted(members, key=order))


def strong_candidates(candidates: Iterable[Candidate]) -> tuple[Candidate, ...]:
    """Return the candidates that count as strong, see :data:`STRONG_CAPACITY_SHARE`.

    >>> one, other = Candidate("a", "z", 2.0), Candidate("b", "z", 0.5)
    >>> strong_candidates([one, other]) == (one,), strong_candidates([other]) == (other,)
    (True, True)
    """
    members = tuple(candidates)
    min_capacity = STRONG_CAPACITY_SHARE * max((one.capacity for one in members), default=0.0)
    return tuple(one for one in members if one.capacity >= min_capacity)


def _rank_key(index: str, candidate: Candidate) -> tuple[float, str]:
    """Return the sort key of a candidate for an index; higher is better."""
    weight = candidate.capacity**CAPACITY_EXPONENT
    return weighted_score(index, candidate.name, weight), candidate.name
