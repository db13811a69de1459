"""Scatter overload: what clients get from real gateways, in virtual time.

Guards against collapse: if all calls were sent at once, almost no scatter would be in time.
"""

from __future__ import annotations

import asyncio
from typing import Any

from tests.support.many_gateways import SETTLED_S, run_with_many_gateways
from tinrudder_lab.emulator.records import ClientResult
from tinrudder_lab.emulator.site import EmulatedSite, run_site

WORK_S = 0.04
CAPACITY_PER_S = 2 * 2 / (WORK_S * 1.06)
"""Scatters per second that two back ends of two slots run; the mean work is 1.06 times the median
``WORK_S``."""
OBJECTIVE_S = 0.2
URGENT = {"name": "urgent", "path_prefix": "/urgent/", "priority": 0}
SITE: dict[str, Any] = {"shards": 4, "work_s": WORK_S, "variants": (URGENT,)}


async def send_scatters(
    site: EmulatedSite, seconds: float, per_second: float, prefix: str = "all"
) -> list[ClientResult]:
    """Send scatters to random gateways as a Poisson process; return their results."""
    tasks = []
    end = site.loop.time() + seconds
    while site.loop.time() < end:
        await asyncio.sleep(site.random.expovariate(per_second))
        node = site.random.randrange(len(site.nodes))
        target = f"/{prefix}/{len(tasks)}"
        tasks.append(site.loop.create_task(site.send("scatter", node, target=target)))
    return await asyncio.gather(*tasks)


def in_time(results: list[ClientResult]) -> int:
    return sum(
        1 for one in results if one.status == 200 and one.ended_at - one.sent_at <= OBJECTIVE_S
    )


def assert_refusals_are_true(site: EmulatedSite) -> None:
    """Check that no refused scatter reached a back end, and that no promise was broken."""
    refused = {one.request_id for one in site.ledger.results if one.status == 503}
    assert not refused & {arrival.request_id for arrival in site.ledger.arrivals}
    assert site.contract_violations() == []


def test_a_burst_of_four_times_the_capacity_is_served_as_far_as_back_ends_can() -> None:
    """At 4 times the load, 0.07 of the capacity is answered in time if all calls are sent at once,
    and 0.88 if scatters wait in the queue (``python -m bench.overload``, seed 1)."""

    async def scenario(site: EmulatedSite) -> None:
        await send_scatters(site, 1.0, 0.3 * CAPACITY_PER_S)
        results = await send_scatters(site, 2.0, 4.0 * CAPACITY_PER_S)
        assert in_time(results) >= 0.7 * CAPACITY_PER_S * 2.0
        assert {one.status for one in results} == {200, 503}
        refused = [one for one in results if one.status == 503]
        assert all(float(one.headers["retry-after"]) <= 2.0 for one in refused)
        at_once = [one for one in refused if one.ended_at - one.sent_at < 0.02]
        assert len(at_once) >= 0.9 * len(refused)
        assert_refusals_are_true(site)

    run_site(scenario, **SITE)


def test_the_most_urgent_kind_is_served_beside_any_load_of_a_less_urgent_one() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.gather(
            send_scatters(site, 1.0, 0.1 * CAPACITY_PER_S, "urgent"),
            send_scatters(site, 1.0, 0.2 * CAPACITY_PER_S),
        )
        urgent, usual = await asyncio.gather(
            send_scatters(site, 2.0, 0.2 * CAPACITY_PER_S, "urgent"),
            send_scatters(site, 2.0, 4.0 * CAPACITY_PER_S),
        )
        assert in_time(urgent) >= 0.9 * len(urgent)
        assert in_time(usual) >= 0.45 * CAPACITY_PER_S * 2.0
        assert_refusals_are_true(site)

    run_site(scenario, **SITE)


def test_coordinators_keep_to_what_back_ends_can_do_for_all_their_entries() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(SETTLED_S)
        await send_scatters(site, 1.0, 0.3 * CAPACITY_PER_S)
        results = await send_scatters(site, 2.0, 3.0 * CAPACITY_PER_S)
        assert in_time(results) >= 0.6 * CAPACITY_PER_S * 2.0
        assert {one.status for one in results} <= {200, 503}
        assert_refusals_are_true(site)

    run_with_many_gateways(scenario, **SITE)


def test_a_client_that_leaves_while_its_scatter_waits_leaves_the_queue() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await send_scatters(site, 1.0, 0.3 * CAPACITY_PER_S)
        abandoned = [site.send("scatter", disconnects_after_s=0.01) for _ in range(6)]
        results = await asyncio.gather(*abandoned)
        await asyncio.sleep(0.5)
        gateway = site.nodes[0].gateway
        assert gateway is not None
        (admission,) = gateway.requests.scatter_admissions.admissions
        assert (len(admission.queue), admission.held) == (0, 0.0)
        ran = {arrival.request_id for arrival in site.ledger.arrivals}
        assert 0 < len({one.request_id for one in results} & ran) < len(results)

    run_site(scenario, **SITE)


def test_a_planned_stop_serves_what_waits() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await send_scatters(site, 1.0, 0.3 * CAPACITY_PER_S)
        sending = [site.loop.create_task(site.send("scatter")) for _ in range(4)]
        await asyncio.sleep(0.01)
        gateway = site.nodes[0].gateway
        assert gateway is not None
        assert len(gateway.requests.scatter_admissions.admissions[0].queue) > 0
        gateway.request_stop()
        assert {one.status for one in await asyncio.gather(*sending)} == {200}

    run_site(scenario, **SITE)
