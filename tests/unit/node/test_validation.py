"""Validation reports the first broken rule of each resource by resource, field and rule."""

from __future__ import annotations

import re

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import given

from tests.support.documents import document, resource, small_deployment, tenant
from tinrudder.node.configuration_service.messages import RawResource, ResourceDocument
from tinrudder.node.resources import validation
from tinrudder.node.resources.model import Kind
from tinrudder.node.resources.rules import PolicyNames
from tinrudder.node.resources.validation import DocumentRefusedError, problems_of

BACKEND = {"service": "search", "host": "127.0.0.1", "port": 9000, "zone": "a", "slots": 2}
SHARD = {"shard": "s0", "owner": "acme", "backends": ["b0"]}


def replaced(*changed: RawResource) -> ResourceDocument:
    """Return the small deployment with some resources replaced or added."""
    keys = {(raw.kind, raw.name) for raw in changed}
    kept = [raw for raw in small_deployment() if (raw.kind, raw.name) not in keys]
    return document(2, *kept, *changed)


def index(*versions: dict[str, object]) -> RawResource:
    return resource(Kind.INDEX, "search.rows", service="search", versions=list(versions))


def test_the_small_deployment_is_valid() -> None:
    assert problems_of(document(1, *small_deployment())) == []


@pytest.mark.parametrize(
    ("changed", "expected"),
    [
        (resource(Kind.BACKEND, "b0", **{**BACKEND, "slots": 0}), "Backend b0: .*>= 1.*slots"),
        (resource(Kind.BACKEND, "b0", **{**BACKEND, "colour": 1}), "unknown field `colour`"),
        (resource(Kind.BACKEND, "b0", **{**BACKEND, "host": "localhost"}), "host: must be an IP"),
        (resource(Kind.BACKEND, "b0", **{**BACKEND, "service": "x"}), "service: no Service 'x'"),
        (resource(Kind.QUERY_RULE, "search", service="gone"), "spec.service: no Service 'gone'"),
        (
            resource(Kind.QUERY_RULE, "search", service="search", soft_deadline_ms=500),
            "soft_deadline_ms: must not exceed hard_deadline_ms",
        ),
        (
            resource(Kind.QUERY_RULE, "search", service="search", policies={"replica": "best"}),
            "spec.policies.replica: no policy 'best'",
        ),
        (
            resource(Kind.QUERY_RULE, "search", service="search", policies={"luck": "best"}),
            "spec.policies: no role 'luck'",
        ),
        (resource(Kind.SERVICE, "search", region="r", tenants=["who"]), "no Tenant 'who'"),
        (tenant("rival", key="acme-key"), "'acme-key' belongs to two tenants"),
        (tenant("Rival"), "Tenant Rival: name: must be"),
        (resource("Teapot", "t"), "Teapot t: kind: must be one of"),
        (
            index({"version": 1, "shards": [{**SHARD, "backends": ["b9"]}]}),
            r"versions\[1\].shards\[s0\].backends: no Backend 'b9'",
        ),
        (index({"version": 1, "shards": [SHARD, SHARD]}), "'s0' is listed more than once"),
        (
            index({"version": 1, "shards": [SHARD]}, {"version": 1, "shards": [SHARD]}),
            "versions.version: '1' is listed more than once",
        ),
        (RawResource("Tenant", "acme", 1, msgspec.Raw(b'{"weight":')), "Tenant acme: spec: "),
    ],
)
def test_broken_rules_name_resource_field_and_rule(changed: RawResource, expected: str) -> None:
    policies = PolicyNames({"replica": frozenset({"least-loaded"})})
    problems = problems_of(replaced(changed), policies)
    assert re.search(expected, "; ".join(map(str, problems)))


def test_both_owners_of_one_key_id_are_refused() -> None:
    problems = problems_of(replaced(tenant("rival", key="acme-key")))
    assert [problem.key.name for problem in problems] == ["acme", "rival"]


def test_resource_listed_twice_is_refused() -> None:
    problems = problems_of(document(1, tenant("a", 1), tenant("a", 2)))
    assert [str(problem) for problem in problems] == ["Tenant a: name: listed more than once"]


def test_backend_of_another_service_holds_no_shard() -> None:
    other = resource(Kind.SERVICE, "other", region="r", tenants=[])
    moved = resource(Kind.BACKEND, "b0", **{**BACKEND, "service": "other"})
    problems = problems_of(replaced(other, moved))
    assert "'b0' belongs to another service" in problems[0].text


@pytest.mark.parametrize(
    ("refused", "expected"),
    [
        (document(0), "revision"),
        (document(1, tenant("a", 0)), "generation"),
        (document(1, tenant("a"), count=2), "1 of 2 arrived"),
        (document(1, tenant("a" * 300)), "at most 253 characters"),
    ],
)
def test_documents_refused_as_a_whole(refused: ResourceDocument, expected: str) -> None:
    with pytest.raises(DocumentRefusedError, match=expected):
        problems_of(refused)


def test_sizes_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    offered = document(1, tenant("a"), tenant("b"))
    monkeypatch.setattr(validation, "MAX_SPEC_BYTES", 10)
    assert "bytes, at most 10" in problems_of(offered)[0].text
    monkeypatch.setattr(validation, "MAX_DOCUMENT_BYTES", 40)
    with pytest.raises(DocumentRefusedError, match="bytes, at most 40"):
        problems_of(offered)
    monkeypatch.setattr(validation, "MAX_RESOURCES", 1)
    with pytest.raises(DocumentRefusedError, match="2, at most 1"):
        problems_of(offered)


@given(
    st.sampled_from([*Kind, "Other"]),
    st.text(max_size=20),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(["service", "weight", "versions"]), inner)
        ),
        max_leaves=5,
    ),
)
def test_any_specification_is_judged_without_failing(kind: str, name: str, spec: object) -> None:
    raw = RawResource(kind, name, 1, msgspec.Raw(msgspec.json.encode(spec)))
    assert problems_of(document(1, raw)) == problems_of(document(1, raw))
