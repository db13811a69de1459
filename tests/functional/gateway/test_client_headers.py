"""Nothing that a client sends names, removes or changes a header that the gateway sets."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import astuple

from tinrudder.gateway.clients.answers import build_answer
from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.model.configuration import Tenant
from tinrudder.gateway.model.http_messages import (
    CONNECTION_HEADERS,
    HttpAnswer,
    HttpRequest,
    end_to_end_headers,
)
from tinrudder.gateway.model.outcomes import Relayed
from tinrudder.gateway.requests.api_keys import without_credentials
from tinrudder.gateway.runs.request_bytes import RequestBytes
from tinrudder.platform.headers import HEADERS
from tinrudder_lab.emulator.site import (
    CLIENT_PORT,
    SITE_HOST,
    EmulatedSite,
    SiteTenant,
    run_site,
)

TENANT = SiteTenant("first", ("key-1",))
PROTOCOL_HEADERS = sorted(name.decode() for name in astuple(HEADERS))
OWN_HEADERS = sorted((*PROTOCOL_HEADERS, "host", "authorization", "x-own"))
NAMES = st.sampled_from([*(name.encode() for name in OWN_HEADERS), *CONNECTION_HEADERS])
VALUES = st.sampled_from([b"1", b"keep-alive", b"x-own", b"tinrudder-tenant, close"])


async def exchange(site: EmulatedSite, text: str) -> bytes:
    """Send bytes to a gateway and return what it answers until it closes."""
    reader, writer = await asyncio.open_connection(site.nodes[0].host, CLIENT_PORT)
    writer.write(text.encode())
    answer = await reader.read()
    writer.close()
    return answer


def request_text(*lines: str, body: str = "") -> str:
    head = [
        "GET /single/1 HTTP/1.1",
        f"Host: {SITE_HOST}",
        "Tinrudder-Request-Id: r-1",
        "Tinrudder-Deadline-Ms: 1500",
        "Authorization: Token key-1",
        *lines,
    ]
    return "\r\n".join(head) + "\r\n\r\n" + body


@pytest.mark.parametrize("listed", [*OWN_HEADERS, ", ".join(OWN_HEADERS)])
def test_a_connection_header_takes_no_header_of_the_gateway_out_of_a_request(listed: str) -> None:
    async def scenario(site: EmulatedSite) -> None:
        lines = ("Tinrudder-Tenant: other", f"Connection: close, {listed}")
        assert b" 200 " in await exchange(site, request_text(*lines))
        (arrival,) = site.ledger.arrivals
        assert (arrival.request_id, arrival.tenant) == ("r-1", "first")
        assert arrival.deadline_ms is not None and arrival.deadline_ms <= 1500
        assert not arrival.credentials

    run_site(scenario, tenants=(TENANT,))


def test_a_trailer_adds_no_header_to_a_request() -> None:
    async def scenario(site: EmulatedSite) -> None:
        body = "1\r\nx\r\n0\r\nTinrudder-Tenant: other\r\nTinrudder-Request-Id: r-2\r\n\r\n"
        lines = ("Connection: close", "Transfer-Encoding: chunked")
        assert b" 200 " in await exchange(site, request_text(*lines, body=body))
        (arrival,) = site.ledger.arrivals
        assert (arrival.request_id, arrival.tenant) == ("r-1", "first")

    run_site(scenario, tenants=(TENANT,))


UPGRADE = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABk")


@pytest.mark.parametrize("listed", [HEADERS.stamp, HEADERS.request_id])
def test_a_back_end_cannot_have_its_stamp_or_the_request_id_dropped(listed: bytes) -> None:
    headers = ((HEADERS.request_id, b"r"), (HEADERS.stamp, b"s"), (b"connection", listed))
    relayed = Relayed(HttpAnswer(200, b"OK", headers, b"x"))
    answer = build_answer(relayed, HEADERS, b"r")
    assert answer.headers == headers[:2]


@pytest.mark.parametrize("body", ["", "abc"])
def test_a_request_that_offers_another_protocol_is_answered_and_its_connection_kept(
    body: str,
) -> None:
    async def scenario(site: EmulatedSite) -> None:
        length = (f"Content-Length: {len(body)}",) if body else ()
        offers = request_text(*UPGRADE, *length, body=body) * 3
        answer = await exchange(site, offers + request_text("Connection: close"))
        assert answer.count(b"HTTP/1.1 200 ") == 4
        assert len(site.ledger.arrivals) == 4
        assert {arrival.body for arrival in site.ledger.arrivals[:3]} == {body.encode()}

    run_site(scenario, tenants=(TENANT,))


def test_a_request_for_a_tunnel_is_refused_before_it_runs() -> None:
    async def scenario(site: EmulatedSite) -> None:
        text = request_text("Connection: close").replace("GET /single/1", "CONNECT h:1")
        assert (await exchange(site, text)).startswith(b"HTTP/1.1 400 ")
        assert site.ledger.arrivals == []

    run_site(scenario, tenants=(TENANT,))


@given(headers=st.lists(st.tuples(NAMES, VALUES), max_size=8))
def test_forwarded_headers_are_those_of_a_plain_oracle(
    headers: list[tuple[bytes, bytes]],
) -> None:
    received = HttpRequest(b"GET", b"/", tuple(headers), b"")
    options = {
        option.strip()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    }
    protected = {b"host", b"authorization", *astuple(HEADERS)}
    kept = [
        header
        for header in headers
        if header[0] not in CONNECTION_HEADERS and header[0] not in options - protected
    ]
    replaced = {HEADERS.tenant, HEADERS.deadline_ms, HEADERS.expected_backend, b"authorization"}
    expected = [header for header in kept if header[0] not in replaced]
    expected += [(HEADERS.tenant, b"first")]

    stripped = end_to_end_headers(received.headers, HEADERS.protected)
    request = HttpRequest(b"GET", b"/", stripped, b"")
    tenant = Tenant("first", frozenset())
    deadlines = Deadlines(0.0, 2.0, 2.0)
    encoded = RequestBytes(without_credentials(request, tenant, HEADERS), b"r", deadlines, HEADERS)
    _, *lines = encoded.encode("b-1", 1.0).removesuffix(b"\r\n\r\n").split(b"\r\n")
    forwarded = [tuple(line.split(b": ", 1)) for line in lines]
    own = [(HEADERS.deadline_ms, b"1000"), (HEADERS.expected_backend, b"b-1")]
    assert forwarded == expected + own
