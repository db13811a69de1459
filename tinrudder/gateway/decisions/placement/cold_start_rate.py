"""How many calls may this gateway send to a back end that has just started?

A cold back end can run few requests a second and fails well above that rate. Gateways share no
counter, so the rate is divided among the gateways that call the back end: each gets a whole number
of calls a second, and rendezvous hashing assigns the remainder. Where all gateways have the same
list of callers, the parts add up to the divided rate and never exceed it; a gateway without a part
sends its calls to other replicas.

Inputs: the rate of the deployment (calls a second from all gateways), the gateways that call the
back end in this gateway's view, and the calls it has sent in the last second.

Answer: whether a call may be sent now.

Owns: the send times of this gateway's latest calls to one cold back end.

Shown by: log line ``request`` with a detail that says that every back end left is cold.

When an input is missing or old: without a rate in the configuration calls are not limited; a
gateway that is not among the callers sends none.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from msgspec import Struct, field

from tinrudder.common.rendezvous import rendezvous_score

WINDOW_S = 1.1
"""Sliding window in which sent calls are counted, seconds.  Calls sent within it may arrive within
one second, since path latencies differ by less than 0.1 s."""
RATE_SHARE = 0.8
"""Part of the rate that is divided among gateways.  The rest is headroom for gateways that do not
know of each other yet, and for calls that the previous process has just sent."""


class Callers(Struct, frozen=True):
    """The gateways that call the back ends of a service, in the view of one of them.

    :param names: names of the known ones.
    :param count: estimated number of callers; just after a start it exceeds the known ones.
    :param most: upper bound of that number, as far as it exceeds the estimate: a gateway that hears
        nobody cannot tell how many others call too.
    """

    names: Collection[str]
    count: int
    most: int = 0


def own_call_limit(rate: float, own: str, callers: Callers, backend_id: str) -> int:
    """Return how many calls one gateway may send to a cold back end in a second.

    :param rate: calls that all gateways together may send in any second.
    :param own: the gateway's name; a gateway that is not among the callers has no part.

    >>> callers = Callers(("a", "b", "c"), count=3)
    >>> [own_call_limit(10.0, name, callers, "back-end") for name in ("a", "b", "c", "d")]
    [3, 3, 2, 0]
    """
    if own not in callers.names:
        return 0
    number = max(callers.count, callers.most, len(callers.names))
    per_gateway, remainder = divmod(int(rate * RATE_SHARE), number)
    if not remainder:
        return per_gateway
    ranked = sorted(callers.names, key=lambda name: rendezvous_score(name, backend_id))
    return per_gateway + (ranked.index(own) < remainder)


class ColdStartRate(Struct):
    """Counts one gateway's calls to one cold back end."""

    _sent: deque[float] = field(default_factory=deque)

    def may_send(self, now: float, part: int) -> bool:
        """Return whether a call may be sent now without exceeding ``part`` in any second."""
        while self._sent and self._sent[0] <= now - WINDOW_S:
            self._sent.popleft()
        return len(self._sent) < part

    def note_sent(self, now: float) -> None:
        """Count a call that is sent now."""
        self._sent.append(now)
