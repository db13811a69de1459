"""Tenants of a configuration: decoding, validation, and lookup by key.

One invalid tenant makes the whole configuration invalid, and no error text contains a key.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from tinrudder.gateway.model.configuration import Tenant
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.requests.api_keys import KeyIndex, Known, key_digest, without_credentials
from tinrudder.gateway.store.stored_values import UnreadableValueError
from tinrudder.platform.documents import decode_configuration
from tinrudder.platform.headers import HEADERS

KEY = "k" * 20


def document(*tenants: Any) -> bytes:
    return json.dumps({"version": 1, "routes": [], "tenants": tenants}).encode()


def request(*headers: tuple[bytes, bytes]) -> HttpRequest:
    return HttpRequest(b"GET", b"/", headers, b"")


def ring() -> KeyIndex:
    return KeyIndex.of(decode_configuration(document({"name": "a", "api_keys": [KEY]})))


def test_a_tenant_is_read_with_its_keys_digested() -> None:
    wire = {"name": "a", "api_keys": [KEY], "priority": 1, "rate_per_s": 5, "burst": None}
    (tenant,) = decode_configuration(document(wire)).tenants
    assert tenant == Tenant("a", frozenset((key_digest(KEY.encode()),)), 1, 5.0, 0.0)
    assert KEY not in repr(tenant)


@pytest.mark.parametrize(
    ("tenants", "problem"),
    [
        ([{"api_keys": []}], "required field `name`"),
        ([{"name": ""}], r"tenants\[0\]: the name must not be empty"),
        ([{"name": "a"}, {"name": "a"}], r"tenants\[1\]: the name 'a' stands twice"),
        (
            [{"name": "a", "api_keys": [KEY]}, {"name": "b", "api_keys": [KEY]}],
            r"tenants\[1\]: 'a' has one of its keys too",
        ),
        ([{"name": "a", "api_keys": [5]}], "Expected `str`, got `int`"),
        ([{"name": "a", "api_keys": [""]}], r"key 0 must have 1 to 1024 bytes"),
        ([{"name": "a", "api_keys": ["x" * 1_000_000]}], r"key 0 must have 1 to 1024 bytes"),
        ([{"name": "a", "rate_per_s": -1}], "the rate must be finite and not below zero"),
        ([{"name": "a", "burst": -0.5}], "the burst must be finite and not below zero"),
        ([{"name": "a", "rate_per_s": "5"}], "Expected `float | null`, got `str`"),
        ([{"name": "a", "priority": 0.5}], "Expected `int | null`, got `float`"),
    ],
)
def test_a_broken_tenant_refuses_the_configuration_and_names_no_key(
    tenants: list[Any], problem: str
) -> None:
    with pytest.raises(UnreadableValueError, match=problem) as caught:
        decode_configuration(document(*tenants))
    assert KEY not in str(caught.value)


def test_a_limit_that_is_not_finite_is_refused() -> None:
    text = b'{"version":1,"routes":[],"tenants":[{"name":"a","burst":1e999}]}'
    with pytest.raises(UnreadableValueError, match="tenants"):
        decode_configuration(text)


@pytest.mark.parametrize(
    ("headers", "outcome"),
    [
        ((), "Unknown"),
        (((b"authorization", b"Token " + KEY.encode()),), "Known"),
        (((b"authorization", b"token  " + KEY.encode() + b" "),), "Known"),
        (((b"authorization", b"Bearer " + KEY.encode()),), "Unknown"),
        (((b"authorization", b"Token"),), "Unknown"),
        (((b"authorization", b"Token "),), "Unknown"),
        (((b"authorization", b"Token " + b"x" * 5000),), "Unknown"),
        (((b"authorization", b"Token " + KEY.encode()),) * 2, "Ambiguous"),
    ],
)
def test_credentials_have_one_meaning_each(
    headers: tuple[tuple[bytes, bytes], ...], outcome: str
) -> None:
    assert type(ring().identify(request(*headers))).__name__ == outcome


def test_a_forwarded_request_has_the_tenant_and_no_key() -> None:
    sent = request(
        (b"authorization", b"Token " + KEY.encode()),
        (b"tinrudder-tenant", b"somebody-else"),
        (b"x-other", b"1"),
    )
    identity = ring().identify(sent)
    assert isinstance(identity, Known)
    passed_on = without_credentials(sent, identity.tenant, HEADERS)
    assert passed_on.headers == ((b"x-other", b"1"), (b"tinrudder-tenant", b"a"))


def test_a_configuration_without_tenants_asks_for_no_key() -> None:
    assert not KeyIndex.of(decode_configuration(document())).required
