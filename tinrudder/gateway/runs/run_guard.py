"""Limits what a run may send after back ends have crashed while running its request.

Owns the crash state of one run: calls in progress, lost calls, whether a back end has answered.
Other tries of the same request are known from the evidence shared by all gateways
(:class:`CrashEvidence`).
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol

from tinrudder.gateway.decisions.admission.poison_requests import RequestStanding, Standing
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.runs.request_bytes import RequestBytes

SECOND_CANARY_SHARE = 0.3
"""Share of the route's objective after which a second canary may be sent, since the back end of the
first may be stalled.  Leaves most of the objective to the other shards."""
POISON_REFUSAL = "back ends crashed under this request: it is not sent again"
"""Reason given for shards that are not called because the request crashes back ends."""


class Permission(Enum):
    """Whether another call may be sent.  ``HOLD``: not now.  ``STOP``: never."""

    SEND = auto()
    HOLD = auto()
    STOP = auto()


class CrashEvidence(Protocol):
    """The fleet's evidence about requests that crash back ends, as far as a run uses it."""

    @property
    def has_no_evidence(self) -> bool:
        """Whether there is no evidence against any request."""

    def assess(self, fingerprint: bytes, origin: bytes) -> RequestStanding:
        """Return whether a request may be sent now, and how."""

    def note_crash(
        self, fingerprint: bytes, origin: bytes, incarnation_id: str, *, trial: bool
    ) -> None:
        """Record that a back end was lost while it was running a request."""

    def withdraw_crash(self, fingerprint: bytes, incarnation_id: str) -> None:
        """Revoke a crash: the back end is still running."""

    def note_answer(self, fingerprint: bytes) -> None:
        """Clear a request that a back end has answered."""

    def note_alive(self, incarnation_id: str, sent_at: float) -> None:
        """Record that a back end has answered a call that was sent at ``sent_at``."""

    def begin_trial(self, fingerprint: bytes) -> None:
        """Begin a trial of a request here, which keeps other gateways from starting one."""


class RunGuard:
    """Tracks the calls of one run, and restricts them once back ends have crashed.

    Every run needs a guard, even if there is no evidence against its request.  A run may send
    freely until a call is lost with its connection before any back end has answered.  From then on,
    one call is in progress at a time until the first answer.  If other tries of the same request
    lost back ends, this holds from the start.  So a poison request that reaches one back end of
    each of 20 shards does not reach the second one of any shard.

    :ivar answered: whether a back end has answered, so that the request is not poison.
    """

    def __init__(self, evidence: CrashEvidence, request: RequestBytes, route: Route) -> None:
        """Start a guard for a run of ``request`` on ``route``."""
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
    def is_unrestricted(self) -> bool:
        """Whether all shards may be called at the same time."""
        if self.answered or (not self._lost_here and self._evidence.has_no_evidence):
            return True
        return not self._stopped and self._standing() is Standing.FREE

    @property
    def is_stopped(self) -> bool:
        """Whether the run may send nothing more."""
        if self.answered or self._evidence.has_no_evidence:
            return False
        return self._stopped or self._standing() is Standing.BARRED

    def permission(self, now: float) -> Permission:
        """Return whether one more call may be sent now."""
        # Fast path for nearly every call: repeats the first test of the property inline.  The
        # checks of a call take 1.1 us this way, and 0.7 us after the first answer; through the
        # property, 2.8 and 1.8 us.
        if self.answered or (not self._lost_here and self._evidence.has_no_evidence):
            return Permission.SEND
        if self.is_unrestricted:
            return Permission.SEND
        if self.is_stopped:
            return Permission.STOP
        if self._standing() is Standing.ON_TRIAL and not self._on_trial_here:
            return Permission.HOLD
        second_canary_s = SECOND_CANARY_SHARE * self._route.objective_s
        waited = self._in_progress == 1 and now - self._last_sent_at >= second_canary_s
        return Permission.SEND if not self._in_progress or waited else Permission.HOLD

    def note_sent(self, now: float) -> bool:
        """Count a call that is being sent, and return whether it is a canary."""
        self._in_progress += 1
        self._last_sent_at = now
        if self.answered or self.is_unrestricted:
            return False
        self._on_trial_here = True
        self._evidence.begin_trial(self._request.fingerprint)
        return True

    def note_answered(self, incarnation_id: str, sent_at: float) -> None:
        """Record an answer of any status: the back end has survived the request.

        :param incarnation_id: identifies one incarnation of the back end.
        :param sent_at: when the call was sent.
        """
        self._in_progress -= 1
        self.answered = True
        if not self._evidence.has_no_evidence:
            self._evidence.note_answer(self._request.fingerprint)
            self._evidence.note_alive(incarnation_id, sent_at)

    def note_answered_elsewhere(self) -> None:
        """Record that back ends have answered other gateways, which inform the fleet themselves."""
        self.answered = True

    def note_unanswered(self) -> None:
        """Record the end of a call that neither clears nor incriminates the request."""
        self._in_progress -= 1

    def note_crash(self, incarnation_id: str, *, canary: bool) -> bool:
        """Record a call that was lost with its connection; return whether it counts as a crash.

        Once a back end has answered in this run, the request is not what crashed another one.

        :param incarnation_id: identifies one incarnation of the back end.
        """
        self._in_progress -= 1
        if self.answered:
            return False
        self._lost_here = True
        # A lost canary ends the run; only another run may try the request again.
        self._stopped |= canary
        request = self._request
        self._evidence.note_crash(request.fingerprint, self._origin, incarnation_id, trial=canary)
        return True

    @property
    def barred_s(self) -> float:
        """Seconds for which every gateway refuses the request; 0 if it is not barred."""
        if self._evidence.has_no_evidence:
            return 0.0
        return self._evidence.assess(self._request.fingerprint, self._origin).barred_s

    @property
    def _origin(self) -> bytes:
        return self._request.origin(self._route.name)

    def _standing(self) -> Standing:
        return self._evidence.assess(self._request.fingerprint, self._origin).standing
