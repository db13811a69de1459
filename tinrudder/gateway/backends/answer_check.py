"""Tells a back end's answer to a call from a rejection and from bytes that answer something else.

Owns nothing. An answer counts only if it names the request and, where it succeeded, carries the
stamp of what it was answered from; whatever else arrives must never reach a client.
"""

from __future__ import annotations

from tinrudder.gateway.model.configuration import HeaderNames
from tinrudder.gateway.model.http_messages import (
    Answered,
    Broken,
    CallOutcome,
    HttpAnswer,
    Rejected,
    UpstreamCall,
    header_value,
)

WRONG_BACKEND_STATUS = 421
"""Misdirected Request (RFC 9110): something else listens at the address now."""


class AnswerCheck:
    """Judges answers by the names that the platform gives its headers."""

    def __init__(self, names: HeaderNames) -> None:
        self._names = names

    def check(self, call: UpstreamCall, answer: HttpAnswer) -> CallOutcome:
        """Return what an answer makes of its call."""
        names = self._names
        if header_value(answer.headers, names.request_id) != call.request_id:
            return Broken("the answer names another request")
        if answer.status == WRONG_BACKEND_STATUS:
            return Rejected(answer.status, wrong_backend=True)
        if header_value(answer.headers, names.not_run) is not None:
            return Rejected(answer.status, load=header_value(answer.headers, names.load))
        if answer.successful:
            if header_value(answer.headers, names.stamp) is None:
                return Broken("a success without a signature")
            if header_value(answer.headers, b"content-encoding") is not None:
                return Broken("an encoded body was not asked for")
        return Answered(answer)
