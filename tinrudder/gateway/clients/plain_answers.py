"""Serves fixed endpoints of this process, such as readiness and metrics.

Owns no state; a function supplies each answer.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.gateway.clients.client_connection import ClientConnection
from tinrudder.gateway.model.configuration import ClientLimits
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import REASONS, STATUS_UNAVAILABLE, FinalAnswer

STATUS_OK = 200
"""HTTP status (RFC 9110)."""


class FixedAnswerHandler:
    """Answers every request immediately with a function's result."""

    closing = False

    def __init__(self, answer: Callable[[], FinalAnswer]) -> None:
        """Call ``answer`` for every request."""
        self.limits = ClientLimits()
        self._answer = answer

    def handle(self, request: HttpRequest, connection: ClientConnection) -> FixedAnswerHandler:
        """Answer one request."""
        connection.answer(self._answer())
        return self

    def abandon(self) -> None:
        """Do nothing: every request is answered immediately."""


def readiness_answer(ready: bool) -> FinalAnswer:
    """Return 200 or 503."""
    status = STATUS_OK if ready else STATUS_UNAVAILABLE
    return FinalAnswer(status, REASONS[status], (), b"")


def text_answer(body: bytes) -> FinalAnswer:
    """Return a plain-text answer in the format of metrics."""
    return FinalAnswer(
        STATUS_OK, REASONS[STATUS_OK], ((b"content-type", b"text/plain; version=0.0.4"),), body
    )
