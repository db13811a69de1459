"""The callers' ASGI application under virtual time: invalid input, paging, disconnects."""

from __future__ import annotations

import asyncio
import hashlib
import json
import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.virtual_caller import FakeCaller, run_virtual
from tinrudder.node.api.caller_app import CallerApplication
from tinrudder.node.api.cursor import CursorCodec
from tinrudder.node.api.finished_query import FinishedQuery
from tinrudder.node.api.outcome_mapping import status_of
from tinrudder.node.api.query_body import QueryBody
from tinrudder.node.api.request_body import MAX_BODY_BYTES
from tinrudder.node.outcomes import (
    Answer,
    Complete,
    Coverage,
    Failed,
    FailedReason,
    MayHaveRun,
    MayHaveRunReason,
    MissingReason,
    MissingShard,
    NotRun,
    NotRunReason,
    Outcome,
    Partial,
    Row,
)
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.resources.configuration import Configuration, CredentialOwner
from tinrudder.node.resources.model import (
    Credential,
    IndexSpec,
    IndexVersionSpec,
    QueryRuleSpec,
    ServiceSpec,
    ShardSpec,
    TenantSpec,
)

VALID_BODY = b'{"index":"stock","rule":"stock-rule"}'


def credential(secret: str) -> Credential:
    return Credential(key_id="key", secret_sha256=hashlib.sha256(secret.encode()).hexdigest())


def index_of(service: str) -> IndexSpec:
    shard = ShardSpec(shard="s1", owner="owner", backends=("b",))
    return IndexSpec(service=service, versions=(IndexVersionSpec(version=1, shards=(shard,)),))


CONFIGURATION = Configuration(
    tenants={"acme": TenantSpec(), "rival": TenantSpec()},
    services={
        "own": ServiceSpec(region="r", tenants=("acme",)),
        "other": ServiceSpec(region="r", tenants=("rival",)),
    },
    indexes={"stock": index_of("own"), "secret": index_of("other")},
    rules={
        "stock-rule": QueryRuleSpec(service="own", hard_deadline_ms=5000, max_rows=3),
        "secret-rule": QueryRuleSpec(service="other"),
    },
    credentials={
        "key": CredentialOwner("acme", credential("secret")),
        "rival-key": CredentialOwner("rival", credential("secret")),
    },
)


def complete(*numbers: int, more: bool = False, version: int = 7) -> Complete:
    rows = tuple(Row(float(number), f"r{number}", b'{"n":%d}' % number) for number in numbers)
    after = (rows[-1].order, rows[-1].row_id) if more else None
    return Complete(Answer(version, rows, Coverage(("s1", "s2")), after))


@dataclass
class ScriptedRunner:
    """Returns outcomes from a list and records the requests."""

    outcomes: list[Outcome] = field(default_factory=lambda: [complete(1)])
    delay_s: float = 0.0
    requests: list[QueryRequest] = field(default_factory=list)
    cancelled_at: float | None = None

    async def run(self, request: QueryRequest) -> Outcome:
        self.requests.append(request)
        try:
            await asyncio.sleep(self.delay_s)
        except asyncio.CancelledError:
            self.cancelled_at = asyncio.get_running_loop().time()
            raise
        return self.outcomes.pop(0)


@dataclass
class Harness:
    runner: ScriptedRunner = field(default_factory=ScriptedRunner)
    finished: list[FinishedQuery] = field(default_factory=list)

    def call(self, caller: FakeCaller) -> FakeCaller:
        async def scenario() -> FakeCaller:
            application = CallerApplication(
                asyncio.get_running_loop(),
                self.runner,
                lambda: CONFIGURATION,
                CursorCodec([b"cluster"]),
                [self.finished.append],
            )
            return await caller.call(application.app)

        return run_virtual(scenario())


def make_caller(body: bytes = VALID_BODY, **changes: object) -> FakeCaller:
    return FakeCaller(parts=[body], **changes)


