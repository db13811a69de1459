"""How many calls may this gateway send to a back end that has just started?

A cold back end bears few requests a second and falls over well above that. Gateways share no
counter, so each one has a part of the rate: whole calls, divided by place among the gateways that
call the back end. Where all see the same gateways the parts add up to the rate and never to more;
a gateway without a part sends its calls to other replicas.

Inputs: the rate of the deployment (calls a second from all gateways), the gateways that call the
back end as this one sees them, and the calls it has sent in the last second.

Answer: whether a call may leave now.

Owns: the moments of this gateway's latest calls to one cold back end.

Shown by: log line ``request`` with a detail that says that every back end left is cold.

When an input is missing or old: without a rate in the configuration any number of calls may leave;
a gateway that is not among the callers sends none.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from msgspec import Struct, field

from tinrudder.common.rendezvous import rendezvous_score

WINDOW_S = 1.1
"""Calls sent within this time, seconds, may arrive within one second: a bound, since paths differ
by less than 0.1 s."""
RATE_SHARE = 0.8
"""Part of the rate that is divided. Chosen, not measured: the rest is for gateways that do not
know of each other yet, and for calls that the process before this one has just sent."""


class Callers(Struct, frozen=True):
    """The gateways that call the back ends of a service, as one of them sees it.

    :param names: of those that are known.
    :param count: how many there seem to be: just after a start more than are known.
    """

    names: Collection[str]
    count: int


def own_part(rate: float, own: str, callers: Callers, backend_id: str) -> int:
    """Return how many calls one gateway may send to a cold back end in a second.

    :param rate: what all gateways together may send in any second.
    :param own: the gateway's name; one that is not among the callers has no part.

    >>> callers = Callers(("a", "b", "c"), count=3)
    >>> [own_part(10.0, name, callers, "back-end") for name in ("a", "b", "c", "d")]
    [3, 3, 2, 0]
    """
    if own not in callers.names:
        return 0
    each, rest = divmod(int(rate * RATE_SHARE), max(callers.count, len(callers.names)))
    if not rest:
        return each
    ranked = sorted(callers.names, key=lambda name: rendezvous_score(name, backend_id))
    return each + (ranked.index(own) < rest)


class ColdStartRate(Struct):
    """Counts one gateway's calls to one cold back end."""

    _sent: deque[float] = field(default_factory=deque)

    def may_send(self, now: float, part: int) -> bool:
        """Tell whether a call may leave now without exceeding ``part`` in any second."""
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()
        return len(self._sent) < part

    def note_sent(self, now: float) -> None:
        """Count a call that leaves."""
        self._sent.append(now)
