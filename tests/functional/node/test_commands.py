"""Operator commands against a node's API over ASGI: output and exit codes."""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from tests.support.asgi import call, start
from tests.support.documents import document, resource, small_deployment
from tinrudder.cli.exit_codes import CommandError, ExitCode
from tinrudder.cli.main import main
from tinrudder.cli.node_commands import apply, connection
from tinrudder.cli.node_commands.connection import NodeAnswer
from tinrudder.node.api.operators.resource_app import ResourceApiSettings, ResourceApplication
from tinrudder.node.configuration_service.messages import RawResource
from tinrudder.node.configuration_service.writer import PlatformWriteError, ResourceBatch
from tinrudder.node.resources.model import Kind
from tinrudder.node.resources.status import NodeRevision, StatusReporter
from tinrudder.node.resources.store import ConfigurationStore

RULE_FILE = """
[[resources]]   # a comment
kind = "QueryRule"
name = "search"
[resources.spec]
service = "{service}"
max_rows = {max_rows}
"""


class FakeNode:
    """A node's API in this process; also acts as the node client and the platform's writer."""

    def __init__(self) -> None:
        self.store = ConfigurationStore()
        self.others: list[NodeRevision] = []
        self.write_error = ""
        reporter = StatusReporter(self.store, self.nodes)
        operators = {"ops": hashlib.sha256(b"secret").hexdigest()}
        api = ResourceApplication(
            ResourceApiSettings("n1", operators), self.store, reporter, lambda: False
        )
        self.outcome = b'{"query_id":"q","outcome":"complete"}'
        query = Route("/v1/query", lambda _: Response(self.outcome), methods=["POST"])
        self.app = Starlette(routes=[*api.routes(), query])
        self.credential = ""
        self.store.merge_document(document(1, *small_deployment()))

    def nodes(self) -> list[NodeRevision]:
        own = NodeRevision("n1", "a", "alive", self.store.current.revision)
        return [own, *self.others]

    def open(self, arguments: argparse.Namespace) -> FakeNode:
        if not arguments.node_url:
            raise CommandError(ExitCode.USAGE, "--node-url: needed")
        self.credential = f"Bearer {arguments.credential}"
        return self

    async def request(self, method: str, path: str, body: bytes = b"") -> NodeAnswer:
        response = await call(self.app, method, path, self.credential, body)
        return NodeAnswer(response.status, response.body)

    async def lines(self, path: str) -> AsyncIterator[bytes]:
        watch = start(self.app, "GET", path, self.credential)
        await asyncio.sleep(0.01)
        for line in (await watch.disconnect()).body.splitlines():
            yield line

    async def write(self, batch: ResourceBatch) -> int:
        if self.write_error:
            raise PlatformWriteError(self.write_error)
        written = {(one.kind, one.name) for one in batch.resources}
        held = [
            RawResource(key.kind, key.name, one.accepted_generation, one.raw_spec)
            for key, one in self.store.state.resources.items()
            if key not in written
        ]
        new = [RawResource(one.kind, one.name, 2, one.spec) for one in batch.resources]
        self.store.merge_document(document(self.store.current.revision + 1, *held, *new))
        return self.store.current.revision

    async def close(self) -> None:
        pass


@pytest.fixture
def node(monkeypatch: pytest.MonkeyPatch) -> FakeNode:
    fake = FakeNode()
    monkeypatch.setattr(connection, "open_node_client", fake.open)
    monkeypatch.setattr(apply, "open_writer", lambda _: fake)
    monkeypatch.setattr(apply, "POLL_INTERVAL_S", 0.001)
    monkeypatch.setenv(connection.NODE_URL_VARIABLE, "http://node")
    monkeypatch.setenv(connection.CREDENTIAL_VARIABLE, "ops.secret")
    return fake


@pytest.fixture
def rule_file(tmp_path: Path) -> Path:
    return write_rule(tmp_path, "search", 7)


def write_rule(directory: Path, service: str, max_rows: int) -> Path:
    path = directory / "rule.toml"
    path.write_text(RULE_FILE.format(service=service, max_rows=max_rows))
    return path


