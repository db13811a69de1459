"""How much may a gateway send now, regardless of what triggers it?

A token bucket limits the network load of messages between gateways when they circulate in a loop or
many events occur at once.

Inputs: the number of messages to send, the size of each in the budget's unit, and the time in
monotonic seconds.

Answer: how many of them may be sent.

Owns: the recent use of one budget.

Shown by: metrics ``tinrudder_gateway_poison_reports_unsent`` and
``tinrudder_gateway_peer_messages``.

When an input is missing or old: a new budget is full.
"""

from __future__ import annotations

from msgspec import Struct


class SendBudget(Struct):
    """A token bucket of messages or bytes, full at the start.

    :param burst: capacity of the bucket: the amount that may be sent at once.
    :param rate_per_s: refill rate, messages or bytes a second.

    >>> budget = SendBudget(burst=3, rate_per_s=1.0)
    >>> budget.take(2, now=0.0), budget.take(2, now=0.0), budget.take(2, now=1.0)
    (2, 1, 1)
    """

    burst: float
    rate_per_s: float
    _used: float = 0.0
    _used_at: float = 0.0

    def take(self, wanted: int, now: float, size: int = 1) -> int:
        """Return how many of the wanted messages may be sent, and charge them to the budget.

        :param size: cost of each message in the budget's unit.
        """
        used = max(0.0, self._used - (now - self._used_at) * self.rate_per_s)
        allowed = min(wanted, int((self.burst - used) / size))
        self._used = used + allowed * size
        self._used_at = now
        return allowed
