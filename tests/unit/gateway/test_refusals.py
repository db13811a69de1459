"""The rules that refuse a request are evaluated in order, and the first refusal is final."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from tests.unit.gateway.test_shard_calls_machine import NAMES
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import Invalid, NotRun, UnknownRoute
from tinrudder.gateway.requests.authentication import AuthenticatedRequest
from tinrudder.gateway.requests.refusals import (
    RULES,
    STARTUP_RETRY_AFTER_S,
    refusal_at_start,
    refusal_on_arrival,
)

WELL_FORMED = HttpRequest(b"GET", b"/", ((b"host", b"h"), (b"id", b"1")), b"")


def arrived(http_request: HttpRequest, routes: Any = None) -> Any:
    return SimpleNamespace(
        http_request=http_request, routes=routes, request_id=b"", version=0, route=None
    )


def checks(**fields: Any) -> Any:
    memory = SimpleNamespace(may_be_near=False)
    known = {"call_context": SimpleNamespace(names=NAMES, memory=memory)}
    return SimpleNamespace(**{**known, **fields})


def routes_with(route: Any) -> Any:
    return SimpleNamespace(
        configuration=SimpleNamespace(version=7), find=lambda request: route, keys=None
    )


def test_the_rules_stand_in_this_order() -> None:
    assert [rule.name for rule in RULES] == [
        "protocol",
        "configuration",
        "route",
        "key",
        "quota",
        "cut zone",
        "memory",
        "poison",
        "overload",
    ]


def test_a_broken_request_is_refused_before_anything_is_asked_of_a_configuration() -> None:
    without_host = HttpRequest(b"GET", b"/", ((b"id", b"1"),), b"")
    request = arrived(without_host)
    assert refusal_on_arrival(checks(), request) == Invalid(400, "host: must stand exactly once")
    assert request.request_id == b""


def test_an_incomplete_state_is_refused_with_its_id_and_without_a_version() -> None:
    request = arrived(WELL_FORMED, routes_with(None))
    refusal = refusal_on_arrival(checks(state=SimpleNamespace(complete=False)), request)
    assert refusal == NotRun("no configuration is known yet", STARTUP_RETRY_AFTER_S)
    assert (request.request_id, request.version) == (b"1", 0)


def test_an_unknown_route_is_final_only_where_a_newer_configuration_would_be_known() -> None:
    state = SimpleNamespace(
        complete=True, configuration_version=7, unconfirmed_s=lambda topic: 1.25
    )
    request = arrived(WELL_FORMED, routes_with(None))
    known = refusal_on_arrival(checks(state=state, is_fresh=lambda: True), request)
    age = "version 7, the store's last word heard of: 1.25 s ago"
    assert known == UnknownRoute(f"no route, {age}")
    assert request.version == 7
    unsure = refusal_on_arrival(checks(state=state, is_fresh=lambda: False), request)
    assert isinstance(unsure, NotRun)
    assert unsure.detail.endswith(age)


def test_at_the_start_the_first_rule_that_refuses_ends_the_chain() -> None:
    asked: list[str] = []

    def component(name: str, refusal: NotRun | None) -> Any:
        def refuse(*_: object) -> NotRun | None:
            asked.append(name)
            return refusal

        return SimpleNamespace(refusal=refuse)

    poisoned = NotRun("poison", 1.0)
    request: Any = SimpleNamespace(
        route=SimpleNamespace(shards=()), authenticated=AuthenticatedRequest(WELL_FORMED, None)
    )
    refusal = refusal_at_start(
        checks(reachability=component("zone", None), poison=component("poison", poisoned)), request
    )
    assert refusal is poisoned
    assert asked == ["zone", "poison"]