def test_check_settings(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    settings = tmp_path / "node.toml"
    settings.write_text('name="n"\nzone="z"\nregion="r"\nplatform_url="http://p"\n')
    assert main(["check-settings", "--settings", str(settings)]) == ExitCode.OK
    bad = ["check-settings", "--settings", str(settings), "--caller-port", "99999"]
    assert main(bad) == ExitCode.USAGE
    assert "caller_port" in capsys.readouterr().err


def test_validate_with_and_without_a_node(
    node: FakeNode,
    rule_file: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["validate", str(rule_file)]) == ExitCode.OK
    assert main(["validate", str(rule_file), "--node-url", ""]) == ExitCode.NEGATIVE
    assert "spec.service: no Service 'search'" in capsys.readouterr().out


def test_validate_reports_references_to_a_deleted_resource(
    node: FakeNode, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "gone.json"
    path.write_text('{"delete": [{"kind": "Service", "name": "search"}]}')
    assert main(["validate", str(path), "--output", "json"]) == ExitCode.NEGATIVE
    problems = json.loads(capsys.readouterr().out)["problems"]
    assert {one["kind"] for one in problems} == {"Backend", "Index", "QueryRule"}


@pytest.mark.parametrize(
    ("content", "expected"),
    [("[[resources]]\nkind = 1\n", "kind"), ("nonsense", "rule.toml"), ("colour = 1", "colour")],
)
def test_bad_files_name_field_and_rule(
    node: FakeNode,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    content: str,
    expected: str,
) -> None:
    path = tmp_path / "rule.toml"
    path.write_text(content)
    assert main(["diff", str(path)]) == ExitCode.USAGE
    assert expected in capsys.readouterr().err


def test_diff_lists_only_fields_that_differ(
    node: FakeNode,
    rule_file: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["diff", str(rule_file), "--output", "json"]) == ExitCode.NEGATIVE
    found = json.loads(capsys.readouterr().out)
    assert [(one["field"], one["in_force"], one["in_file"]) for one in found] == [
        ("max_rows", "1000", "7")
    ]
    assert main(["diff", str(write_rule(rule_file.parent, "search", 1000))]) == ExitCode.OK


def test_apply_waits_until_every_node_enforces(
    node: FakeNode, rule_file: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    arguments = ["apply", str(rule_file), "--platform-url", "http://p", "--wait"]
    assert main(arguments) == ExitCode.OK
    assert node.store.current.rules["search"].max_rows == 7
    node.others = [NodeRevision("n2", "b", "alive", 1)]
    changed = ["apply", str(write_rule(rule_file.parent, "search", 8)), *arguments[2:]]
    assert main([*changed, "--timeout-s", "0.01"]) == ExitCode.LAGGING
    assert "n2" in capsys.readouterr().out


def test_apply_writes_nothing_that_is_not_valid(
    node: FakeNode, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_rule(tmp_path, "gone", 7)
    assert main(["apply", str(path), "--platform-url", "http://p"]) == ExitCode.NEGATIVE
    assert "nothing written: QueryRule search: spec.service" in capsys.readouterr().err
    assert node.store.current.revision == 1


def test_apply_reports_a_platform_that_does_not_answer(node: FakeNode, rule_file: Path) -> None:
    node.write_error = "connection refused"
    arguments = ["apply", str(rule_file), "--platform-url", "http://p"]
    assert main(arguments) == ExitCode.UNREACHABLE


def test_get_and_nodes_show_what_is_wrong(
    node: FakeNode, capsys: pytest.CaptureFixture[str]
) -> None:
    bad = resource(Kind.TENANT, "rival", 2, weight=0)
    node.store.merge_document(document(2, *small_deployment()[:1], *small_deployment()[2:], bad))
    assert main(["get", "Tenant", "rival"]) == ExitCode.OK
    shown = capsys.readouterr().out
    assert "1/2" in shown
    assert "LastGoodInForce" in shown
    assert main(["get", "Tenant", "nobody"]) == ExitCode.NOT_FOUND
    node.store.merge_document(document(1))
    assert main(["nodes"]) == ExitCode.OK
    assert "PlatformCurrent does not hold" in capsys.readouterr().out
    assert main(["nodes", "--credential", "ops.wrong"]) == ExitCode.DENIED
    assert main(["nodes", "--node-url", ""]) == ExitCode.USAGE


def test_watch_prints_events_and_how_to_resume(
    node: FakeNode, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["watch", "Tenant"]) == ExitCode.UNREACHABLE
    captured = capsys.readouterr()
    assert "changed  Tenant  acme" in captured.out
    assert "--from-revision 1" in captured.err


@pytest.mark.parametrize(
    ("outcome", "code"),
    [
        ("complete", ExitCode.OK),
        ("partial", ExitCode.QUERY_PARTIAL),
        ("not_run", ExitCode.QUERY_NOT_RUN),
        ("may_have_run", ExitCode.QUERY_MAY_HAVE_RUN),
        ("failed", ExitCode.QUERY_FAILED),
    ],
)
def test_query_exit_code_shows_the_outcome(node: FakeNode, outcome: str, code: ExitCode) -> None:
    node.outcome = json.dumps({"query_id": "q", "outcome": outcome}).encode()
    assert main(["query", "search.rows", "search", "--match", "a=b"]) == code
    assert main(["query", "search.rows", "search", "--match", "a"]) == ExitCode.USAGE


@pytest.mark.parametrize("shell", ["bash", "zsh"])
def test_completion_includes_subcommands(shell: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["completion", shell]) == ExitCode.OK
    assert "check-settings" in capsys.readouterr().out


def test_an_unreachable_node_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    assert main(["get", "--node-url", "http://127.0.0.1:1"]) == ExitCode.UNREACHABLE
