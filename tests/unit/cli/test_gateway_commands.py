"""The gateway's commands: the check of its settings, and a request's summary from a log."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tests.unit.platform.test_platform_adapter import SETTINGS
from tinrudder.cli.exit_codes import ExitCode
from tinrudder.cli.main import main


def line(event: str, at: float, **fields: object) -> str:
    return json.dumps({"time": at, "level": "INFO", "node": "front-1", "event": event} | fields)


LOG = "\n".join(
    [
        line("store_lost", 95.0, topic="operator", detail="no answer in 2.5 s"),
        line("zone_evacuated", 96.0, zone="zone-a", detail="zone-a, learned from 10.0.0.2:81"),
        line("request", 96.0, request="other", outcome="Merged", status=200),
        "not a line of ours",
        "  12.5 front-1 "
        + line(
            "request",
            100.0,
            request="r1",
            route="seats",
            version=7,
            outcome="Merged",
            status=200,
            elapsed_ms=235.1,
            repeats=3,
            included=18,
            missing=2,
            missing_shards="s1 s2",
            reasons="2 x no answer yet",
        ),
    ]
)


def test_settings_are_checked_without_starting(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    assert main(["gateway", "--settings", str(path), "--check"]) == ExitCode.OK
    assert "front-1: settings are valid" in capsys.readouterr().out
    path.write_text(SETTINGS.replace("drain_ms = 2000", "drain_ms = 0"))
    assert main(["gateway", "--settings", str(path), "--check"]) == ExitCode.USAGE
    assert "drain_ms" in capsys.readouterr().err


def test_a_story_names_outcome_coverage_reasons_and_what_came_before(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "log"
    path.write_text(LOG)
    assert main(["story", str(path), "r1"]) == ExitCode.OK
    output = capsys.readouterr().out
    assert "Merged, status 200, after 235.1 ms" in output
    assert "18 shards in, 2 missing" in output
    assert "without an answer: s1 s2" in output
    assert "reasons: 2 x no answer yet" in output
    assert "5.0 s before: store_lost operator no answer in 2.5 s" in output
    assert "4.0 s before: zone_evacuated zone-a, learned from 10.0.0.2:81" in output
    assert "other" not in output


def test_a_story_names_the_store_revision_of_the_configuration_version_used(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "log"
    lines = [
        line(
            "configuration_in_force",
            60.0,
            version=21,
            epoch=1,
            revision=63,
            source="10.0.0.2:81",
            unconfirmed_s=7.2,
        ),
        line("store_asked", 95.0, topic="operator", reason="no peer was heard"),
        line("store_restored", 90.0, topic="operator", epoch=2, shown=60, known=63, kept=1),
        line("request", 100.0, request="r4", version=21, outcome="Relayed", status=200),
    ]
    path.write_text("\n".join(lines))
    assert main(["story", str(path), "r4"]) == ExitCode.OK
    output = capsys.readouterr().out
    assert "version 21 in force for 40.0 s, from revision 63 of the store's epoch 1" in output
    assert "told by 10.0.0.2:81; the store's last word before was 7.2 s old" in output
    assert "5.0 s before: store_asked operator no peer was heard" in output
    assert "10.0 s before the store came back from a copy, operator: epoch 2 shows" in output
    assert "known was 63, 1 keys kept" in output


def test_a_story_names_the_tenant_and_why_its_limit_or_a_cut_refused_it(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "log"
    detail = "tenant a is over 5 a second and 5 on top, by its quota home 10.0.0.2:81"
    path.write_text(
        "\n".join(
            [
                line("zone_path", 98.0, zone="zone-b", state="closed", heard_share=0.75),
                line("quota_pressed", 99.0, tenant="a", tokens=1.5, pressed_s=2.0, told=6),
                line(
                    "request",
                    100.0,
                    request="r2",
                    tenant="a",
                    outcome="OverQuota",
                    status=429,
                    detail=detail,
                ),
            ]
        )
    )
    assert main(["story", str(path), "r2"]) == ExitCode.OK
    output = capsys.readouterr().out
    assert "OverQuota, status 429" in output
    assert "  tenant: a" in output
    assert f"decided by: {detail}" in output
    assert "2.0 s before: zone_path zone-b closed heard share 0.75" in output
    assert "1.0 s before: quota_pressed a" in output


def test_a_story_names_the_back_ends_that_crashed_under_all_tries(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    seen = {"fingerprint": "5eed", "service": "stock", "node": "gateway-1"}
    lines = [
        {"time": 1.0, "event": "call_lost", "request": "first", "backend": "b-1", **seen},
        {"time": 1.1, "event": "call_lost", "request": "first", "backend": "b-2", **seen},
        {"time": 1.2, "event": "call_lost", "request": "x", "backend": "b-9"}
        | {"fingerprint": "0the", "node": "gateway-1"},
        {"time": 1.3, "event": "request_barred", "backend": "b-2", "failed_trials": 1}
        | {"barred_s": 10.0, **seen},
        {"time": 2.0, "node": "gateway-2", "event": "request", "request": "second"}
        | {"outcome": "NotRun", "status": 503}
        | {"detail": "poison: back ends crashed under this request (5eed)"},
    ]
    log = tmp_path / "gateways.log"
    log.write_text("\n".join(json.dumps(line) for line in lines))
    assert main(["story", str(log), "second"]) == ExitCode.OK
    output = capsys.readouterr().out
    assert "back end b-1 of stock" in output
    assert "back end b-2 of stock" in output
    assert "b-9" not in output
    assert "barred at gateway-1, 1.300, for 10 s" in output
    assert main(["story", str(log), "first"]) == ExitCode.OK
    assert "call lost at gateway-1" in capsys.readouterr().out


def test_an_unknown_request_and_a_missing_log_are_told(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "log"
    path.write_text(LOG)
    assert main(["story", str(path), "r9"]) == ExitCode.NOT_FOUND
    assert main(["story", str(tmp_path / "absent"), "r1"]) == ExitCode.USAGE
    assert "absent" in capsys.readouterr().err


def test_a_story_tells_the_coordinators_part(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "log"
    path.write_text(
        '{"time": 9.0, "node": "g2", "event": "coordinated", "request": "r1", "route": "all", '
        '"outcome": "Merged", "elapsed_ms": 80.0, "included": 7, "missing": 1, '
        '"missing_shards": "s3", "reasons": "1 x no answer yet", "repeated": true}\n'
        '{"time": 9.0, "node": "g1", "event": "coordinator_failed", "request": "r1", '
        '"coordinator": "10.0.0.3:1", "detail": "10.0.0.3:1: silent"}\n'
        '{"time": 9.1, "node": "g1", "event": "request", "request": "r1", "route": "all", '
        '"outcome": "Merged", "status": 200, "elapsed_ms": 120.0}\n'
    )
    assert main(["story", str(path), "r1"]) == ExitCode.OK
    output = capsys.readouterr().out
    assert "coordinated by g2" in output
    assert "another coordinator may have begun before" in output
    assert "without an answer: s3" in output
    assert "coordinator 10.0.0.3:1 failed g1: 10.0.0.3:1: silent" in output
    assert "s before: coordinator" not in output


def test_a_closed_output_pipe_is_no_error(tmp_path: Path) -> None:
    path = tmp_path / "log"
    path.write_text(LOG * 2000)
    command = [sys.executable, "-m", "tinrudder.cli.main", "story", str(path), "r1"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as process:
        assert process.stdout is not None
        process.stdout.read(10)
        process.stdout.close()
        assert process.stderr is not None
        assert process.stderr.read() == b""
    assert process.returncode == ExitCode.OK
