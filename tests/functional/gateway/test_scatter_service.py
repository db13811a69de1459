"""A delegated scatter that ends at the moment when the delegating gateway cancels it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import NoAnswer, RequestOutcome
from tinrudder.gateway.peers.peer_messages import ScatterRequest
from tinrudder_lab.emulator.site import SITE_HOST, EmulatedSite, run_site


class ManualRun:
    """A run that the test ends."""

    def __init__(self, on_outcome: Callable[[RequestOutcome], None]) -> None:
        self.end = on_outcome
        self.abandoned = False

    def start(self) -> None:
        pass

    def abandon(self) -> None:
        self.abandoned = True


def test_a_run_that_ends_as_its_entry_gives_it_up_disturbs_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The outcome was set on a cancelled future.  The error interrupted the connection pool while
    it was failing all calls of a lost connection; the remaining ones waited for their deadline."""
    runs: list[ManualRun] = []

    async def scenario(site: EmulatedSite) -> None:
        gateway = site.nodes[0].gateway
        assert gateway is not None

        def run(route: Any, scatter: Any, deadlines: Any, on_outcome: Any) -> ManualRun:
            runs.append(ManualRun(on_outcome))
            return runs[-1]

        monkeypatch.setattr(gateway.requests.delegation_service, "_run", run)
        headers = ((b"host", SITE_HOST.encode()), (b"tinrudder-request-id", b"r"))
        request = HttpRequest(b"GET", b"/all/1", headers, b"")
        scatter = ScatterRequest(request, b"r", 0.2, 2.0, False, 0)
        serving = asyncio.create_task(gateway.requests.delegation_service.serve(scatter))
        await asyncio.sleep(0.01)
        serving.cancel()
        runs[0].end(NoAnswer("every call failed"))
        with pytest.raises(asyncio.CancelledError):
            await serving
        assert runs[0].abandoned
        assert gateway.requests.delegation_service.in_progress == 0

    run_site(scenario)
