"""Sends a plain HTTP request to a server that is not a back end, such as the platform's store.

Owns no state. A pool provides the connection; every failure to get a complete answer raises the
same error.
"""

from __future__ import annotations

import asyncio

from tinrudder.gateway.backends.upstream_connection import UpstreamConnection
from tinrudder.gateway.backends.upstream_pool import UpstreamPool
from tinrudder.gateway.model.http_messages import Answered, CallOutcome, HttpAnswer, UpstreamCall

MAX_RECEIVE_EXTENSION_S = 2.5
"""How long after its timeout an answer that is still arriving is awaited, seconds: a configuration
of a thousand routes takes half a second over a slow link."""
STALL_TIMEOUT_S = 0.5
"""Seconds without a byte after which an answer counts as stalled."""


class FetchError(Exception):
    """No complete answer arrived."""


async def fetch(pool: UpstreamPool, request: bytes, timeout_s: float) -> HttpAnswer:
    """Send a request and wait for its complete answer.

    The request uses a new connection or one that received bytes a moment ago: on an idle connection
    whose network path is lost, the failure would show only at the timeout.

    :param timeout_s: time until the first byte of the answer; an answer that is arriving then is
        still awaited.
    :raises FetchError: no answer arrived in time; the connection is closed.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[CallOutcome] = loop.create_future()

    def on_outcome(outcome: CallOutcome) -> None:
        if not future.done():
            future.set_result(outcome)

    answer_due_at = loop.time() + timeout_s
    call = UpstreamCall(lambda: request, b"", on_outcome, answer_due_at, repeatable=False)
    pool.start(call)
    try:
        while not future.done():
            await asyncio.wait({future}, timeout=max(STALL_TIMEOUT_S, answer_due_at - loop.time()))
            now = loop.time()
            if not future.done() and not _is_arriving(call, now, answer_due_at):
                raise FetchError(
                    f"no answer in {timeout_s:.2f} s {_describe_connection(call, now)}"
                )
        outcome = future.result()
    finally:
        if not call.finished:
            pool.cancel(call)
    if isinstance(outcome, Answered):
        return outcome.answer
    raise FetchError(str(outcome))


def _is_arriving(call: UpstreamCall, now: float, answer_due_at: float) -> bool:
    """Whether bytes of the answer arrived within :data:`STALL_TIMEOUT_S`."""
    connection = call.carrier
    if not isinstance(connection, UpstreamConnection) or call.sent_at is None:
        return False
    has_begun = connection.last_received_at > call.sent_at
    return (
        has_begun
        and now - connection.last_received_at < STALL_TIMEOUT_S
        and now < answer_due_at + MAX_RECEIVE_EXTENSION_S
    )


def _describe_connection(call: UpstreamCall, now: float) -> str:
    """Describe the connection of a call without an answer, for the log.

    This distinguishes a silent server from a connection whose network path is lost: in the second
    case a call on a new connection is answered.
    """
    connection = call.carrier
    if not isinstance(connection, UpstreamConnection):
        return "without a connection"
    opened_s, received_s = now - connection.opened_at, now - connection.last_received_at
    return (
        f"over a connection opened {opened_s:.2f} s ago, last bytes received {received_s:.2f} s ago"
    )
