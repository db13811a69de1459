"""Metrics: bounded label sets, and access for operators and local scrapers only."""

from __future__ import annotations

import hashlib

import pytest
from starlette.applications import Starlette

from tests.support.virtual_caller import FakeCaller, run_virtual
from tinrudder.node import metrics as metrics_module
from tinrudder.node.api.finished_query import FinishedQuery
from tinrudder.node.api.metrics_app import metrics_route
from tinrudder.node.metrics import CallbackMetric, NodeMetrics
from tinrudder.node.outcomes import NotRun, NotRunReason

OPERATORS = {"ops": hashlib.sha256(b"secret").hexdigest()}


def refused(service: str) -> FinishedQuery:
    outcome = NotRun(NotRunReason.OVERLOADED)
    return FinishedQuery("q", "acme", service, "index", "rule", outcome, 503, 0.01)


def test_services_beyond_the_maximum_share_a_label(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(metrics_module, "MAX_SERVICE_LABELS", 2)
    metrics = NodeMetrics()
    for number in range(10):
        metrics(refused(f"service-{number}"))
    text = metrics.render().decode()
    assert 'tinrudder_query_seconds_count{outcome="NotRun",service="other"} 8.0' in text
    assert 'tinrudder_refusals_total{reason="overloaded"} 10.0' in text
    assert "service-2" not in text and "acme" not in text


@pytest.mark.parametrize(
    ("host", "authorization", "status"),
    [
        ("127.0.0.1", None, 200),
        ("10.0.0.1", None, 401),
        ("10.0.0.1", "Bearer ops.wrong", 401),
        ("10.0.0.1", "Bearer ops.secret", 200),
    ],
)
def test_metrics_are_for_operators_and_the_same_machine(
    host: str, authorization: str | None, status: int
) -> None:
    metrics = NodeMetrics()
    metrics.add(CallbackMetric("queue", "Waiting.", lambda: 3.0, is_counter=False))
    app = Starlette(routes=[metrics_route(metrics, OPERATORS)])
    caller = FakeCaller(path="/metrics", method="GET", authorization=authorization, host=host)
    run_virtual(caller.call(app))
    assert caller.status == status
    assert (b"queue 3.0" in b"".join(caller.chunks)) == (status == 200)
