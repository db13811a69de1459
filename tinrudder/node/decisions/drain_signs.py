"""Which back ends have shown that they are leaving, by their own answers or another node's word.

A sign holds for long: a back end that leaves does not come back as a rule, and asking it would
be new work.  One that stays after all is found by a single call when the sign ends; the time is
drawn at random for each node, so that the first to ask tells the others.
"""

from __future__ import annotations

import random

SHORTEST_HOLD_S = 60.0
"""Seconds for which a sign surely holds.  Chosen, not measured: longer than a back end's planned
stop takes as a rule."""
LONGEST_HOLD_S = 120.0
"""Seconds after which a back end that stayed is asked again at the latest.  Twice the shortest, so
that the nodes do not all ask at once."""
OWN_MARGIN_S = 0.25
"""Seconds after the sign from which on a call counts as sent after it: signs of other nodes come
with their clocks and their way.  Chosen, not measured."""


class DrainSigns:
    """Signs by back end; all times are monotonic seconds of this node.

    >>> signs = DrainSigns(random.Random(1))
    >>> signs.add("b1", 10.0)
    >>> signs.refutes("b1", sent_at=9.0), signs.refutes("b1", sent_at=11.0)
    (False, True)
    >>> signs.due(10.0 + LONGEST_HOLD_S)
    ('b1',)
    """

    def __init__(self, source: random.Random) -> None:
        """Draw hold times from ``source``."""
        self._random = source
        self._signed_at: dict[str, float] = {}
        self._until: dict[str, float] = {}

    def __len__(self) -> int:
        """Return how many back ends are held to be leaving."""
        return len(self._signed_at)

    def add(self, backend: str, signed_at: float) -> None:
        """Take a sign made at ``signed_at``."""
        self._signed_at[backend] = signed_at
        self._until[backend] = signed_at + self._random.uniform(SHORTEST_HOLD_S, LONGEST_HOLD_S)

    def remove(self, backend: str) -> None:
        """Drop a sign."""
        self._signed_at.pop(backend, None)
        self._until.pop(backend, None)

    def refutes(self, backend: str, sent_at: float) -> bool:
        """Tell whether an ordinary answer to a call sent at ``sent_at`` is newer than the sign.

        Calls sent before it prove nothing: a leaving back end finishes what it has.
        """
        signed_at = self._signed_at.get(backend)
        return signed_at is not None and sent_at > signed_at + OWN_MARGIN_S

    def due(self, now: float) -> tuple[str, ...]:
        """Return the back ends that may be asked again."""
        return tuple(backend for backend, until in self._until.items() if until <= now)
