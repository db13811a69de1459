"""Slow clients, requests without room in memory, and back-end connections cut during a pause.

Guards against clients that do not read: their answers fill the gateway's memory, so that requests
of other clients are refused or a planned stop is delayed.
"""

from __future__ import annotations

import asyncio
import gc

import pytest

from tests.support.slow_clients import connect, connect_paced, run_served
from tinrudder.gateway.backends.answer_reader import AnswerReader, ReadState
from tinrudder.gateway.clients.answer_progress import (
    UNREAD_TIMEOUT_FULL_S,
    UNREAD_TIMEOUT_PRESSURE_S,
    UNREAD_TIMEOUT_S,
)
from tinrudder.gateway.clients.client_connection import (
    BODY_WAIT_TIMEOUT_S,
    PAUSE_CHECK_INTERVAL_S,
    ClientConnection,
)
from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.clients.plain_answers import FixedAnswerHandler, text_answer
from tinrudder.gateway.model.configuration import ClientLimits
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import FinalAnswer
from tinrudder.gateway.runs.shard_calls import ShardCalls
from tinrudder_lab.emulator.backend import Fault
from tinrudder_lab.emulator.site import CLIENT_PORT, GRACE_S, EmulatedSite, run_site

GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE_BODY_BYTES = 400_000
SOCKET_BUFFER_BYTES = 2 * 65536
"""Bytes that the in-memory connection and the client's buffer hold without any reader."""
SHORT_WAIT_S = 0.01


class CountingHandler(FixedAnswerHandler):
    """Answers immediately and counts the requests."""

    def __init__(self, size: int) -> None:
        super().__init__(lambda: text_answer(b"x" * size))
        self.served = 0

    def handle(self, request: HttpRequest, connection: ClientConnection) -> FixedAnswerHandler:
        self.served += 1
        return super().handle(request, connection)


class HoldingHandler(FixedAnswerHandler):
    """Answers when the test calls for it."""

    def __init__(self) -> None:
        super().__init__(lambda: text_answer(b""))
        self.limits = ClientLimits(header_timeout_s=2.0)
        self.waiting: list[ClientConnection] = []

    def handle(self, request: HttpRequest, connection: ClientConnection) -> FixedAnswerHandler:
        self.waiting.append(connection)
        return self

    def abandon(self) -> None:
        self.waiting.clear()


def test_a_client_that_reads_nothing_is_disconnected_without_affecting_others() -> None:
    async def scenario(account: MemoryAccount, connections: set[ClientConnection]) -> None:
        silent = await connect(GET)
        await asyncio.sleep(UNREAD_TIMEOUT_S - PAUSE_CHECK_INTERVAL_S)
        assert LARGE_BODY_BYTES - SOCKET_BUFFER_BYTES <= account.clients <= LARGE_BODY_BYTES
        reader, other = await connect(GET)
        assert (await reader.readexactly(LARGE_BODY_BYTES))[:12] == b"HTTP/1.1 200"
        other.close()
        await asyncio.sleep(3 * PAUSE_CHECK_INTERVAL_S)
        assert account.clients == 0
        assert account.ended_unread == 1
        assert not connections
        silent[1].close()

    run_served(FixedAnswerHandler(lambda: text_answer(b"x" * LARGE_BODY_BYTES)), scenario)


@pytest.mark.parametrize(
    ("bound", "ends_after_s"),
    [(400_000.0, UNREAD_TIMEOUT_PRESSURE_S), (200_000.0, UNREAD_TIMEOUT_FULL_S)],
)
def test_near_the_bound_unread_answers_are_dropped_sooner(
    bound: float, ends_after_s: float
) -> None:
    async def scenario(account: MemoryAccount, _: set[ClientConnection]) -> None:
        silent = await connect(GET)
        await asyncio.sleep(ends_after_s - PAUSE_CHECK_INTERVAL_S)
        assert account.clients >= LARGE_BODY_BYTES - SOCKET_BUFFER_BYTES
        await asyncio.sleep(3 * PAUSE_CHECK_INTERVAL_S)
        assert account.clients == 0
        silent[1].close()

    run_served(FixedAnswerHandler(lambda: text_answer(b"x" * LARGE_BODY_BYTES)), scenario, bound)


