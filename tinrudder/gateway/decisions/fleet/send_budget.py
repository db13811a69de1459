"""How much may a gateway send now, whatever gives it reason to?

A token bucket bounds what news costs the network when something goes round in circles or much
happens at once.

Inputs: the messages wanted, the size of each in the budget's unit, and the moment in monotonic
seconds.

Answer: how many of them may be sent.

Owns: what was used lately of one budget.

Shown by: metrics ``tinrudder_gateway_poison_reports_unsent`` and
``tinrudder_gateway_peer_messages``.

When an input is missing or old: a new budget is full.
"""

from __future__ import annotations

from msgspec import Struct


class SendBudget(Struct):
    """A token bucket of messages or bytes, full at first.

    :param burst: how much may be sent at once.
    :param rate_per_s: how much a second after that.

    >>> budget = SendBudget(burst=3, rate_per_s=1.0)
    >>> budget.take(2, now=0.0), budget.take(2, now=0.0), budget.take(2, now=1.0)
    (2, 1, 1)
    """

    burst: float
    rate_per_s: float
    _used: float = 0.0
    _used_at: float = 0.0

    def take(self, wanted: int, now: float, size: int = 1) -> int:
        """Return how many of the messages wanted may be sent, and count them.

        :param size: what each takes of the budget.
        """
        used = max(0.0, self._used - (now - self._used_at) * self.rate_per_s)
        allowed = min(wanted, int((self.burst - used) / size))
        self._used = used + allowed * size
        self._used_at = now
        return allowed
