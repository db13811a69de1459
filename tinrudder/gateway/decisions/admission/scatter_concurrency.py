"""How many scatters of one index may this gateway have running?

Every scatter asks every shard, so one slot at the typical shard is the room for one scatter. A
gateway begins with its part of the slots, and follows what the back ends report of their queues:
it takes more while others leave their parts unused, and gives back as soon as calls wait. It is a
concurrency limit with additive increase and multiplicative decrease.

Inputs: this gateway's part of the slots (scatters' worth, worked out each second), the wait at the
typical shard in calls' times (reports at most 0.8 s old), for how long scatters held their slots
(seconds), and whether scatters wait.

Answer: the limit, in scatters' worth of slots, and the wait until there is room (seconds).

Owns: one limit for each index of the configuration in force.

Shown by: metrics ``tinrudder_gateway_scatter_room_limit`` and
``tinrudder_gateway_scatter_room_held``.

When an input is missing or old: without fresh reports the limit stays as it is; before any, it is
1.5 times the gateway's part of the slots.
"""

from __future__ import annotations

from msgspec import Struct

OVER_COMMITMENT = 1.5
"""How many times its part of the slots a gateway uses before it hears of queues. Chosen, not
measured: a scatter waits for its slowest shard while most of its slots are free again; back ends'
queues take the surplus of a burst's first moment, half a call's time."""
LEAST_FREE = 0.5
"""Room that must be free for another scatter, in scatters. Chosen, not measured: a few slow shards
of one that runs hold none of it back, be it that one back end of 20 pauses."""
LEAST_SCATTERS = 0.6
"""The limit of a gateway whose part is less, in scatters. Chosen, not measured: the next one
starts when nine tenths of the shards of the one that runs have answered."""
FIRST_SCATTERS = 1.5
"""The least limit while no queue is heard of, in scatters. Chosen, not measured: on calm days a
second one in the same moment does not wait for the first."""
QUEUE_LOW = 0.3
"""Below this wait at the typical back end, in calls' times, there is room for more, a choice."""
QUEUE_HIGH = 0.6
"""Wait at the typical back end, in calls' times, above which the room shrinks. Eight gateways of
40 back ends with two slots left more of these idle with 0.25 here and 0.1 for the bound below:
81,213 calls came in a day of overload, 86,748 with these figures."""
INCREASE = 0.1
"""Growth in one call's time of full use, as a part of the gateway's part of the slots. Chosen, not
measured: unused room of others is taken over in half a second."""
DECREASE = 0.85
"""What is left of the room after one call's time with a queue, as a part. Chosen, not measured: a
surplus of two is gone after four calls' times."""
HOLD_GAIN = 0.1
"""Weight of one scatter in the usual time for which scatters hold their slots. Chosen, not
measured: a mean of the last ten or so."""
RETURN_GAIN = 0.1
"""Part of the way back to where it began that an unused limit goes in each call's time. Chosen,
not measured."""

UNCHANGED = 0.05
"""Part of its first value within which a limit counts as unchanged and needs no reports. Chosen,
not measured."""


class ScatterConcurrency(Struct):
    """The room of one index at one gateway, in scatters' worth of slots.

    :param part: this gateway's part of the slots of the typical shard.
    :param limit: how much of it may be held now.
    :param hold_s: for how long a scatter holds a shard's slot, in the mean; 0: not known.
    """

    part: float = LEAST_SCATTERS
    limit: float = FIRST_SCATTERS
    hold_s: float = 0.0
    _judged_at: float = 0.0

    @property
    def first_limit(self) -> float:
        """Return the limit while nothing is known of queues."""
        return max(FIRST_SCATTERS, self.part * OVER_COMMITMENT)

    @property
    def floor(self) -> float:
        """Return what the limit never falls below."""
        return max(LEAST_SCATTERS, self.part)

    @property
    def has_changed(self) -> bool:
        """Tell whether the limit is not where it began."""
        return abs(self.limit - self.first_limit) > UNCHANGED * self.first_limit

    def set_part(self, part: float) -> None:
        """Take another part of the slots; what was learned of the limit stays in proportion."""
        if part == self.part:
            return
        learned = self.limit / self.first_limit
        self.part = part
        self.limit = max(self.floor, learned * self.first_limit)

    def bears_another(self, held: float) -> bool:
        """Tell whether one more scatter may start; where nothing runs, one always may."""
        return held <= 0.0 or held + LEAST_FREE <= self.limit

    @property
    def pace(self) -> float:
        """Return how many scatters can start in a second; 0: not known."""
        return self.limit / self.hold_s if self.hold_s else 0.0

    def wait_s(self, held: float, ahead: int) -> float:
        """Return how long a scatter behind ``ahead`` others waits until it may start.

        >>> ScatterConcurrency(part=2.0, limit=2.0, hold_s=0.05).wait_s(held=2.5, ahead=3)
        0.1
        """
        excess = held + ahead + LEAST_FREE - self.limit
        if excess <= 0.0 or not self.hold_s:
            return 0.0
        return excess / self.pace

    def note_hold(self, seconds: float) -> None:
        """Learn for how long a scatter that has ended held the slot of a shard, in the mean."""
        if not self.hold_s:
            self.hold_s = seconds
        self.hold_s += HOLD_GAIN * (seconds - self.hold_s)

    def may_judge(self, now: float) -> bool:
        """Tell whether reports may have changed since the limit did: one call's time later."""
        return now - self._judged_at >= self.hold_s

    def judge(self, queue: float, now: float, *, in_use: bool) -> None:
        """Change the limit by what back ends report.

        :param queue: the wait for a slot at the typical shard, in calls' times.
        :param in_use: whether scatters wait for room.
        """
        self._judged_at = now
        if queue > QUEUE_HIGH:
            self.limit = max(self.floor, self.limit * DECREASE)
        elif in_use and queue < QUEUE_LOW:
            self.limit += INCREASE * max(LEAST_SCATTERS, self.part)
        elif not in_use:
            self.limit += RETURN_GAIN * (self.first_limit - self.limit)