def test_a_slow_but_steady_reader_gets_its_whole_answer() -> None:
    async def scenario(account: MemoryAccount, _: set[ClientConnection]) -> None:
        client = await connect_paced(GET, 1024, 1.0)
        while len(client.received) < LARGE_BODY_BYTES and not client.ended:
            await asyncio.sleep(10.0)
        assert len(client.received) > LARGE_BODY_BYTES
        assert account.clients == 0
        assert account.ended_unread == 0

    run_served(FixedAnswerHandler(lambda: text_answer(b"x" * LARGE_BODY_BYTES)), scenario)


def test_no_more_requests_are_read_from_a_client_that_does_not_read() -> None:
    async def scenario(account: MemoryAccount, connections: set[ClientConnection]) -> None:
        _reader, writer = await connect(GET * 4)
        for _ in range(20):
            await asyncio.sleep(SHORT_WAIT_S)
            writer.write(GET)
        assert handler.served == 1
        assert account.clients <= LARGE_BODY_BYTES + 4 * len(GET)
        assert len(connections) == 1

    handler = CountingHandler(LARGE_BODY_BYTES)
    run_served(handler, scenario)


def test_serving_resumes_once_the_client_has_read_its_answer() -> None:
    async def scenario(account: MemoryAccount, _: set[ClientConnection]) -> None:
        reader, _writer = await connect(GET * 8)
        await asyncio.sleep(UNREAD_TIMEOUT_S / 2)
        for _ in range(8):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            await reader.readexactly(LARGE_BODY_BYTES)
        assert account.clients == 0

    run_served(FixedAnswerHandler(lambda: text_answer(b"x" * LARGE_BODY_BYTES)), scenario)


def test_a_planned_stop_is_not_held_up_by_a_client_that_does_not_read() -> None:
    async def scenario(site: EmulatedSite) -> None:
        site.answer_record_count = lambda request: LARGE_BODY_BYTES // 16
        request = site.request("single")
        _reader, writer = await asyncio.open_connection(site.nodes[0].host, CLIENT_PORT, limit=1024)
        writer.write(request.encode())
        await asyncio.sleep(0.5)
        gateway = site.nodes[0].gateway
        assert gateway is not None
        assert gateway.process.memory.clients > LARGE_BODY_BYTES - SOCKET_BUFFER_BYTES
        gateway.request_stop()
        await asyncio.sleep(max(UNREAD_TIMEOUT_PRESSURE_S, GRACE_S / 2) + 1.0)
        assert gateway.process.lifecycle.state == "stopped"
        assert gateway.process.memory.ended_unread == 1

    run_site(scenario)


def test_near_the_bound_the_less_urgent_is_refused_first_and_has_not_run() -> None:
    async def scenario(site: EmulatedSite) -> None:
        gateway = site.nodes[0].gateway
        assert gateway is not None
        gateway.process.memory.bound = 1_000_000.0
        gateway.process.memory._near = 1.0
        statuses: dict[str, list[int]] = {"scatter": [], "single": []}
        for held in (0, 800_000, 900_000, 1_000_000, 0):
            gateway.process.memory.clients += held
            for route, seen in statuses.items():
                result = await site.send(route)
                seen.append(result.status)
                if result.status == 503:
                    assert 0.1 <= float(result.headers["retry-after"]) <= 1.0
            gateway.process.memory.clients -= held
        # The scatter's priority is the more urgent one.
        assert statuses == {
            "scatter": [200, 200, 200, 503, 200],
            "single": [200, 200, 503, 503, 200],
        }
        assert gateway.process.memory.refused == 3
        assert gateway.process.memory.clients == 0
        assert site.contract_violations() == []

    run_site(scenario, node_count=1)


@pytest.mark.parametrize("room_after_s", [BODY_WAIT_TIMEOUT_S / 2, None])
def test_a_body_without_room_waits_a_little_and_is_refused(room_after_s: float | None) -> None:
    async def scenario(account: MemoryAccount, connections: set[ClientConnection]) -> None:
        account.backends = 80_000
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
        reader, writer = await connect(head + b"x" * 50_000)
        if room_after_s is not None:
            await asyncio.sleep(room_after_s)
            account.backends = 0
            writer.write(b"x" * 50_000)
        else:
            await asyncio.sleep(BODY_WAIT_TIMEOUT_S + 2 * PAUSE_CHECK_INTERVAL_S)
        answer = await reader.readuntil(b"\r\n\r\n")
        if room_after_s is not None:
            assert answer.startswith(b"HTTP/1.1 200")
        else:
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"retry-after: 0.3" in answer
            assert account.refused == 1
        writer.close()
        await asyncio.sleep(2.0)
        assert account.clients == 0
        assert not connections

    run_served(FixedAnswerHandler(lambda: text_answer(b"ok")), scenario, bound=150_000.0)