@pytest.mark.parametrize(
    ("caller", "status", "named"),
    [
        (make_caller(b'{"index":'), 400, "body"),
        (make_caller(b"\xff\xfe"), 400, "body"),
        (make_caller(b""), 400, "body"),
        (make_caller(b"[" * 50_000), 400, "body"),
        (make_caller(VALID_BODY[:-1] + b',"limit":0}'), 400, "limit"),
        (make_caller(VALID_BODY[:-1] + b',"match":{"a":1}}'), 400, "match[...]"),
        (make_caller(VALID_BODY[:-1] + b',"tenant":"rival"}'), 400, "tenant"),
        (make_caller(b'{"rule":"stock-rule"}'), 400, "index"),
        (make_caller(VALID_BODY[:-1] + b',"cursor":"AAAA"}'), 400, "cursor"),
        (make_caller(VALID_BODY + b" " * MAX_BODY_BYTES), 413, "body"),
        (make_caller(headers={"content-length": "99999999999"}), 413, "body"),
        (make_caller(headers={"content-type": "text/plain"}), 415, "content-type"),
        (FakeCaller(parts=[VALID_BODY[:5], VALID_BODY[5:]], part_gap_s=4.0), 408, "body"),
        (make_caller(VALID_BODY[:9], body_cut_off=True), 400, "body"),
        (make_caller(authorization=None), 401, "authorization"),
        (make_caller(authorization="Bearer key.wrong"), 401, "authorization"),
        (make_caller(authorization="Bearer nobody.secret"), 401, "authorization"),
        (make_caller(authorization="Basic \u00ff"), 401, "authorization"),
        (make_caller(method="GET"), 405, "method"),
        (make_caller(path="/v1/other"), 404, "path"),
    ],
)
def test_bad_input_is_a_typed_error_that_names_field_and_rule(
    caller: FakeCaller, status: int, named: str
) -> None:
    harness = Harness()
    harness.call(caller)
    assert (caller.status, caller.json["field"]) == (status, named)
    assert caller.json["outcome"] == "not_run" and caller.json["rule"]
    assert harness.runner.requests == []


def test_forbidden_looks_like_unknown() -> None:
    answers = []
    for index, rule in (("secret", "secret-rule"), ("absent", "absent"), ("stock", "secret-rule")):
        body = msgspec.json.encode({"index": index, "rule": rule, "cursor": "AAAA"})
        harness = Harness()
        caller = harness.call(make_caller(body))
        answers.append((caller.status, {**caller.json, "query_id": ""}))
        assert harness.runner.requests == []
    assert answers == [answers[0]] * 3
    assert answers[0][0] == 404


def test_a_caller_that_leaves_frees_its_work_within_50_ms() -> None:
    harness = Harness(ScriptedRunner(delay_s=4.0))
    harness.call(make_caller(disconnects_at=1.0))
    assert harness.runner.cancelled_at == pytest.approx(1.0, abs=0.05)
    assert isinstance(harness.finished[0].outcome, MayHaveRun)


def test_a_fault_of_the_node_is_a_typed_error_without_details() -> None:
    class Faulty(ScriptedRunner):
        async def run(self, request: QueryRequest) -> Outcome:
            raise RuntimeError("secret-rule")

    caller = make_caller()
    with pytest.raises(RuntimeError):
        Harness(Faulty()).call(caller)
    assert (caller.status, caller.json["outcome"]) == (500, "may_have_run")
    assert b"secret" not in b"".join(caller.chunks)


@pytest.mark.parametrize(("seconds", "header", "exact"), [(0.0504, "1", 51), (2.0, "2", 2000)])
def test_retry_after_is_rounded_up_and_exact_in_the_body(
    seconds: float, header: str, exact: int
) -> None:
    refusal = NotRun(NotRunReason.OVERLOADED, "busy", seconds)
    caller = Harness(ScriptedRunner([refusal])).call(make_caller())
    assert caller.status == status_of(refusal) == 503
    assert (caller.answer_headers["retry-after"], caller.json["retry_after_ms"]) == (header, exact)


def page_after(caller: FakeCaller, body: bytes = VALID_BODY, **changes: object) -> FakeCaller:
    cursor = msgspec.json.encode(caller.json["cursor"])
    return make_caller(body[:-1] + b',"cursor":%b}' % cursor, **changes)


def test_a_later_page_is_pinned_to_the_first_ones_version() -> None:
    harness = Harness(ScriptedRunner([complete(1, 2, more=True), complete(3)]))
    first = harness.call(make_caller())
    second = harness.call(page_after(first))
    assert (second.status, second.json["rows"]) == (200, [{"n": 3}])
    assert harness.runner.requests[1].version == 7
    assert harness.runner.requests[1].after == (2.0, "r2")


@pytest.mark.parametrize(
    "body",
    [
        VALID_BODY[:-1] + b',"descending":true}',
        VALID_BODY[:-1] + b',"match":{"a":"b"}}',
        VALID_BODY[:-1] + b',"order_by":"amount"}',
    ],
)
def test_a_cursor_of_another_query_is_refused(body: bytes) -> None:
    harness = Harness(ScriptedRunner([complete(1, more=True)]))
    first = harness.call(make_caller())
    other = harness.call(page_after(first, body))
    assert (other.status, other.json["field"]) == (400, "cursor")


def stream(**changes: object) -> FakeCaller:
    return make_caller(path="/v1/stream", **changes)


