"""The resource API over ASGI: visibility by viewer, watches, validation and refused writes."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

import async_solipsism
import msgspec
import pytest
from starlette.applications import Starlette

from tests.support.asgi import AsgiResponse, call, start
from tests.support.documents import document, resource, small_deployment, tenant
from tinrudder.node.api.operators.resource_app import ResourceApiSettings, ResourceApplication
from tinrudder.node.resources.model import Kind
from tinrudder.node.resources.status import NodeRevision, StatusReporter
from tinrudder.node.resources.store import ConfigurationStore

OPERATOR = "Bearer ops.secret"
ACME = "Bearer acme-key.s"
RIVAL = "Bearer rival-key.s"


def digest(secret: str) -> str:
    return hashlib.sha256(secret.encode()).hexdigest()


def tenant_with_key(name: str, generation: int = 1, weight: int = 1) -> object:
    credentials = [{"key_id": f"{name}-key", "secret_sha256": digest("s")}]
    return resource(Kind.TENANT, name, generation, weight=weight, credentials=credentials)


class Api:
    """A node's resource API over a store that the tests modify."""

    def __init__(self) -> None:
        self.store = ConfigurationStore()
        self.other_nodes = [NodeRevision("n2", "b", "alive", 1)]
        self.stopping = False
        reporter = StatusReporter(self.store, self.nodes)
        settings = ResourceApiSettings("n1", {"ops": digest("secret")}, "http://platform/write")
        api = ResourceApplication(settings, self.store, reporter, lambda: self.stopping)
        self.app = Starlette(routes=api.routes())
        self.write(1)

    def nodes(self) -> list[NodeRevision]:
        own = NodeRevision("n1", "a", "alive", self.store.current.revision)
        return [own, *self.other_nodes]

    def write(self, revision: int, *changed: object) -> None:
        """Offer the small deployment with some resources replaced or added."""
        base = (tenant_with_key("acme"), tenant_with_key("rival"), *small_deployment()[2:])
        keys = {(raw.kind, raw.name) for raw in changed}
        kept = [raw for raw in base if (raw.kind, raw.name) not in keys]
        self.store.merge_document(document(revision, *kept, *changed))

    async def get(self, target: str, authorization: str = OPERATOR) -> AsgiResponse:
        return await call(self.app, "GET", target, authorization)


Scenario = Callable[[Api], Awaitable[None]]


def run(scenario: Scenario) -> None:
    loop = async_solipsism.EventLoop()
    try:
        loop.run_until_complete(scenario(Api()))
    finally:
        loop.close()


def names(response: AsgiResponse) -> list[str]:
    return [f"{entry['kind']}/{entry['name']}" for entry in response.json()["resources"]]


def test_an_operator_sees_spec_generations_and_conditions() -> None:
    async def scenario(api: Api) -> None:
        api.write(2, tenant("rival", 2, weight=0))
        body = (await api.get("/v1/resources/Tenant/rival")).json()
        assert (body["observed_generation"], body["accepted_generation"]) == (2, 1)
        accepted, enforced = body["conditions"]
        assert (accepted["status"], accepted["reason"]) == (False, "LastGoodInForce")
        assert "weight" in accepted["message"]
        assert (enforced["status"], enforced["message"]) == (False, "1 of 2 nodes; lagging: n2")
        api.other_nodes = [NodeRevision("n2", "b", "alive", 2)]
        body = (await api.get("/v1/resources/Tenant/rival")).json()
        assert body["conditions"][1]["status"]
        assert len(names(await api.get("/v1/resources"))) == 6
        assert names(await api.get("/v1/resources?kind=Backend")) == ["Backend/b0"]

    run(scenario)


def test_a_tenant_sees_only_what_belongs_to_it() -> None:
    async def scenario(api: Api) -> None:
        api.write(
            2, resource(Kind.SERVICE, "search", 2, region="r", tenants=["acme", "rival", "ghost"])
        )
        listed = await api.get("/v1/resources", ACME)
        assert names(listed) == ["QueryRule/search", "Service/search", "Tenant/acme"]
        for secret_word in (b"rival", b"ghost", b"sha256", b"n2", b"127.0.0.1"):
            assert secret_word not in listed.body
        rule, service, own = listed.json()["resources"]
        assert service["spec"]["tenants"] == ["acme"]
        assert own["spec"]["credentials"] == [{"key_id": "acme-key"}]
        assert rule["conditions"][1]["message"] == "2 of 2 nodes"
        assert service["conditions"][1]["message"] == "1 of 2 nodes"
        assert names(await api.get("/v1/resources", RIVAL)) == ["Tenant/rival"]

    run(scenario)


def test_hidden_and_absent_resources_look_alike_to_a_tenant() -> None:
    async def scenario(api: Api) -> None:
        hidden = await api.get("/v1/resources/Tenant/rival", ACME)
        absent = await api.get("/v1/resources/Tenant/nobody", ACME)
        assert hidden.status == absent.status == 404
        assert hidden.body.replace(b"rival", b"nobody") == absent.body

    run(scenario)