def test_a_reading_pause_does_not_count_towards_the_header_timeout() -> None:
    async def scenario(account: MemoryAccount, _: set[ClientConnection]) -> None:
        # While the first request is in progress, the body of the second waits for memory longer
        # than the header timeout.
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"
        reader, writer = await connect(GET)
        await asyncio.sleep(SHORT_WAIT_S)
        account.backends = 99_000
        writer.write(head + b"x" * 10_000)
        await asyncio.sleep(handler.limits.header_timeout_s + 1.0)
        account.backends = 0
        handler.waiting.pop().answer(FinalAnswer(200, b"OK", (), b""))
        await asyncio.sleep(1.0)
        writer.write(b"x" * 10_000)
        await asyncio.sleep(SHORT_WAIT_S)
        handler.waiting.pop().answer(FinalAnswer(200, b"OK", (), b""))
        for _ in range(2):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        assert account.clients == 0

    handler = HoldingHandler()
    run_served(handler, scenario, bound=100_000.0)


def test_every_account_is_empty_after_troubled_traffic() -> None:
    async def scenario(site: EmulatedSite) -> None:
        site.answer_record_count = lambda request: site.random.choice((6, 3_000, 20_000))
        traffic = asyncio.create_task(site.traffic(4.0, 40.0, ("scatter", "single", "once")))
        for disconnects_after_s in (0.01, 0.02, 0.05, 0.1):
            for node in range(3):
                await site.send("scatter", node, disconnects_after_s=disconnects_after_s)
        await asyncio.sleep(1.0)
        site.crash_backend("single-0")
        await traffic
        await asyncio.sleep(2.0)
        for node in site.nodes:
            assert node.gateway is not None
            account = node.gateway.process.memory
            assert (account.clients, account.backends) == (0, 0)

    run_site(scenario)


@pytest.mark.parametrize("stood_still_s", [0.0, 3.0])
def test_connections_lost_while_this_process_was_paused_blame_nobody(
    stood_still_s: float,
) -> None:
    async def scenario(site: EmulatedSite) -> None:
        gateway = site.nodes[0].gateway
        assert gateway is not None
        for backend in site.backends.values():
            backend.choose_fault = lambda: Fault.CLOSED
        sending = asyncio.create_task(site.send("single"))
        await asyncio.sleep(SHORT_WAIT_S)
        # As if the process had not run for some time up to now.
        gateway.process.pause._recorded_at -= stood_still_s
        await sending
        backends = gateway.backends.directory.usable("single")
        assert any(one.observations.failures for one in backends) == (not stood_still_s)
        assert (len(gateway.backends.poison_watch.requests) > 0) == (not stood_still_s)
        assert not any(one.observations.running for one in backends)

    run_site(scenario, node_count=1)


@pytest.mark.parametrize("route", ["single", "scatter"])
def test_memory_of_a_request_is_freed_without_garbage_collection(route: str) -> None:
    async def scenario(site: EmulatedSite) -> None:
        gc.collect()
        gc.disable()
        try:
            for _ in range(5):
                assert (await site.send(route)).status == 200
            await asyncio.sleep(1.0)
            objects = gc.get_objects()
            readers = [one for one in objects if isinstance(one, AnswerReader)]
            retained: list[object] = [one for one in readers if one.state is not ReadState.READING]
            # The emulator's timers may keep a run alive; it must hold no answer then.
            shard_calls = [one for one in objects if isinstance(one, ShardCalls)]
            retained += [one for one in shard_calls if one.part is not None and one.part.body]
        finally:
            gc.enable()
        assert retained == []

    run_site(scenario)


def test_a_call_that_fails_after_its_request_has_ended_is_not_sent_again() -> None:
    async def scenario(site: EmulatedSite) -> None:
        slow_backend = site.backends["shard-0-0"]
        slow_backend.pause(0.35)
        slow_backend.choose_fault = lambda: Fault.CLOSED
        result = await site.send("scatter")
        assert result.status == 200
        assert result.headers["tinrudder-missing-parts"] == "1"
        await asyncio.sleep(1.0)
        assert len([one for one in site.ledger.arrivals if one.service == "shard-0"]) == 1

    run_site(scenario, node_count=1, copies=1)
