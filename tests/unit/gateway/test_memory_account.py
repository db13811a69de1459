"""The memory account: its bounds, and that it returns to zero after any sequence of events.

Guards against bytes that stay counted when a connection ends part way through a request or answer:
such a leak would make the gateway refuse requests although its memory is free.
"""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.slow_clients import ThrottledTransport
from tinrudder.gateway.backends.upstream_connection import UpstreamConnection, accept_any_answer
from tinrudder.gateway.clients.client_connection import ClientConnection
from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.decisions.admission.memory_bound import (
    IDLE_PROCESS_BYTES,
    MIN_ACCOUNT_BYTES,
    account_bytes,
    refusal_fill,
)
from tinrudder.gateway.model.configuration import ClientLimits
from tinrudder.gateway.model.http_messages import HttpRequest, UpstreamCall
from tinrudder.gateway.model.outcomes import FinalAnswer

REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n" + b"x" * 20
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + b"y" * 30


class ManualHandler:
    """Answers when the test calls for it."""

    closing = False

    def __init__(self) -> None:
        self.limits = ClientLimits(max_header_bytes=200, max_body_bytes=50)
        self.open: list[ClientConnection] = []

    def handle(self, request: HttpRequest, connection: ClientConnection) -> ManualHandler:
        self.open.append(connection)
        return self

    def abandon(self) -> None:
        self.open.clear()


class ClientHarness:
    """One client connection and the events that can happen to it."""

    def __init__(self, bound: float) -> None:
        self.account = MemoryAccount(bound)
        self.handler = ManualHandler()
        self.connection = ClientConnection(self.handler, set(), self.account)
        self.transport = ThrottledTransport(self.connection)
        self.connection.connection_made(self.transport)
        self._stream = REQUEST * 40

    def send(self, size: int) -> None:
        if self.transport.reading:
            self.connection.data_received(self._stream[:size])
            self._stream = self._stream[size:]

    def garbage(self, _: int) -> None:
        if self.transport.reading:
            self.connection.data_received(b"\x00\r\n\r\n")

    def room(self, size: int) -> None:
        self.transport.capacity += size

    def take(self, size: int) -> None:
        self.transport.drain(size)

    def look(self, _: int) -> None:
        self.connection._check_pause()

    def answer(self, _: int) -> None:
        if self.handler.open:
            self.handler.open.pop(0).answer(FinalAnswer(200, b"OK", (), b"z" * 50))

    def leave(self, _: int) -> None:
        self.transport.abort()


class BackendHarness:
    """One connection to a back end and the events that can happen to it."""

    def __init__(self) -> None:
        self.account = MemoryAccount(1000.0)
        self.connection = UpstreamConnection(
            accept_any_answer, lambda one: None, lambda one: None, self.account
        )
        self.transport = ThrottledTransport(self.connection)
        self.connection.connection_made(self.transport)
        self._stream = ANSWER * 40

    def call(self, size: int) -> None:
        if self.connection.is_usable():
            call = UpstreamCall(lambda: b"x" * size, b"r", lambda outcome: None, 1e9)
            self.connection.send(call)

    def arrive(self, size: int) -> None:
        self.connection.data_received(self._stream[:size])
        self._stream = self._stream[size:]

    def room(self, size: int) -> None:
        self.transport.capacity += size

    def take(self, size: int) -> None:
        self.transport.drain(size)

    def eof(self, _: int) -> None:
        self.connection.eof_received()

    def cancel(self, _: int) -> None:
        self.connection.abort()

    def leave(self, _: int) -> None:
        self.transport.abort()


def events_of(*names: str) -> st.SearchStrategy[list[tuple[str, int]]]:
    return st.lists(st.tuples(st.sampled_from(names), st.integers(1, 60)), max_size=40)


async def apply_events(
    harness: ClientHarness | BackendHarness, events: list[tuple[str, int]]
) -> None:
    """Apply events until the connection has ended, then end it."""
    for event, size in events:
        if harness.transport.closed:
            break
        getattr(harness, event)(size)
        account = harness.account
        assert account.clients + account.backends >= harness.transport.unsent
        await asyncio.sleep(0)
    harness.transport.abort()
    assert (harness.account.clients, harness.account.backends) == (0, 0)


@settings(max_examples=200, deadline=None)
@given(
    events_of("send", "send", "room", "take", "answer", "look", "garbage", "leave"),
    st.sampled_from([float("inf"), 60.0]),
)
def test_nothing_is_held_for_a_client_that_is_gone(
    events: list[tuple[str, int]], bound: float
) -> None:
    async def run() -> None:
        await apply_events(ClientHarness(bound), events)

    asyncio.run(run())


@settings(max_examples=200, deadline=None)
@given(events_of("call", "arrive", "room", "take", "eof", "cancel", "leave"))
def test_nothing_is_held_for_a_back_end_whose_connection_is_gone(
    events: list[tuple[str, int]],
) -> None:
    async def run() -> None:
        await apply_events(BackendHarness(), events)

    asyncio.run(run())


@given(st.floats(1.0, 10_000.0))
def test_the_bound_leaves_room_for_the_process_itself(memory_mb: float) -> None:
    bound = account_bytes(memory_mb)
    assert bound >= MIN_ACCOUNT_BYTES
    assert bound < max(MIN_ACCOUNT_BYTES + 1.0, memory_mb * 1e6 - IDLE_PROCESS_BYTES)


def test_a_process_without_room_for_anything_refuses_all() -> None:
    account = MemoryAccount(0.0)
    assert account.is_full
    assert account.refusal(0) is not None


@given(st.integers(0, 20), st.integers(0, 2_000_000), st.integers(0, 2_000_000))
def test_a_less_urgent_request_is_refused_no_later(steps: int, clients: int, peers: int) -> None:
    account = MemoryAccount(1_000_000.0, count_peers=lambda: peers)
    account.refresh_peers()
    account.clients = clients
    refused = account.refusal(steps) is not None
    assert refused == ((clients + peers) / 1e6 >= refusal_fill(steps))
    assert not refused or account.refusal(steps + 1) is not None
