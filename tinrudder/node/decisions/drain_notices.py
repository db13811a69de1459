"""Drain notices: back ends that reported, directly or through another node, that they are draining.

Owns the notices and their expiry times.  A notice lasts long, because a draining back end usually
does not return and a call to check it would be new work for it.  A back end that stays in service
is found by a single call after the notice has expired.  The lifetime is random per node, so that
one node checks first and publishes the result to the others.
"""

from __future__ import annotations

import random

MIN_NOTICE_LIFETIME_S = 60.0
"""Minimum lifetime of a notice, in seconds: usually longer than a back end's planned stop."""
MAX_NOTICE_LIFETIME_S = 120.0
"""Maximum lifetime of a notice, in seconds, after which a back end is called again.  Twice the
minimum, so that the nodes do not all call it at the same time."""
NOTICE_TIME_MARGIN_S = 0.25
"""Seconds that a call must be sent after a notice to count as newer: the times of other nodes'
notices include clock error and network delay."""


class DrainNotices:
    """Drain notices by back end; all times are monotonic seconds of this node.

    >>> notices = DrainNotices(random.Random(1))
    >>> notices.add("b1", 10.0)
    >>> notices.is_outdated("b1", sent_at=9.0), notices.is_outdated("b1", sent_at=11.0)
    (False, True)
    >>> notices.due(10.0 + MAX_NOTICE_LIFETIME_S)
    ('b1',)
    """

    def __init__(self, source: random.Random) -> None:
        """Draw lifetimes from ``source``."""
        self._random = source
        self._reported_at: dict[str, float] = {}
        self._expires_at: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of back ends with a notice."""
        return len(self._reported_at)

    def add(self, backend: str, reported_at: float) -> None:
        """Record a notice of the time ``reported_at``, replacing an earlier one."""
        self._reported_at[backend] = reported_at
        self._expires_at[backend] = reported_at + self._random.uniform(
            MIN_NOTICE_LIFETIME_S, MAX_NOTICE_LIFETIME_S
        )

    def remove(self, backend: str) -> None:
        """Remove a back end's notice, if there is one."""
        self._reported_at.pop(backend, None)
        self._expires_at.pop(backend, None)

    def is_outdated(self, backend: str, sent_at: float) -> bool:
        """Tell whether an answer without a drain notice, to a call sent at ``sent_at``, is newer.

        Answers to calls sent before the notice prove nothing: a draining back end finishes its
        calls in flight.
        """
        reported_at = self._reported_at.get(backend)
        return reported_at is not None and sent_at > reported_at + NOTICE_TIME_MARGIN_S

    def due(self, now: float) -> tuple[str, ...]:
        """Return the back ends whose notice has expired."""
        return tuple(
            backend for backend, expires_at in self._expires_at.items() if expires_at <= now
        )
