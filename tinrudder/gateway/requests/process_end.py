"""The end of the process as a deadline of every request in it.

Owns the time by which a stopping gateway must have answered, and the requests in progress, whose
deadlines it shortens when a stop begins.  Relies on each request to end by its own deadline, and on
:class:`tinrudder.gateway.gateway.Gateway` to announce the stop.
"""

from __future__ import annotations

import math
from typing import Protocol

from tinrudder.gateway.clients.client_deadlines import Deadlines

RETRY_AFTER_S = 0.05
"""``Retry-After`` of a request that this gateway cannot serve before its end, seconds: another
gateway can serve it at once, and callers that come back do not all come in the same moment."""

PROCESS_ENDS = "the gateway stops"
"""Why a request was not started, or has no answer, at the end of the process."""


class RequestInProcess(Protocol):
    """A request in progress, of a client or of another gateway."""

    def end_by(self, at: float) -> None:
        """Move its deadline to ``at``, unless it ends earlier anyway."""

    def end_with_process(self) -> None:
        """End at once, whatever it still waits for."""


class ProcessEnd:
    """The time by which this process answers, and the requests that it applies to.

    :ivar answers_until: monotonic time by which every answer must be sent; never, while no stop has
        begun.
    """

    def __init__(self) -> None:
        """Start without an end."""
        self.answers_until = math.inf
        self._requests: set[RequestInProcess] = set()

    @property
    def is_announced(self) -> bool:
        """Return whether a planned stop has begun."""
        return self.answers_until != math.inf

    def announce(self, answers_until: float) -> None:
        """Begin a planned stop: every request, present and future, ends by ``answers_until``."""
        self.answers_until = answers_until
        # A request that ends here may start another one or remove itself.
        for request in tuple(self._requests):
            request.end_by(answers_until)

    def end_remaining(self) -> None:
        """End the requests that have not ended by their deadlines."""
        for request in tuple(self._requests):
            request.end_with_process()

    def apply(self, deadlines: Deadlines) -> None:
        """Shorten the deadlines of a request that starts now."""
        deadlines.shorten(self.answers_until)

    def requests(self) -> tuple[RequestInProcess, ...]:
        """Return the requests in progress."""
        return tuple(self._requests)

    def add(self, request: RequestInProcess) -> None:
        """Record a request in progress; :meth:`remove` follows when it ends."""
        self._requests.add(request)

    def remove(self, request: RequestInProcess) -> None:
        """Forget a request that has ended."""
        self._requests.discard(request)