@pytest.mark.parametrize(
    ("method", "target", "authorization", "status"),
    [
        ("GET", "/v1/resources", "", 401),
        ("GET", "/v1/resources", "Bearer ops.wrong", 401),
        ("PUT", "/v1/resources", "Bearer nobody.s", 401),
        ("GET", "/v1/resources/nodes", ACME, 403),
        ("POST", "/v1/resources/validate", ACME, 403),
        ("GET", "/v1/resources/watch?from_revision=x", OPERATOR, 400),
        ("GET", "/v1/resources/nodes?revision=-1", OPERATOR, 400),
        ("PUT", "/v1/resources/Tenant/acme", OPERATOR, 405),
        ("POST", "/v1/resources", OPERATOR, 405),
        ("DELETE", "/v1/resources/Tenant/acme", ACME, 405),
    ],
)
def test_refusals(method: str, target: str, authorization: str, status: int) -> None:
    async def scenario(api: Api) -> None:
        response = await call(api.app, method, target, authorization)
        assert response.status == status
        if status == 405:
            assert response.headers["allow"] == "GET, HEAD"
            has_url = b"http://platform/write" in response.body
            assert has_url == (authorization == OPERATOR)

    run(scenario)


def test_validation_judges_a_proposal_with_what_is_in_force() -> None:
    async def scenario(api: Api) -> None:
        async def problems(*proposed: dict[str, object]) -> AsgiResponse:
            body = msgspec.json.encode({"resources": proposed})
            return await call(api.app, "POST", "/v1/resources/validate", OPERATOR, body)

        good = {"kind": "QueryRule", "name": "second", "spec": {"service": "search"}}
        bad = {"kind": "QueryRule", "name": "second", "spec": {"service": "gone"}}
        assert (await problems(good)).json() == {"valid": True, "problems": []}
        assert (await problems(bad)).json()["problems"][0]["problem"].startswith("spec.service")
        assert (await problems({"kind": "QueryRule"})).status == 400
        assert api.store.current.revision == 1

    run(scenario)


def test_nodes_lists_lagging_nodes_and_platform_conditions() -> None:
    async def scenario(api: Api) -> None:
        api.write(5)
        api.write(3)
        body = (await api.get("/v1/resources/nodes")).json()
        assert body["enforcement"]["lagging"] == ["n2"]
        platform = {entry["type"]: entry for entry in body["platform"]}
        assert not platform["PlatformCurrent"]["status"]
        assert "revision 3, 5 is in force" in platform["PlatformCurrent"]["message"]

    run(scenario)


def test_watch_sends_changes_and_resumes_by_revision() -> None:
    async def scenario(api: Api) -> None:
        watch = start(api.app, "GET", "/v1/resources/watch?kind=Tenant", OPERATOR)
        await asyncio.sleep(1)
        api.write(2, tenant_with_key("rival", 2, weight=5))
        await asyncio.sleep(1)
        api.store.merge_document(document(3, tenant_with_key("acme")))
        await asyncio.sleep(1)
        events = (await watch.disconnect()).lines()
        received = [(e["type"], e.get("name", e.get("resource", {}).get("name"))) for e in events]
        assert received[0] == ("reset", None)
        assert [entry for entry in received if entry[0] in ("changed", "deleted")] == [
            ("changed", "acme"),
            ("changed", "rival"),
            ("changed", "rival"),
            ("deleted", "rival"),
        ]
        resumed = start(api.app, "GET", "/v1/resources/watch?from_revision=2", OPERATOR)
        await asyncio.sleep(1)
        types = [event["type"] for event in (await resumed.disconnect()).lines()]
        assert "reset" not in types
        assert types.count("deleted") == 5

    run(scenario)


def test_a_tenants_watch_shows_services_come_and_go() -> None:
    async def scenario(api: Api) -> None:
        watch = start(api.app, "GET", "/v1/resources/watch", RIVAL)
        await asyncio.sleep(1)
        api.write(2, resource(Kind.SERVICE, "search", 2, region="r", tenants=["rival"]))
        await asyncio.sleep(1)
        api.write(3, resource(Kind.SERVICE, "search", 3, region="r", tenants=["acme"]))
        await asyncio.sleep(1)
        events = (await watch.disconnect()).lines()
        gone = [event["kind"] for event in events if event["type"] == "deleted"]
        assert sorted(gone) == ["QueryRule", "Service"]
        assert b"acme" not in watch.response.body
        assert "enforcement" not in {event["type"] for event in events}

    run(scenario)


def test_watches_are_bounded_and_end_when_the_node_stops() -> None:
    async def scenario(api: Api) -> None:
        watches = [start(api.app, "GET", "/v1/resources/watch", ACME) for _ in range(4)]
        await asyncio.sleep(1)
        assert (await api.get("/v1/resources/watch", ACME)).status == 429
        api.stopping = True
        await asyncio.wait_for(asyncio.gather(*(watch.task for watch in watches)), 2)
        api.stopping = False
        again = start(api.app, "GET", "/v1/resources/watch", ACME)
        await asyncio.sleep(1)
        assert (await again.disconnect()).status == 200

    run(scenario)