def test_a_stream_states_its_worst_coverage_per_shard_at_the_end() -> None:
    missing_shard = MissingShard("s2", "limmat", MissingReason.TIMED_OUT)
    partial = Partial(
        replace(complete(2, more=True).answer, coverage=Coverage(("s1",), (missing_shard,)))
    )
    harness = Harness(ScriptedRunner([complete(1, more=True), partial, complete(3)]))
    caller = harness.call(stream())
    assert [line.get("row") for line in caller.lines[:-1]] == [{"n": 1}, {"n": 2}, {"n": 3}]
    end = caller.lines[-1]["end"]
    assert (end["outcome"], end["version"], caller.lines[-1]["rows"]) == ("partial", 7, 3)
    assert end["coverage"]["included"] == ["s1"]
    assert list(end["coverage"]["missing_by_owner"]) == ["limmat"]
    assert [request.version for request in harness.runner.requests] == [None, 7, 7]


@pytest.mark.parametrize(
    "failure",
    [
        NotRun(NotRunReason.OVERLOADED, "busy"),
        MayHaveRun(MayHaveRunReason.NO_ANSWER, "lost"),
        Failed(FailedReason.VERSION_GONE, "gone"),
    ],
)
def test_a_failure_mid_stream_is_reported_with_a_cursor_to_resume(failure: Outcome) -> None:
    harness = Harness(ScriptedRunner([complete(1, more=True), failure, complete(2)]))
    cut = harness.call(stream())
    end = cut.lines[-1]["end"]
    assert (cut.status, end["outcome"], end["reason"]) == (200, "failed", "stream_cut")
    body = msgspec.json.encode({**msgspec.json.decode(VALID_BODY), "cursor": end["cursor"]})
    rest = harness.call(FakeCaller(path="/v1/stream", parts=[body]))
    assert [line.get("row") for line in rest.lines[:-1]] == [{"n": 2}]
    assert harness.runner.requests[2].after == (1.0, "r1")


def test_a_stream_that_cannot_start_is_answered_like_a_query() -> None:
    harness = Harness(ScriptedRunner([NotRun(NotRunReason.OVERLOADED, "busy", 0.5)]))
    caller = harness.call(stream())
    assert (caller.status, caller.json["outcome"]) == (503, "not_run")
    assert caller.answer_headers["retry-after"] == "1"


def call_long_stream(**changes: float) -> tuple[Harness, FakeCaller]:
    harness = Harness(ScriptedRunner([complete(n, more=True) for n in range(500)], delay_s=0.1))
    return harness, harness.call(stream(**changes))


@pytest.mark.parametrize(
    ("run", "pages"),
    [
        (lambda: call_long_stream(disconnects_at=1.05), 11),
        (lambda: call_long_stream(read_gap_s=3600.0), 1),
        (lambda: call_long_stream(read_gap_s=1.0, disconnects_at=10.0), 10),
    ],
)
def test_a_stream_pulls_no_page_ahead_of_its_reader(
    run: Callable[[], tuple[Harness, FakeCaller]], pages: int
) -> None:
    harness, caller = run()
    assert not caller.ended
    assert len(harness.runner.requests) == pages
    assert len(harness.finished) == 1
    assert isinstance(harness.finished[0].outcome, MayHaveRun)


def test_the_documented_statuses_are_those_of_the_table() -> None:
    text = (Path(__file__).parents[3] / "docs" / "API.md").read_text()
    documented = set()
    for row in re.findall(r"^\| (\d+) \| (not_run|failed|may_have_run) \| (.*?) \|", text, re.M):
        documented |= {(int(row[0]), row[1], reason) for reason in row[2].split(", ")}
    every = (
        [(NotRun(reason), "not_run") for reason in NotRunReason]
        + [(Failed(reason), "failed") for reason in FailedReason]
        + [(MayHaveRun(reason), "may_have_run") for reason in MayHaveRunReason]
    )
    assert documented == {(status_of(o), tag, o.reason.value) for o, tag in every}


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)
FIELDS = st.sampled_from([*QueryBody.__struct_fields__, "tenant", ""])
BODIES = st.binary() | st.dictionaries(FIELDS, JSON_VALUES).map(
    lambda fields: json.dumps({"index": "stock", "rule": "stock-rule", **fields}).encode()
)


@settings(max_examples=300)
@given(BODIES, st.text(st.characters(max_codepoint=255), max_size=30))
def test_arbitrary_input_gets_a_typed_json_answer(body: bytes, token: str) -> None:
    harness = Harness()
    caller = harness.call(make_caller(body))
    assert caller.status in (200, 400, 404) and caller.json["outcome"] in ("complete", "not_run")
    assert all(request.tenant == "acme" for request in harness.runner.requests)
    assert harness.call(make_caller(authorization=f"Bearer {token}")).status == 401
