"""Explanations: what is recorded, and which tenants and nodes can look it up."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass

import msgspec
import pytest
from starlette.applications import Starlette

from tests.support.virtual_caller import FakeCaller, run_virtual
from tests.unit.node.test_fan_out import DEADLINE_S, Harness
from tinrudder.cluster.view import Member
from tinrudder.node.api.explain_app import explain_route
from tinrudder.node.backends.messages import Broken
from tinrudder.node.decisions.coordinator_set import CoordinatorSet
from tinrudder.node.query.coordinator import CoordinatorCounters
from tinrudder.node.query.explanations.explain import ExplanationRing, QueryExplanation
from tinrudder.node.query.explanations.explain_lookup import ExplainLookup
from tinrudder.node.query.explanations.explain_recorder import FanOutRecorder
from tinrudder.node.resources.configuration import Configuration, CredentialOwner
from tinrudder.node.resources.model import Credential, QueryRuleSpec
from tinrudder.peers import DatagramHandler, PeerAddress, PeerLostError, RequestHandler

COORDINATOR = PeerAddress("127.0.0.1", 2)
SECRET_HASH = hashlib.sha256(b"secret").hexdigest()


def explanation(node: str, tenant: str = "acme", query_id: str = "q") -> QueryExplanation:
    return QueryExplanation(
        query_id, tenant, node, "service", "stock", "rule", 7, "complete", "", 1.0, "", ()
    )


@dataclass
class LinkedChannel:
    """Passes requests directly to the handler of one peer."""

    peer: LinkedChannel | None = None
    handler: RequestHandler | None = None

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        self.handler = on_request

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        assert destination == COORDINATOR
        if self.peer is None or self.peer.handler is None:
            raise PeerLostError("cut off")
        return await self.peer.handler(PeerAddress("127.0.0.1", 1), payload)


def lookups(reachable: bool = True) -> ExplainLookup:
    """Return the entry's lookup, after the coordinator ran query ``q`` of tenant ``acme``."""
    members = CoordinatorSet("service", (Member("coordinator", 1, "z", "r", COORDINATOR),))
    remote, local = LinkedChannel(), LinkedChannel()
    local.peer = remote if reachable else None
    ran, received = ExplanationRing(), ExplanationRing()
    ran.add(explanation("coordinator"))
    received.add(explanation("entry"))
    empty = ExplanationRing()
    ExplainLookup("coordinator", remote, ran, empty, lambda _: members)
    return ExplainLookup("entry", local, empty, received, lambda _: members)


def find(lookup: ExplainLookup, tenant: str | None, query_id: str = "q") -> str | None:
    found = asyncio.run(lookup.find(query_id, tenant))
    return None if found is None else msgspec.json.decode(found)["node"]


def test_the_entry_finds_what_a_coordinator_ran_for_its_tenant_and_operators_only() -> None:
    lookup = lookups()
    assert find(lookup, "acme") == find(lookup, None) == "coordinator"
    assert find(lookup, "rival") is None
    assert find(lookup, "acme", "other") is None


def test_entry_uses_its_own_record_when_the_coordinator_is_unreachable() -> None:
    assert find(lookups(reachable=False), "acme") == "entry"


def test_a_coordinator_does_not_tell_one_tenant_of_anothers_query() -> None:
    lookup = lookups()
    lookup._received.add(explanation("entry", "rival"))
    assert find(lookup, "rival") == "entry"


def test_a_fan_out_is_explained_by_what_was_sent_and_what_is_missing() -> None:
    harness = Harness(QueryRuleSpec(service="service", minimum_coverage=0.5))
    ring = ExplanationRing()
    harness.timers.advance(0.01)
    harness.transport.reply(harness.transport.calls[0], Broken())
    harness.transport.answer(harness.transport.calls[1], 1.0)
    harness.timers.advance(DEADLINE_S)
    record = FanOutRecorder("n", ring)
    record(harness.fan_out.plan, harness.fan_out.shards, harness.outcome, 0.0, DEADLINE_S)
    found = ring.find("q", "acme")
    assert found is not None
    assert (found.outcome, found.version, found.elapsed_ms) == ("partial", 7, 100.0)
    retried, answered = found.shards
    assert sorted(retried.backends) == ["a", "b"]
    assert (retried.missing, answered.missing) == ("timed_out", "")
    assert retried.waited_ms == 0.0
    assert found.choice == "least-loaded", "the default policy must be named as well"


@pytest.mark.parametrize(
    ("authorization", "status"),
    [
        ("Bearer key.secret", 200),
        ("Bearer rival.secret", 404),
        ("Bearer ops.secret", 200),
        ("", 401),
    ],
)
def test_the_api_shows_a_query_to_its_tenant_and_operators(authorization: str, status: int) -> None:
    configuration = Configuration(
        credentials={
            key: CredentialOwner(tenant, Credential(key_id=key, secret_sha256=SECRET_HASH))
            for key, tenant in (("key", "acme"), ("rival", "rival"))
        }
    )
    lookup = lookups()
    app = Starlette(
        routes=[explain_route(lookup.find, {"ops": SECRET_HASH}, lambda: configuration)]
    )
    caller = FakeCaller(path="/v1/explain/q", method="GET", authorization=authorization)
    run_virtual(caller.call(app))
    assert caller.status == status
    assert caller.json.get("node") == ("coordinator" if status == 200 else None)


def test_counters_tell_retries_from_first_calls() -> None:
    harness = Harness(QueryRuleSpec(service="service", minimum_coverage=0.5))
    harness.transport.reply(harness.transport.calls[0], Broken())
    harness.transport.answer(harness.transport.calls[1], 1.0)
    harness.timers.advance(DEADLINE_S)
    counters = CoordinatorCounters()
    counters.add(harness.fan_out.shards)
    sent = len(harness.transport.calls)
    assert (counters.needed_shards, counters.retries, counters.hedges) == (2, 1, sent - 3)
