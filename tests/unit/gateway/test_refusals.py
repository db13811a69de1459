"""The rules that refuse a request are evaluated in order, and the first refusal is final."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from tests.unit.gateway.test_shard_calls_machine import NAMES
from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import Invalid, NotRun, UnknownRoute
from tinrudder.gateway.requests.authentication import AuthenticatedRequest
from tinrudder.gateway.requests.process_end import PROCESS_ENDS, RETRY_AFTER_S, ProcessEnd
from tinrudder.gateway.requests.refusals import (
    RULES,
    STARTUP_RETRY_AFTER_S,
    refusal_at_start,
    refusal_on_arrival,
)

WELL_FORMED = HttpRequest(b"GET", b"/", ((b"host", b"h"), (b"id", b"1")), b"")


def arrived(http_request: HttpRequest, routes: Any = None) -> Any:
    return SimpleNamespace(
        http_request=http_request,
        routes=routes,
        request_id=b"",
        version=0,
        route=None,
        received_at=1.0,
    )


def checks(**fields: Any) -> Any:
    memory = SimpleNamespace(may_be_near=False)
    known = {
        "call_context": SimpleNamespace(names=NAMES, memory=memory),
        "process_end": ProcessEnd(),
    }
    return SimpleNamespace(**{**known, **fields})


def routes_with(route: Any) -> Any:
    return SimpleNamespace(
        configuration=SimpleNamespace(version=7), find=lambda request: route, keys=None
    )


def test_the_rules_stand_in_this_order() -> None:
    assert [rule.name for rule in RULES] == [
        "protocol",
        "stopped",
        "configuration",
        "route",
        "key",
        "quota",
        "stopping",
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
        route=SimpleNamespace(shards=()),
        authenticated=AuthenticatedRequest(WELL_FORMED, None),
        deadlines=Deadlines(0.0, 1.0, 1.0),
    )
    refusal = refusal_at_start(
        checks(reachability=component("zone", None), poison=component("poison", poisoned)), request
    )
    assert refusal is poisoned
    assert asked == ["zone", "poison"]


def test_a_request_that_arrives_at_the_end_of_the_process_is_refused_before_its_quota() -> None:
    end = ProcessEnd()
    end.announce(1.0)
    refusal = refusal_on_arrival(checks(process_end=end), arrived(WELL_FORMED, routes_with(None)))
    assert refusal == NotRun(PROCESS_ENDS, RETRY_AFTER_S)


@pytest.mark.parametrize(("left_s", "passes"), [(2.9, False), (3.1, True)])
def test_a_request_is_refused_that_no_back_end_answers_before_the_process_ends(
    left_s: float, passes: bool
) -> None:
    deadlines = Deadlines(0.0, 9.0, 9.0)
    deadlines.shorten(left_s)
    context = SimpleNamespace(
        loop=SimpleNamespace(time=lambda: 0.0), shortest_time_s=lambda route: 3.0
    )
    passing: Any = SimpleNamespace(refusal=lambda *_: None)
    request: Any = SimpleNamespace(
        route=SimpleNamespace(shards=("shard",)),
        authenticated=AuthenticatedRequest(WELL_FORMED, None),
        deadlines=deadlines,
    )
    context.memory = SimpleNamespace(may_be_near=False)
    judged = checks(call_context=context, reachability=passing, poison=passing)
    refusal = refusal_at_start(judged, request)
    assert (refusal is None) is passes
    assert passes or (refusal is not None and refusal.retry_after_s == RETRY_AFTER_S)
