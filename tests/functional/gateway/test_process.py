"""Signals that arrive while a gateway process starts, before its regular handlers are installed."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

from tinrudder.cli.exit_codes import ExitCode

TIMEOUT_S = 60.0


def test_a_reload_signal_during_the_start_ends_nothing(tmp_path: Path) -> None:
    """The settings file is a pipe, so the process blocks just before it installs its handlers."""
    settings = tmp_path / "boot.toml"
    os.mkfifo(settings)
    command = [sys.executable, "-m", "tinrudder.cli.gateway_process", "--settings", str(settings)]
    with subprocess.Popen(command, stderr=subprocess.PIPE) as process:
        with settings.open("w") as pipe:
            process.send_signal(signal.SIGHUP)
            pipe.write('node = ""\n')
        _, problem = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == ExitCode.USAGE
    assert b"node" in problem


def test_a_stop_signal_during_the_start_ends_the_process_with_success(tmp_path: Path) -> None:
    settings = tmp_path / "boot.toml"
    os.mkfifo(settings)
    command = [sys.executable, "-m", "tinrudder.cli.gateway_process", "--settings", str(settings)]
    with subprocess.Popen(command, stderr=subprocess.PIPE) as process, settings.open("w"):
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == ExitCode.OK


def test_the_signal_is_ignored_before_the_long_imports() -> None:
    source = Path(__file__).parents[3] / "tinrudder" / "cli" / "gateway_process.py"
    lines = source.read_text().splitlines()
    ignored = lines.index("signal.signal(signal.SIGHUP, signal.SIG_IGN)")
    stops = next(n for n, line in enumerate(lines) if line.startswith("signal.signal(signal.SIGT"))
    imported = next(n for n, line in enumerate(lines) if line.startswith("from tinrudder"))
    assert max(ignored, stops) < imported
