"""What one run of a request may still send, given the back ends that were lost under it.

Owns what this run has seen: calls in progress, calls lost, whether a back end has answered.  Relies
on the evidence of all gateways (:class:`CrashEvidence`) for other tries of the same request.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol

from tinrudder.gateway.decisions.admission.poison_requests import RequestStanding, Standing
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.runs.request_bytes import RequestBytes

CANARY_PATIENCE = 0.3
"""After this part of the route's objective a second canary leaves beside the first, which may stand
still.  Chosen, not measured: it leaves most of the objective to the other shards."""
POISON = "back ends crashed under this request: it is not sent again"
"""What is said of shards that are not asked for that reason."""


class Permission(Enum):
    """Whether another call may leave.  ``HOLD``: not now.  ``STOP``: never."""

    SEND = auto()
    HOLD = auto()
    STOP = auto()


class CrashEvidence(Protocol):
    """What the fleet holds against requests, as a run needs it."""

    @property
    def is_calm(self) -> bool:
        """Tell whether nothing is held against any request."""

    def judge(self, fingerprint: bytes, origin: bytes) -> RequestStanding:
        """Decide what may be done with a request now."""

    def note_crash(self, fingerprint: bytes, origin: bytes, life: str, *, trial: bool) -> None:
        """Hold a back end that was lost against the request that it ran."""

    def note_survivor(self, fingerprint: bytes, life: str) -> None:
        """Hold a back end no longer against a request: it has not crashed after all."""

    def note_answer(self, fingerprint: bytes) -> None:
        """Clear a request that a back end has answered."""

    def note_alive(self, life: str, sent_at: float) -> None:
        """Take note that a back end has answered what was sent at that time."""

    def begin_trial(self, fingerprint: bytes) -> None:
        """Keep other gateways from a trial while one begins here."""


class RunGuard:
    """Follows the calls of one run; one is needed for each, also where nothing is held against any.

    A run is free to send until a call is lost with its connection before any back end has answered.
    From then on, and from its start where other tries of the same request lost back ends, one call
    is in progress at a time until the first answer.  So a poison request that reaches one back end
    of each of 20 shards does not reach the second of any.

    :ivar answered: a back end has answered, so the request is no poison.
    """

    def __init__(self, evidence: CrashEvidence, request: RequestBytes, route: Route) -> None:
        """Judge by ``evidence``."""
        self.answered = False
        self._evidence = evidence
        self._request = request
        self._route = route
        self._lost_here = False
        self._stopped = False
        self._on_trial_here = False
        self._in_progress = 0
        self._last_sent_at = float("-inf")

    @property
    def is_free(self) -> bool:
        """Tell whether all shards may be asked at once."""
        if self.answered or (not self._lost_here and self._evidence.is_calm):
            return True
        return not self._stopped and self._standing() is Standing.FREE

    @property
    def is_stopped(self) -> bool:
        """Tell whether nothing more may be sent, ever."""
        if self.answered or self._evidence.is_calm:
            return False
        return self._stopped or self._standing() is Standing.BARRED

    def permission(self, now: float) -> Permission:
        """Decide on one more call."""
        # What holds of nearly every call, without asking another function: a call's questions here
        # take 1.1 us so, 0.7 us after the first answer, and 2.8 and 1.8 us through the property.
        if self.answered or (not self._lost_here and self._evidence.is_calm):
            return Permission.SEND
        if self.is_free:
            return Permission.SEND
        if self.is_stopped:
            return Permission.STOP
        if self._standing() is Standing.ON_TRIAL and not self._on_trial_here:
            return Permission.HOLD
        patience_s = CANARY_PATIENCE * self._route.objective_s
        waited = self._in_progress == 1 and now - self._last_sent_at >= patience_s
        return Permission.SEND if not self._in_progress or waited else Permission.HOLD

    def note_sent(self, now: float) -> bool:
        """Count a call that leaves; tell whether it is a canary."""
        self._in_progress += 1
        self._last_sent_at = now
        if self.answered or self.is_free:
            return False
        self._on_trial_here = True
        self._evidence.begin_trial(self._request.fingerprint)
        return True

    def note_answered(self, life: str, sent_at: float) -> None:
        """Take an answer, whatever it says: the back end has survived the request.

        :param life: names the start of the back end.
        :param sent_at: when it was asked.
        """
        self._in_progress -= 1
        self.answered = True
        if not self._evidence.is_calm:
            self._evidence.note_answer(self._request.fingerprint)
            self._evidence.note_alive(life, sent_at)

    def note_answered_elsewhere(self) -> None:
        """Take it that other gateways' back ends have answered; these gateways tell all others."""
        self.answered = True

    def note_unanswered(self) -> None:
        """Take the end of a call that says nothing of the request."""
        self._in_progress -= 1

    def note_crash(self, life: str, *, canary: bool) -> bool:
        """Take a call that was lost with its connection; tell whether it counts as a crash.

        Where a back end has answered in this run, the request is not what crashed this one.

        :param life: names the start of the back end.
        """
        self._in_progress -= 1
        if self.answered:
            return False
        self._lost_here = True
        # A canary that is lost ends the run: the next try is another run's, if there is one.
        self._stopped |= canary
        request = self._request
        self._evidence.note_crash(request.fingerprint, self._origin, life, trial=canary)
        return True

    @property
    def barred_s(self) -> float:
        """Return for how long no gateway sends the request; 0 for one that is not barred."""
        if self._evidence.is_calm:
            return 0.0
        return self._evidence.judge(self._request.fingerprint, self._origin).barred_s

    @property
    def _origin(self) -> bytes:
        return self._request.origin(self._route.name)

    def _standing(self) -> Standing:
        return self._evidence.judge(self._request.fingerprint, self._origin).standing
