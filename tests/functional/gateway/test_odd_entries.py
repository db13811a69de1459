"""Odd entries of another writer end no gateway, and none stops following the store."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from tinrudder.platform.documents import BACKENDS_PREFIX, CONFIGURATION_KEY, OPERATOR_PREFIX
from tinrudder_lab.emulator.site import EmulatedSite, run_site

HUGE = b"9" * 5000
FIELD = b'{"service":"s","addr":"10.0.0.1:80","zone":"z","slots":%b,"state":"ready"}'
ADDRESS = b'{"service":"s","addr":"10.0.0.1:%b","zone":"z","slots":2,"state":"ready"}'
ODD_VALUES = {
    "nested lists": b"[" * 100_000,
    "nested objects": b'{"a":' * 100_000,
    "closed nested lists": b"[" * 900 + b"]" * 900,
    "a number too large": FIELD % HUGE,
    "a number beyond floats": FIELD % b"1e999",
    "not a number": FIELD % b"NaN",
    "a port out of range": ADDRESS % b"99999",
    "a port of many digits": ADDRESS % HUGE,
    "nothing": b"",
    "null": b"null",
}


@pytest.mark.parametrize("odd", ODD_VALUES)
def test_an_odd_entry_stops_no_gateway_from_serving_and_following(odd: str) -> None:
    async def scenario(site: EmulatedSite) -> None:
        for key in (BACKENDS_PREFIX, OPERATOR_PREFIX):
            site.store.put_bytes(f"{key}odd", ODD_VALUES[odd])
        configuration = site.store.value(CONFIGURATION_KEY)
        site.store.put_bytes(CONFIGURATION_KEY, ODD_VALUES[odd])
        await site.traffic(3.0, 20.0, ("scatter", "single"))
        assert site.served_share() == 1.0
        assert configuration is not None
        newer = msgspec.json.decode(configuration) | {"version": site.version + 2}
        site.store.put(CONFIGURATION_KEY, newer)
        await asyncio.sleep(2.0)
        for node in site.nodes:
            assert node.gateway is not None
            assert node.gateway.knowledge.state.configuration_version == newer["version"]
            assert not node.gateway.supervisor.failures
        assert site.contract_violations() == []

    run_site(scenario)
