"""Divides requests among choices by weight, as evenly as the weights allow."""

from __future__ import annotations

from collections.abc import Mapping


class WeightedRotation:
    """Smooth weighted round robin: after any number of requests each choice is near its share.

    When to use: where shares must hold over short spans; random choice would stray.

    >>> rotation = WeightedRotation({"a": 2.0, "b": 1.0})
    >>> [rotation.next() for _ in range(6)]
    ['a', 'b', 'a', 'a', 'b', 'a']
    """

    def __init__(self, weights: Mapping[str, float], first: int = 0) -> None:
        """Rotate over the names; ``first`` turns are skipped, so that nodes differ.

        :raises ValueError: no weight is above zero.
        """
        self._weights = {name: weight for name, weight in weights.items() if weight > 0}
        if not self._weights:
            raise ValueError("weights: at least one must be above zero")
        self._total = sum(self._weights.values())
        self._credit = dict.fromkeys(self._weights, 0.0)
        for _ in range(first):
            self.next()

    def next(self) -> str:
        """Return the name whose turn it is."""
        for name, weight in self._weights.items():
            self._credit[name] += weight
        chosen = max(self._credit, key=self._credit.__getitem__)
        self._credit[chosen] -= self._total
        return chosen
