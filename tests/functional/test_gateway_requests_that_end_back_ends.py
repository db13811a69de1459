"""A request under which back ends end is not sent on again and again, by whatever gateway.

The story.  Users saw every seat listing fail for three seconds at a time, eleven times in a day:
all forty back ends of one service group ended within a tenth of a second, came back three seconds
later under new ids, and ended again.  Nothing else failed; services that the same machines ran for
other routes lost nothing.

The order of events.  A scatter reached one back end of each shard; each ended as soon as it worked
on it.  Every shard saw a connection that had ended, took that for the fault of one replica, and
sent the request to the other one, which ended as well.  The client asked again, at another gateway,
which knew nothing of that and did the same.

The cause.  A call that is lost with its connection was always held against the back end, never
against the request, and no gateway told another.  The evidence: with one line a lost call, all
lost calls of a wave bear one fingerprint, that of a request which never got an answer anywhere,
while the requests beside it got answers from the same back ends before and after.
"""

from __future__ import annotations

import asyncio

import pytest

from tinrudder_lab.emulator.http_server import ServedRequest
from tinrudder_lab.emulator.site import EmulatedSite, run_site

GATEWAYS = 8
SHARDS = 10
COMES_AGAIN_S = 1.5
MINUTE_S = 60.0
PATHS = {"scatter": "/all/ends-back-ends", "single": "/single/ends-back-ends"}


def ends_back_ends(request: ServedRequest) -> bool:
    return request.target.endswith("ends-back-ends")


async def come_again(site: EmulatedSite, route: str, seconds: float = MINUTE_S) -> None:
    """Let a client send the same request again and again, each time to another gateway."""
    site.ends_under = ends_back_ends
    end = site.loop.time() + seconds
    turn = 0
    while site.loop.time() < end:
        await site.send(route, turn % len(site.nodes), target=PATHS[route])
        turn += 1
        await asyncio.sleep(COMES_AGAIN_S)


@pytest.mark.parametrize("route", ["scatter", "single"])
def test_a_request_that_ends_back_ends_is_not_sent_again_once_that_is_known(route: str) -> None:
    async def scenario(site: EmulatedSite) -> None:
        beside = asyncio.create_task(site.traffic(MINUTE_S, 5.0, ("scatter", "single", "once")))
        await come_again(site, route)
        await beside
        assert len(site.ledger.requests_after_three_ends(PATHS[route])) <= 3
        assert site.broken_promises() == []

    run_site(scenario, node_count=GATEWAYS, shards=SHARDS)
