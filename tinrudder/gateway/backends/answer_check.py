"""Classifies a back end's answer to a call: valid, a rejection, or for another request.

Owns no state. An answer is valid only if it carries the request's id and, if successful, the
server's stamp header. Anything else must not reach a client.
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
"""HTTP status 421, Misdirected Request (RFC 9110): the address now belongs to another server."""


class AnswerCheck:
    """Validates answers by the platform's header names."""

    def __init__(self, names: HeaderNames) -> None:
        self._names = names

    def check(self, call: UpstreamCall, answer: HttpAnswer) -> CallOutcome:
        """Return the outcome of a call for a complete answer."""
        names = self._names
        if header_value(answer.headers, names.request_id) != call.request_id:
            return Broken("the answer has the id of another request")
        if answer.status == WRONG_BACKEND_STATUS:
            return Rejected(answer.status, wrong_backend=True)
        if header_value(answer.headers, names.not_run) is not None:
            return Rejected(answer.status, load=header_value(answer.headers, names.load))
        if answer.successful:
            if header_value(answer.headers, names.stamp) is None:
                return Broken("successful answer without the server stamp header")
            if header_value(answer.headers, b"content-encoding") is not None:
                return Broken("answer with a content encoding that was not requested")
        return Answered(answer)
