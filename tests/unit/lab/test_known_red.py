"""KNOWN-RED.txt: malformed lines are rejected, and a listed test that passes fails the run."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownRed, KnownRedError, read_list

ROOT = Path(__file__).parents[3]
CONFTEST = """
import sys
sys.path.insert(0, {root!r})
from tests.known_red import KnownRedPlugin, read_list
def pytest_configure(config):
    config.pluginmanager.register(KnownRedPlugin(read_list(config.rootpath / "KNOWN-RED.txt")))
"""


def run_suite(tmp_path: Path, test: str, listed: str) -> subprocess.CompletedProcess[str]:
    (tmp_path / "conftest.py").write_text(CONFTEST.format(root=str(ROOT)))
    (tmp_path / "test_it.py").write_text(test)
    (tmp_path / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "--rootdir", str(tmp_path), "test_it.py"]
    return subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, check=False)


LISTED = "test_it.py::test_red | the store loses a write | issue 10\n"


def test_a_listed_test_that_fails_is_printed_and_let_pass(tmp_path: Path) -> None:
    result = run_suite(tmp_path, "def test_red():\n    assert False\n", LISTED)
    assert result.returncode == 0
    assert "KNOWN RED test_it.py::test_red: the store loses a write (issue 10)" in result.stdout


def test_a_listed_test_that_passes_fails_the_run(tmp_path: Path) -> None:
    result = run_suite(tmp_path, "def test_red():\n    assert True\n", LISTED)
    assert result.returncode == 1


def test_a_test_that_is_not_listed_still_fails_the_run(tmp_path: Path) -> None:
    result = run_suite(tmp_path, "def test_other():\n    assert False\n", LISTED)
    assert result.returncode == 1


def test_the_lists_form_is_checked(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("# a comment\n\n" + LISTED)
    assert read_list(path) == {
        "test_it.py::test_red": KnownRed(
            "test_it.py::test_red", "the store loses a write", "issue 10"
        )
    }
    path.write_text("test_it.py::test_red | no issue\n")
    with pytest.raises(KnownRedError, match=r"KNOWN-RED\.txt:1"):
        read_list(path)
    assert read_list(tmp_path / "absent.txt") == {}
