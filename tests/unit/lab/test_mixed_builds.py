"""Two builds together: which checkout each process runs from, and which log lines are reported."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from tinrudder_lab.mixed_builds import MixedProcesses, count_coordinated, find_suspect_lines

MODULE = "tinrudder.cli.gateway_process"
OTHER = Path("other-checkout")


@pytest.fixture
def started(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, Any]]:
    """Record each program and its working directory instead of starting it."""
    calls: list[tuple[str, Any]] = []

    async def record(program: str, *arguments: str, **options: Any) -> None:
        calls.append((program, options.get("cwd")))

    monkeypatch.setattr(asyncio, "create_subprocess_exec", record)
    return calls


def start_all(processes: MixedProcesses, module: str, names: list[str]) -> None:
    async def run() -> None:
        for name in names:
            await processes.start(name, module)

    asyncio.run(run())


def test_half_of_each_zone_runs_from_the_other_checkout(
    tmp_path: Path, started: list[tuple[str, Any]]
) -> None:
    processes = MixedProcesses(tmp_path, other=OTHER, module=MODULE)
    names = [f"gateway-{number}" for number in range(8)]
    start_all(processes, MODULE, names)
    for zone in (names[0::2], names[1::2]):
        assert sorted(processes.builds[name] for name in zone) == ["other", "other", "own", "own"]
    other = (str(OTHER / ".venv/bin/python"), OTHER)
    assert [one == other for one in started] == [
        processes.builds[name] == "other" for name in names
    ]


def test_a_process_that_starts_again_keeps_its_build(
    tmp_path: Path, started: list[tuple[str, Any]]
) -> None:
    processes = MixedProcesses(tmp_path, other=OTHER, module=MODULE)
    start_all(processes, MODULE, ["first", "second", "second", "first"])
    assert processes.builds == {"first": "own", "second": "other"}
    assert [directory for _, directory in started] == [None, OTHER, OTHER, None]


def test_stand_ins_run_from_this_checkout(tmp_path: Path, started: list[tuple[str, Any]]) -> None:
    processes = MixedProcesses(tmp_path, other=OTHER, module=MODULE)
    start_all(processes, "tinrudder_lab.platform_server", ["platform", "back-ends"])
    assert processes.builds == {}
    assert [directory for _, directory in started] == [None, None]


def test_log_lines_about_undecodable_messages_are_reported(tmp_path: Path) -> None:
    processes = MixedProcesses(tmp_path, other=OTHER, module=MODULE)
    processes.builds = {"gateway-0": "own", "gateway-1": "other"}
    lines = [
        {"event": "ready", "backends": 3},
        {"event": "unreadable_datagram", "detail": "no such field"},
        {"event": "unreadable_load_report", "detail": "1,2"},
    ]
    processes.log_of("gateway-0").write_text("\n".join(json.dumps(line) for line in lines))
    processes.log_of("gateway-1").write_text("Traceback (most recent call last):\n")
    shown = find_suspect_lines(processes)
    assert [line.split(":")[0] for line in shown] == ["own", "other"]
    assert "unreadable_datagram" in shown[0]
    assert "Traceback" in shown[1]


def test_a_pull_from_a_peer_that_does_not_listen_yet_is_expected(tmp_path: Path) -> None:
    processes = MixedProcesses(tmp_path, other=OTHER, module=MODULE)
    processes.builds = {"gateway-0": "own"}
    refused = "member request failed: PeerNotSentError('a: ConnectionRefusedError(111)')"
    lost = "member request failed: PeerLostError('a: MalformedPeerMessageError')"
    lines = [{"event": "pulled_from_peer", "result": result} for result in (refused, lost)]
    processes.log_of("gateway-0").write_text("\n".join(json.dumps(line) for line in lines))
    assert [line for line in find_suspect_lines(processes) if "PeerNotSentError" in line] == []
    assert len(find_suspect_lines(processes)) == 1


def test_delegated_scatters_are_counted_by_the_builds_of_both_sides(tmp_path: Path) -> None:
    processes = MixedProcesses(tmp_path, other=OTHER, module=MODULE)
    processes.builds = {"gateway-0": "own", "gateway-1": "other"}
    entry = [{"event": "request", "request": "a"}, {"event": "request", "request": "b"}]
    coordinator = [{"event": "coordinated", "request": "a"}]
    processes.log_of("gateway-0").write_text("\n".join(json.dumps(line) for line in entry))
    processes.log_of("gateway-1").write_text("\n".join(json.dumps(line) for line in coordinator))
    assert count_coordinated(processes) == {"own>other": 1}
