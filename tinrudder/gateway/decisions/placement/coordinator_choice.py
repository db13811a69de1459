"""Which gateways run the scatters of an index, and which read the store for all?

A back end takes a limited number of connections. While there are few gateways each calls the back
ends itself. Beyond that a few coordinators in every zone do, and the others hand their scatters to
one of them: connections stay warm, and each coordinator sees enough of every back end to judge it.
Views that differ for a while cost connections, never an answer: whoever is asked serves.

Inputs: the gateways heard within the last 15 s with zone and capacity (processor cores), the
replicas of a shard and the connections that a back end accepts.

Answer: how many coordinators there should be, who they are, and in which order a gateway asks
them.

Owns: nothing; it is a function of its inputs.

Shown by: log line ``coordination_changed``; metrics ``tinrudder_gateway_relayed``,
``tinrudder_gateway_coordinated`` and ``tinrudder_gateway_nodes``.

When an input is missing or old: a gateway that hears no other calls the back ends itself, and so
does one whose coordinators do not take a scatter.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable

from msgspec import Struct

from tinrudder.common.rendezvous import weighted_score

CONNECTION_SAFETY = 0.9
"""Part of a back end's connections that gateways divide. Chosen, not measured: the rest is for
gateways that do not know of each other yet, and for connections that are closing."""
LEAST_CONNECTIONS_A_SHARD = 4.0
"""Connections to one shard's back ends that each gateway must have for all of them to call these.
Chosen, not measured: two to each of two replicas, one to work on and one for a hedge. 8 gateways
and 2 x 26 connections have 5.9, 64 and 3 x 54 have 2.3 (arithmetic)."""
WANTED_CONNECTIONS_A_SHARD = 24.0
"""Connections to one shard's back ends that are left to each coordinator. Chosen, not measured: 64
gateways with 3 x 54 connections a shard get six coordinators, two in each of three zones."""
FEWEST_IN_A_ZONE = 2
"""Coordinators in each zone at least: one may fail and another still serves. Chosen, not
measured."""
CAPACITY_EXPONENT = 6.0
"""Power of the capacity by which a gateway is preferred. Chosen, not measured: a machine of half a
core takes about 30 ms for the burst of a scatter over 90 shards and one of two cores 7 ms, so the
strong ones come first nearly always, and indexes still spread over equal ones."""
STRONG_SHARE = 0.5
"""Part of the strongest one's capacity from which on a gateway counts as strong.  A scatter over
135 shards is a burst of 15 ms of work: gateways with a quarter of the strongest ones' capacity sent
answers that lacked 4 to 7.5 shards in the mean, strong ones in the same seconds 0.4 to 2.6."""


class Candidate(Struct, frozen=True):
    """A gateway that may coordinate.

    :param name: its address.
    :param capacity: processor cores, as a measure of what it can carry.
    """

    name: str
    zone: str
    capacity: float


class IndexDemand(Struct, frozen=True):
    """The back ends of an index.

    :param replicas: back ends of one shard.
    :param max_connections: what one back end accepts from all gateways together.
    """

    replicas: int
    max_connections: int

    @property
    def connections(self) -> float:
        """Return how many connections one shard's back ends take from all gateways together."""
        return CONNECTION_SAFETY * self.max_connections * self.replicas


def coordinators_needed(demand: IndexDemand, nodes: int) -> int | None:
    """Return how many gateways should call an index's back ends; ``None``: all of them.

    >>> coordinators_needed(IndexDemand(replicas=2, max_connections=26), nodes=8)
    >>> coordinators_needed(IndexDemand(replicas=3, max_connections=54), nodes=64)
    6
    """
    if demand.connections / nodes >= LEAST_CONNECTIONS_A_SHARD:
        return None
    return max(1, int(demand.connections / WANTED_CONNECTIONS_A_SHARD))


def choose_coordinators(
    index: str, candidates: Iterable[Candidate], count: int
) -> tuple[Candidate, ...]:
    """Choose coordinators by weighted rendezvous hashing, equally many in every zone.

    Machines with more capacity are preferred strongly: a scatter is a burst of work, which a
    slow processor turns into latency.

    :param index: tells indexes apart, so that they spread over the gateways.
    :param count: how many in all; rounded up to a multiple of the zones, at least two in each.

    >>> pair = [Candidate("a", "z1", 2.0), Candidate("b", "z2", 2.0)]
    >>> len(choose_coordinators("index", pair, count=1))
    2
    """
    by_zone = _by_zone(candidates)
    each = max(FEWEST_IN_A_ZONE, math.ceil(count / max(1, len(by_zone))))
    return _first_in_each_zone(index, by_zone, each)


def choose_readers(role: str, candidates: Iterable[Candidate], most: int) -> tuple[Candidate, ...]:
    """Choose gateways for work that a few do for all, equally many in every zone.

    :param role: tells roles apart, so that they fall on different gateways.
    :param most: how many in all, rounded down to a multiple of the zones, but one in each.

    >>> three_zones = [Candidate(f"{zone}{i}", zone, 1.0) for zone in "abc" for i in range(5)]
    >>> len(choose_readers("reader", three_zones, most=8))
    6
    """
    by_zone = _by_zone(candidates)
    return _first_in_each_zone(role, by_zone, max(1, most // max(1, len(by_zone))))


def _by_zone(candidates: Iterable[Candidate]) -> dict[str, list[Candidate]]:
    """Sort candidates into their zones."""
    by_zone: defaultdict[str, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        by_zone[candidate.zone].append(candidate)
    return by_zone


def _first_in_each_zone(
    name: str, by_zone: dict[str, list[Candidate]], each: int
) -> tuple[Candidate, ...]:
    """Return the best few candidates of every zone."""
    chosen: list[Candidate] = []
    for zone in sorted(by_zone):
        ranked = sorted(by_zone[zone], key=lambda one: _rank(name, one), reverse=True)
        chosen.extend(ranked[:each])
    return tuple(chosen)


def preference(
    own_name: str, own_zone: str, coordinators: Iterable[Candidate]
) -> tuple[Candidate, ...]:
    """Return the coordinators in the order in which one gateway asks them.

    Its own zone first, there the strong ones.  Among these every gateway has its favourite, so
    that it keeps one connection; favourites spread by capacity.
    """
    members = tuple(coordinators)
    strong = frozenset(
        one for of_zone in _by_zone(members).values() for one in strong_ones(of_zone)
    )

    def order(candidate: Candidate) -> tuple[bool, bool, float]:
        score = weighted_score(own_name, candidate.name, candidate.capacity)
        return candidate.zone != own_zone, candidate not in strong, -score

    return tuple(sorted(members, key=order))


def strong_ones(candidates: Iterable[Candidate]) -> tuple[Candidate, ...]:
    """Return the candidates that are not much weaker than the strongest of them.

    >>> one, other = Candidate("a", "z", 2.0), Candidate("b", "z", 0.5)
    >>> strong_ones([one, other]) == (one,), strong_ones([other]) == (other,)
    (True, True)
    """
    members = tuple(candidates)
    least = STRONG_SHARE * max((one.capacity for one in members), default=0.0)
    return tuple(one for one in members if one.capacity >= least)


def _rank(index: str, candidate: Candidate) -> tuple[float, str]:
    """Return the sort key of a candidate for an index; higher is better."""
    weight = candidate.capacity**CAPACITY_EXPONENT
    return weighted_score(index, candidate.name, weight), candidate.name
