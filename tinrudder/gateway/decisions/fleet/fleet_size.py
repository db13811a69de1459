"""How many gateways may there be, by what this one has heard?

A limit that all gateways share is divided by their number.  A gateway that has heard nobody cannot
tell whether it is alone: the others may be out of its reach and spend their parts too.

Inputs: whether the settings name another gateway, the times of messages from others (monotonic
seconds), and the number of gateways counted meanwhile.

Answer: an upper bound of the number of gateways, this one included.

Owns: the time at which this gateway joined the others, and the last number counted in contact.

Shown by: metric ``tinrudder_gateway_fleet_bound``.

When an input is missing or old: without a message since the start, the largest fleet designed for;
after the others have fallen silent, as many as were counted before.
"""

from __future__ import annotations

from msgspec import Struct

LARGEST_FLEET = 730
"""Number of gateways that the system is designed for."""
OUT_OF_CONTACT_S = 5.0
"""Seconds without a message of any other gateway after which the count is no longer recorded, since
it falls as known gateways expire: ten digest intervals."""
REJOIN_AFTER_S = 30.0
"""Seconds without a message of any other gateway after which the next one starts a new join: by
then the known gateways have expired, and others may have started."""


class FleetSize(Struct):
    """Bounds the number of gateways by the evidence of one of them.

    :param names_others: whether the settings name another gateway.
    :ivar joined_at: when the first message of another gateway arrived, at the start or after a long
        silence; ``None`` before that.

    >>> size = FleetSize(names_others=True)
    >>> size.bound(1, now=60.0)
    730
    >>> size.note_message(60.0); size.note_count(8, 61.0)
    >>> size.bound(8, now=62.0), size.bound(1, now=120.0)
    (8, 8)
    """

    names_others: bool = False
    joined_at: float | None = None
    _heard_at: float = float("-inf")
    _last_count: int = 1

    @property
    def is_alone(self) -> bool:
        """Return whether no other gateway is named or was ever heard."""
        return not self.names_others and self.joined_at is None

    @property
    def is_unknown(self) -> bool:
        """Return whether there may be others, none of which was ever heard."""
        return self.names_others and self.joined_at is None

    def note_message(self, now: float) -> None:
        """Record a message that came from another gateway itself."""
        if self.joined_at is None or now - self._heard_at > REJOIN_AFTER_S:
            self.joined_at = now
        self._heard_at = now

    def note_count(self, counted: int, now: float) -> None:
        """Record the number of gateways counted now, unless all others are silent.

        :param counted: without those that leave as planned.
        """
        if now - self._heard_at <= OUT_OF_CONTACT_S:
            self._last_count = counted

    def bound(self, counted: int, now: float) -> int:
        """Return an upper bound of the number of gateways.

        :param counted: number of gateways heard of lately, this one included.
        """
        if self.is_unknown:
            return LARGEST_FLEET
        if not self.names_others or now - self._heard_at <= OUT_OF_CONTACT_S:
            return counted
        return max(counted, self._last_count)
