"""One connection to a back end: resets, unexpected bytes, withdrawn calls and unsent requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from tinrudder.gateway.backends.upstream_connection import UpstreamConnection, accept_any_answer
from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.model.http_messages import Answered, Broken, CallOutcome, UpstreamCall

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class FakeTransport(asyncio.Transport):
    """Records what was written and whether the connection was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.dropped = False
        self.unsent = 0

    def write(self, data: bytes) -> None:  # type: ignore[override]
        self.written += data

    def abort(self) -> None:
        self.dropped = True

    def is_closing(self) -> bool:
        return self.dropped

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        assert high == 0


class ConnectionHarness:
    """A connection, its transport and the outcomes of its calls."""

    def __init__(self) -> None:
        self.freed: list[UpstreamConnection] = []
        self.closed: list[UpstreamConnection] = []
        self.outcomes: list[CallOutcome] = []
        self.memory = MemoryAccount()
        self.was_paused = False
        self.connection = UpstreamConnection(
            accept_any_answer,
            self.freed.append,
            self.closed.append,
            self.memory,
            lambda since: self.was_paused,
        )
        self.transport = FakeTransport()
        self.connection.connection_made(self.transport)

    def send(self, data: bytes | None = b"GET / HTTP/1.1\r\n\r\n") -> bool:
        return self.connection.send(UpstreamCall(lambda: data, b"r1", self.outcomes.append, 1e9))


def in_loop(check: Callable[[ConnectionHarness], None]) -> None:
    async def run() -> None:
        check(ConnectionHarness())

    asyncio.run(run())


def test_a_whole_answer_frees_the_connection() -> None:
    def check(harness: ConnectionHarness) -> None:
        harness.send()
        harness.connection.data_received(ANSWER)
        assert isinstance(harness.outcomes[0], Answered)
        assert harness.freed == [harness.connection]

    in_loop(check)


@pytest.mark.parametrize("part", [b"", b"HTTP/1.1 200 OK\r\n\r\nab", ANSWER[:-1]])
def test_a_reset_answer_is_broken_even_without_a_length(part: bytes) -> None:
    def check(harness: ConnectionHarness) -> None:
        harness.send()
        if part:
            harness.connection.data_received(part)
        harness.connection.connection_lost(ConnectionResetError())
        assert isinstance(harness.outcomes[0], Broken)
        assert harness.freed == []

    in_loop(check)


def test_an_orderly_end_completes_an_answer_without_a_length() -> None:
    def check(harness: ConnectionHarness) -> None:
        harness.send()
        harness.connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nab")
        harness.connection.eof_received()
        outcome = harness.outcomes[0]
        assert isinstance(outcome, Answered)
        assert outcome.answer.body == b"ab"
        assert harness.transport.dropped

    in_loop(check)


def test_bytes_without_a_call_close_the_connection() -> None:
    def check(harness: ConnectionHarness) -> None:
        harness.send()
        harness.connection.data_received(ANSWER)
        harness.connection.data_received(ANSWER)
        assert harness.transport.dropped
        assert not harness.connection.is_usable()
        assert len(harness.outcomes) == 1

    in_loop(check)


def test_an_answer_before_the_whole_request_left_closes_the_connection() -> None:
    def check(harness: ConnectionHarness) -> None:
        harness.send()
        harness.transport.unsent = 10
        harness.connection.data_received(ANSWER)
        assert isinstance(harness.outcomes[0], Answered)
        assert harness.transport.dropped
        assert harness.freed == []

    in_loop(check)


def test_a_withdrawn_call_writes_nothing() -> None:
    def check(harness: ConnectionHarness) -> None:
        assert not harness.send(None)
        assert harness.transport.written == b""
        assert harness.connection.is_usable()

    in_loop(check)


def test_a_connection_is_left_before_the_server_closes_it() -> None:
    def check(harness: ConnectionHarness) -> None:
        harness.send()
        harness.connection.data_received(
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=0\r\n\r\n"
        )
        assert not harness.connection.is_usable()

    in_loop(check)


@pytest.mark.parametrize(
    ("received", "error", "unanswered"),
    [
        (b"", None, True),
        (b"", ConnectionResetError("reset by peer"), True),
        (b"", TimeoutError("the kernel gave up"), False),
        (ANSWER[:20], ConnectionResetError("reset by peer"), False),
    ],
)
def test_a_connection_lost_before_any_byte_of_an_answer_is_distinguished(
    received: bytes, error: Exception | None, unanswered: bool
) -> None:
    def check(harness: ConnectionHarness) -> None:
        harness.send()
        if received:
            harness.connection.data_received(received)
        harness.connection.connection_lost(error)
        [outcome] = harness.outcomes
        assert isinstance(outcome, Broken)
        assert outcome.unanswered is unanswered

    in_loop(check)


@pytest.mark.parametrize(("received", "unanswered"), [(b"", True), (ANSWER[:20], False)])
def test_an_orderly_end_before_any_byte_of_an_answer_is_distinguished(
    received: bytes, unanswered: bool
) -> None:
    def check(harness: ConnectionHarness) -> None:
        harness.send()
        if received:
            harness.connection.data_received(received)
        harness.connection.eof_received()
        assert harness.outcomes == [Broken("the connection ended inside the answer", unanswered)]

    in_loop(check)


def test_a_connection_lost_while_this_process_was_paused_blames_nobody() -> None:
    def check(harness: ConnectionHarness) -> None:
        harness.was_paused = True
        harness.send()
        harness.connection.connection_lost(ConnectionResetError("reset by peer"))
        [outcome] = harness.outcomes
        assert isinstance(outcome, Broken)
        assert outcome.stood_still
        assert not outcome.unanswered

    in_loop(check)


def test_a_partly_sent_request_is_not_the_cause_of_a_back_end_crash() -> None:
    def check(harness: ConnectionHarness) -> None:
        harness.send()
        harness.transport.unsent = 10
        harness.connection.pause_writing()
        assert harness.memory.backends == 10
        harness.transport.unsent = 0
        harness.connection.connection_lost(ConnectionResetError("reset by peer"))
        [outcome] = harness.outcomes
        assert isinstance(outcome, Broken)
        assert not outcome.unanswered
        assert harness.memory.backends == 0

    in_loop(check)


def test_an_answer_that_comes_in_parts_is_counted_until_it_is_whole() -> None:
    def check(harness: ConnectionHarness) -> None:
        harness.send()
        harness.connection.data_received(ANSWER[:-1])
        assert harness.memory.backends == 1
        harness.connection.data_received(ANSWER[-1:])
        assert isinstance(harness.outcomes[0], Answered)
        assert harness.memory.backends == 0

    in_loop(check)
