"""How many scatters of one index may this gateway have running?

Every scatter calls every shard, so one slot at the typical shard is the capacity for one scatter.
The rule is a concurrency limit with additive increase and multiplicative decrease. It starts at the
gateway's share of the slots, grows while other gateways leave their shares unused, and shrinks as
soon as back ends report waiting calls.

Inputs: this gateway's share of the slots (in scatters, recomputed each second), the wait at the
typical shard in call times (reports at most 0.8 s old), how long scatters held their slots
(seconds), and whether scatters wait.

Answer: the limit, in scatters, and the wait until there is room (seconds).

Owns: one limit for each index of the configuration in force.

Shown by: metrics ``tinrudder_gateway_scatter_room_limit`` and
``tinrudder_gateway_scatter_room_held``.

When an input is missing or old: without fresh reports the limit stays as it is; before the first
report, it is 1.5 times the gateway's share of the slots.
"""

from __future__ import annotations

from msgspec import Struct

OVER_COMMITMENT = 1.5
"""Multiple of its share of the slots that a gateway uses before any queue is reported. A scatter
waits for its slowest shard while most of its slots are free again; at the start of a burst the back
ends' queues absorb the surplus, half a call's time."""
MIN_FREE_ROOM = 0.5
"""Room that must be free for another scatter to start, in scatters. A few slow shards of a running
scatter then do not block the next one, even if one back end of 20 pauses."""
MIN_LIMIT = 0.6
"""Limit of a gateway whose share is smaller than this, in scatters. The next scatter starts when
nine tenths of the running one's shards have answered."""
MIN_INITIAL_LIMIT = 1.5
"""Minimum limit while no queue is reported, in scatters. At low load a second simultaneous scatter
does not wait for the first."""
QUEUE_LOW = 0.3
"""Wait at the typical back end, in call times, below which the limit may grow."""
QUEUE_HIGH = 0.6
"""Wait at the typical back end, in call times, above which the limit shrinks. Eight gateways of 40
back ends with two slots left more of these idle with 0.25 here and 0.1 for :data:`QUEUE_LOW`:
81,213 calls arrived in a day of overload, 86,748 with the present values."""
INCREASE = 0.1
"""Growth during one call time of full use, as a fraction of the gateway's share of the slots.
Unused capacity of others is taken over in half a second."""
DECREASE = 0.85
"""Factor applied to the limit after one call time with a queue. A twofold surplus is gone after
four call times."""
HOLD_GAIN = 0.1
"""Weight of one scatter in the moving average of slot hold times: averages about the last ten."""
RESET_GAIN = 0.1
"""Fraction of the distance to its initial value by which an unused limit returns in each call
time."""

UNCHANGED_TOLERANCE = 0.05
"""Fraction of the initial limit within which a limit counts as unchanged and needs no reports."""


class ScatterConcurrency(Struct):
    """The concurrency limit of one index at one gateway, in scatters.

    :param own_slots: this gateway's share of the slots of the typical shard.
    :param limit: how much may be in use now.
    :param hold_s: mean time for which a scatter holds a shard's slot; 0: not known.
    """

    own_slots: float = MIN_LIMIT
    limit: float = MIN_INITIAL_LIMIT
    hold_s: float = 0.0
    _adjusted_at: float = 0.0

    @property
    def initial_limit(self) -> float:
        """Return the limit that applies while no queue is known."""
        return max(MIN_INITIAL_LIMIT, self.own_slots * OVER_COMMITMENT)

    @property
    def floor(self) -> float:
        """Return the smallest value of the limit."""
        return max(MIN_LIMIT, self.own_slots)

    @property
    def is_adjusted(self) -> bool:
        """Return whether the limit differs from its initial value."""
        return abs(self.limit - self.initial_limit) > UNCHANGED_TOLERANCE * self.initial_limit

    def set_own_slots(self, own_slots: float) -> None:
        """Set the gateway's share of the slots; the learned limit is scaled in proportion."""
        if own_slots == self.own_slots:
            return
        learned = self.limit / self.initial_limit
        self.own_slots = own_slots
        self.limit = max(self.floor, learned * self.initial_limit)

    def has_room_for_another(self, held: float) -> bool:
        """Return whether one more scatter may start; when nothing runs, one always may."""
        return held <= 0.0 or held + MIN_FREE_ROOM <= self.limit

    @property
    def start_rate_per_s(self) -> float:
        """Return how many scatters can start per second; 0: not known."""
        return self.limit / self.hold_s if self.hold_s else 0.0

    def wait_s(self, held: float, ahead: int) -> float:
        """Return how long a scatter behind ``ahead`` others waits until it may start.

        >>> ScatterConcurrency(own_slots=2.0, limit=2.0, hold_s=0.05).wait_s(held=2.5, ahead=3)
        0.1
        """
        excess = held + ahead + MIN_FREE_ROOM - self.limit
        if excess <= 0.0 or not self.hold_s:
            return 0.0
        return excess / self.start_rate_per_s

    def note_hold(self, seconds: float) -> None:
        """Update the mean hold time with that of a scatter that has ended."""
        if not self.hold_s:
            self.hold_s = seconds
        self.hold_s += HOLD_GAIN * (seconds - self.hold_s)

    def may_adjust(self, now: float) -> bool:
        """Return whether one call time has passed, so that reports can reflect the last change."""
        return now - self._adjusted_at >= self.hold_s

    def adjust(self, queue: float, now: float, *, in_use: bool) -> None:
        """Adjust the limit to the queues that back ends report.

        :param queue: the wait for a slot at the typical shard, in call times.
        :param in_use: whether scatters wait for room.
        """
        self._adjusted_at = now
        if queue > QUEUE_HIGH:
            self.limit = max(self.floor, self.limit * DECREASE)
        elif in_use and queue < QUEUE_LOW:
            self.limit += INCREASE * max(MIN_LIMIT, self.own_slots)
        elif not in_use:
            self.limit += RESET_GAIN * (self.initial_limit - self.limit)
