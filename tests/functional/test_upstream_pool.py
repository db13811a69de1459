"""Connections to one server: what a failed attempt to connect is called."""

from __future__ import annotations

import asyncio

import pytest

from tinrudder.gateway import upstream_pool
from tinrudder.gateway.messages import CallOutcome, NotSent, UpstreamCall
from tinrudder.gateway.model import Address
from tinrudder.gateway.upstream_connection import accept_any_answer
from tinrudder.gateway.upstream_pool import UpstreamPool


def test_an_attempt_to_connect_that_hangs_is_told_as_timed_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream_pool, "CONNECT_TIMEOUT_S", 0.01)

    async def run() -> CallOutcome:
        loop = asyncio.get_running_loop()
        outcome: asyncio.Future[CallOutcome] = loop.create_future()

        async def hang(*_: object) -> None:
            await asyncio.sleep(60.0)

        monkeypatch.setattr(loop, "create_connection", hang)
        pool = UpstreamPool(Address("127.0.0.1", 9), accept_any_answer, lambda: None)
        pool.start(UpstreamCall(lambda: b"", b"r", outcome.set_result, loop.time() + 60.0))
        return await outcome

    assert asyncio.run(run()) == NotSent("connect: timed out")
