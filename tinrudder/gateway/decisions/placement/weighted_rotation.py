"""Which of several services of a route gets the next request?

Smooth weighted round robin divides requests by weight as evenly as the weights allow; random choice
would deviate from the shares over short periods.

Inputs: the weights of the route's services; a random first turn, so that gateways differ.

Answer: the name of the next service.

Owns: the credit of each service while the configuration is in force.

Shown by: log line ``request``, field ``route``; the share of a service is visible at its back ends.

When an input is missing or old: a service without weight gets no requests.
"""

from __future__ import annotations

from collections.abc import Mapping


class WeightedRotation:
    """Smooth weighted round robin: after any number of requests each choice is near its share.

    When to use: where shares must hold over short periods, in which random choice would deviate.

    >>> rotation = WeightedRotation({"a": 2.0, "b": 1.0})
    >>> [rotation.next() for _ in range(6)]
    ['a', 'b', 'a', 'a', 'b', 'a']
    """

    def __init__(self, weights: Mapping[str, float], skipped_turns: int = 0) -> None:
        """Rotate over the names of positive weight.

        :param skipped_turns: number of turns to skip, so that gateways start at different places.
        :raises ValueError: no weight is above zero.
        """
        self._weights = {name: weight for name, weight in weights.items() if weight > 0}
        if not self._weights:
            raise ValueError("weights: at least one must be above zero")
        self._total = sum(self._weights.values())
        self._credit = dict.fromkeys(self._weights, 0.0)
        for _ in range(skipped_turns):
            self.next()

    def next(self) -> str:
        """Return the name of the next choice."""
        for name, weight in self._weights.items():
            self._credit[name] += weight
        chosen = max(self._credit, key=self._credit.__getitem__)
        self._credit[chosen] -= self._total
        return chosen
