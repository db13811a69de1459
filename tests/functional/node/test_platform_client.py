"""The platform's client and writer with the lab's platform over a real socket."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest
import uvicorn

from tests.support.documents import document, tenant
from tinrudder.node.configuration_service import client as client_module
from tinrudder.node.configuration_service.client import PlatformClient
from tinrudder.node.configuration_service.messages import (
    MemberList,
    PlatformMember,
    PlatformUnavailableError,
)
from tinrudder.node.configuration_service.writer import (
    PlatformWriteError,
    PlatformWriter,
    ResourceBatch,
    ResourceName,
    ResourceWrite,
)
from tinrudder_lab.platform_server import PlatformState, build_app

Scenario = Callable[[str, PlatformState], Awaitable[None]]


def run(scenario: Scenario) -> None:
    async def run_scenario() -> None:
        member = PlatformMember("n1", "z", "r", "127.0.0.1", 1)
        state = PlatformState(
            document(3, *(tenant(f"t{n}") for n in range(50))), MemberList(1, (member,))
        )
        config = uvicorn.Config(build_app(state), port=0, log_level="error", lifespan="off")
        server = uvicorn.Server(config)
        serving = asyncio.create_task(server.serve())
        while not server.started:
            await asyncio.sleep(0.001)
        port = server.servers[0].sockets[0].getsockname()[1]
        try:
            await scenario(f"http://127.0.0.1:{port}", state)
        finally:
            server.should_exit = True
            await serving

    asyncio.run(run_scenario())


def test_unchanged_resources_and_members_are_not_sent_again() -> None:
    async def scenario(url: str, state: PlatformState) -> None:
        client = PlatformClient(url)
        read = await client.fetch_resources(0)
        assert read is not None
        assert (read.revision, len(read.resources)) == (3, 50)
        assert await client.fetch_resources(3) is None
        first = await client.fetch_members()
        assert await client.fetch_members() is first
        state.replace_members(())
        assert (await client.fetch_members()).members == ()
        await client.close()

    run(scenario)


def test_an_oversized_answer_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(url: str, state: PlatformState) -> None:
        monkeypatch.setattr(client_module, "MAX_ANSWER_BYTES", 100)
        client = PlatformClient(url)
        with pytest.raises(PlatformUnavailableError, match="more than 100 bytes"):
            await client.fetch_resources(0)
        await client.close()

    run(scenario)


def test_a_batch_is_one_revision_and_a_repeated_batch_adds_none() -> None:
    async def scenario(url: str, state: PlatformState) -> None:
        writer = PlatformWriter(url)
        write = ResourceWrite("Tenant", "new", msgspec.Raw(b'{"weight":2}'))
        batch = ResourceBatch((write,), (ResourceName("Tenant", "t0"),))
        assert await writer.write(batch) == 4
        assert await writer.write(batch) == 4
        assert len(state.document.resources) == state.document.resource_count == 50
        await writer.close()
        with pytest.raises(PlatformWriteError):
            await PlatformWriter("http://127.0.0.1:1").write(batch)

    run(scenario)
